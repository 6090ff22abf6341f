import type { Random } from '../../core/index.js'
import { drawEntries, type EntryWeight, weightOf } from '../../entryWeights/index.js'
import type { EntryAddress, KnownEntry } from '../../peers/index.js'

/** If a zone has fewer ready entries, its callers get those of all zones. */
const ZONE_ADDRESSES_MIN = 2
const ADDRESSES_MAX = 64

/** An entry that callers and agents may use. */
interface ReadyEntry extends EntryAddress { frontAddress: string, weight: EntryWeight }

export interface EntryDirectoryOptions {
  random: Random
  /** This entry; called at each use, as its weight changes. */
  self: () => ReadyEntry
  isSelfReady: () => boolean
  /** All other live entries. */
  others: () => readonly KnownEntry[]
}

/** Addresses of the ready entries, this one included. */
export interface EntryDirectory {
  /** Addresses for callers in a zone, drawn by weight; those of all zones if the zone has too few. */
  callerAddresses (zone: string): string[]
  /** Addresses from which agents in a zone get the store's records. */
  feedAddresses (zone: string): EntryAddress[]
}

/**
 * Creates the directory of one entry.
 *
 * @example
 * createEntryDirectory({ random, self, isSelfReady, others }).callerAddresses('zone-a')
 */
export const createEntryDirectory = ({ random, self, isSelfReady, others }: EntryDirectoryOptions): EntryDirectory => {
  const readyEntries = (): ReadyEntry[] => {
    const ready: ReadyEntry[] = others().filter(({ isReady }) => isReady)
    return isSelfReady() ? [...ready, self()] : ready
  }

  return {
    callerAddresses: zone => {
      const ready = readyEntries()
      const inZone = ready.filter(entry => entry.zone === zone)
      const chosen = inZone.length >= ZONE_ADDRESSES_MIN ? inZone : ready
      return drawEntries({ random, entries: chosen, weightOf: ({ weight }) => weightOf(weight), countMax: ADDRESSES_MAX }).map(({ frontAddress }) => frontAddress)
    },
    feedAddresses: zone => readyEntries().filter(entry => entry.zone === zone).map(entry => ({ address: entry.address, zone }))
  }
}
