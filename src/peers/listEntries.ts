import { toWeight, unpackWeight } from '../entryWeights/index.js'
import type { Peer } from './createPeerTable.js'
import type { KnownEntry, ZoneSummary } from './types.js'

/**
 * Lists the entries that have reported in this zone and those in the summaries of other zones.
 *
 * @example
 * listEntries(livePeers, zones.live())
 */
export const listEntries = (peersInZone: readonly Peer[], summaries: readonly ZoneSummary[]): KnownEntry[] => [
  ...peersInZone.map(({ address, report }) => {
    const { nodeId, zone, frontAddress, isReady } = report!
    return { nodeId, zone, address, frontAddress, isReady, weight: toWeight(report!) }
  }),
  ...summaries.flatMap(summary => summary.entries.map((entry, at) => ({ ...entry, zone: summary.zone, weight: unpackWeight(summary, at) })))
]
