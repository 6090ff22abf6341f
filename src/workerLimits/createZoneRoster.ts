import type { Clock, TimestampMs } from '../core/index.js'
import { ROSTER_KEEP_MS } from './constants.js'
import type { PermitIssuerEntry } from './types.js'

/** The entries of this entry's zone that it has known lately, whether or not it reaches them now. */
export interface ZoneRoster {
  /** Records the entries that are known now. */
  record (entries: readonly PermitIssuerEntry[]): void
  /** Share of the zone's entries that this one knows now, of those that it has known lately; 1 if it knows all. */
  shareKnown (): number
}

/**
 * Creates the roster of one entry. If its zone falls apart into parts that do not know of each other, the shares of all
 * parts are 1 together, unless an entry has started in a part and has never known the others.
 *
 * @example
 * const roster = createZoneRoster({ clock, ownNodeId: 'front-1' })
 * roster.record(entries)
 * roster.shareKnown()
 */
export const createZoneRoster = ({ clock, ownNodeId }: { clock: Clock, ownNodeId: string }): ZoneRoster => {
  const knownMs = new Map<string, TimestampMs>()
  let knownNow = 0

  return {
    record: entries => {
      const nowMs = clock.nowMs()
      const ownZone = entries.find(({ nodeId }) => nodeId === ownNodeId)?.zone
      const inZone = entries.filter(({ zone }) => zone === ownZone)
      knownNow = inZone.length
      for (const { nodeId } of inZone) knownMs.set(nodeId, nowMs)
      for (const [nodeId, atMs] of knownMs) if (nowMs - atMs > ROSTER_KEEP_MS) knownMs.delete(nodeId)
    },
    shareKnown: () => knownMs.size === 0 ? 1 : knownNow / knownMs.size
  }
}
