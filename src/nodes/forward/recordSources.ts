import type { Random } from '../../core/index.js'
import type { PeerReports } from '../../peers/index.js'
import { chooseReader, mustWatchConnection, noticeMsFor, type ReaderChoice, type RecordSource, SourceKind } from '../../storeFeed/index.js'

export interface RecordSourcesOptions {
  random: Random
  nodeId: string
  zone: string
  /** The other entries; called at each use, as they are started later. */
  reports: () => PeerReports
  isReady: () => boolean
  isStoreConnected: () => boolean
  /** Time after open connections have fallen silent within which the store's records must be in force again, in ms. */
  silenceMaxMs: () => number
}

/** From where an entry gets the store's records. */
export interface RecordSources {
  /** The store if this entry is a reader of its zone, and a reader otherwise. */
  source (): RecordSource
  /** Any ready entry of the zone other than this one; undefined if there is none. */
  otherEntry (): RecordSource | undefined
  /**
   * Time within which this entry itself must notice a silent connection, in ms; undefined if the reports of others show it
   * that it misses records.
   */
  noticeWithinMs (): number | undefined
}

/**
 * Creates the sources of one entry.
 *
 * @example
 * createRecordSources({ random, nodeId, zone, reports, isReady, isStoreConnected, silenceMaxMs }).source()
 */
export const createRecordSources = (
  { random, nodeId, zone, reports, isReady, isStoreConnected, silenceMaxMs }: RecordSourcesOptions
): RecordSources => {
  const choice = (): ReaderChoice => ({
    zone,
    zones: reports().countZones(),
    self: { nodeId, isReady: isReady(), isStoreConnected: isStoreConnected() },
    peers: reports().zonePeers().map(({ report, address, ageMs }) =>
      ({ nodeId: report.nodeId, address, isReady: report.isReady, isStoreConnected: report.isStoreConnected, ageMs }))
  })

  return {
    source: () => chooseReader(choice()),
    otherEntry: () => {
      const ready = reports().zonePeers().filter(({ report }) => report.isReady)
      return ready.length === 0 ? undefined : { kind: SourceKind.Entry, address: random.pick(ready).address }
    },
    noticeWithinMs: () => mustWatchConnection({ ...choice(), zoneRank: reports().zoneRank() }) ? noticeMsFor(silenceMaxMs()) : undefined
  }
}
