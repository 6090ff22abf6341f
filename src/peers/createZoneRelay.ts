import type { Clock, TimestampMs } from '../core/index.js'
import { packWeights, toWeight } from '../entryWeights/index.js'
import { ZONE_LOAD_INTERVAL_MS, ZONE_SUMMARY_INTERVAL_MS } from './constants.js'
import { mergeReports, sumLoads } from './summarizeZone.js'
import { DatagramContent, type PeerDatagram, type PeerEffect, PeerEffectKind, type PeerReport, type SelfDescription, type ZoneEntry } from './types.js'

/** Position of an entry among the relays of its zone. */
export interface RelayRole { index: number, isOnlyRelay: boolean }

/** The entries of another zone that receive summaries. */
export interface RelayTarget { zone: string, addresses: readonly string[] }

export interface ZoneRelayOptions {
  clock: Clock
  ownAddress: string
  describeSelf: () => SelfDescription
  /** Undefined while this entry is not a relay. */
  relayRole: () => RelayRole | undefined
  /** Live peers of this zone. */
  peers: () => readonly { report: PeerReport, address: string, isRecent: boolean }[]
  /** Whether this process has just been paused and does not know yet who lives. */
  isSettling: () => boolean
  /** Relays of the other zones. */
  targets: () => readonly RelayTarget[]
}

/** The part of an entry that sends summaries of its zone to other zones while it is a relay. */
export interface ZoneRelay {
  /** Records a change in the zone; one that is not only of load needs a complete summary. */
  recordChange (isState: boolean): void
  /** Returns the summaries that are due. */
  tick (): PeerEffect[]
}

/**
 * Creates the relay of one entry.
 *
 * @example
 * const relay = createZoneRelay({ clock, ownAddress, describeSelf, relayRole, peers, isSettling, targets })
 * relay.recordChange(false)
 */
export const createZoneRelay = ({ clock, ownAddress, describeSelf, relayRole, peers, isSettling, targets }: ZoneRelayOptions): ZoneRelay => {
  let sequence = 0
  let hasChanged = false
  let isSummaryDue = true
  let sentMs: TimestampMs = -ZONE_SUMMARY_INTERVAL_MS
  let summarySentMs: TimestampMs = -ZONE_SUMMARY_INTERVAL_MS

  const listEntries = (self: SelfDescription): ZoneEntry[] =>
    [{ report: self, address: ownAddress, isRecent: true }, ...peers()].map(({ report: { nodeId, frontAddress, isReady }, address, isRecent }) =>
      ({ nodeId, address, frontAddress, isReady: isReady && isRecent }))

  const head = ({ zone, incarnation }: SelfDescription) => {
    sequence += 1
    return { zone, relayAddress: ownAddress, relayIncarnation: incarnation, sequence }
  }

  const createSummary = (): PeerDatagram => {
    const self = describeSelf()
    const reports = peers().map(({ report }) => report)
    const merged = mergeReports(self, reports)
    const weights = packWeights([self, ...reports].map(toWeight))
    const otherRelays = targets().flatMap(({ zone, addresses }) => addresses.map(address => ({ address, zone })))
    return { content: DatagramContent.ZoneSummary, summary: { ...head(self), ...merged, ...weights, entries: listEntries(self), otherRelays } }
  }

  const createLoad = (): PeerDatagram => {
    const self = describeSelf()
    return { content: DatagramContent.ZoneLoad, load: { ...head(self), ...sumLoads([self, ...peers().map(({ report }) => report)]) } }
  }

  /**
   * Each relay of this zone sends to another relay of the target zone, so that one loss on either side leaves one path.
   * If only one relay is known on one side, it exchanges summaries with all relays of the other.
   */
  const receivers = ({ index, isOnlyRelay }: RelayRole): string[] => targets().flatMap(({ addresses }) =>
    isOnlyRelay ? addresses : addresses[index % Math.max(1, addresses.length)] ?? [])

  const tick = (): PeerEffect[] => {
    const role = relayRole()
    const nowMs = clock.nowMs()
    if (role === undefined || isSettling() || nowMs - sentMs < ZONE_LOAD_INTERVAL_MS) return []
    const isFull = isSummaryDue || nowMs - summarySentMs >= ZONE_SUMMARY_INTERVAL_MS
    if (!isFull && !hasChanged) return []
    const addresses = receivers(role)
    if (addresses.length === 0) return []
    sentMs = nowMs
    if (isFull) summarySentMs = nowMs
    hasChanged = false
    isSummaryDue = false
    return [{ kind: PeerEffectKind.Send, addresses, datagram: isFull ? createSummary() : createLoad() }]
  }

  return {
    recordChange: isState => {
      hasChanged = true
      isSummaryDue ||= isState
    },
    tick
  }
}
