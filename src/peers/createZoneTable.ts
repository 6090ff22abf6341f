import type { Clock, TimestampMs } from '../core/index.js'
import { PEER_FORGET_MS, PEER_NAMED_MS, PEER_SILENCE_MS } from './constants.js'
import { withoutUpstreamTimes } from './summarizeZone.js'
import type { ZoneLoad, ZoneSummary } from './types.js'

interface KnownZone {
  summary: ZoneSummary
  receivedMs: TimestampMs
  /** When the last complete summary arrived; only it tells which entries live, and a pause of this process does not move it. */
  listedMs: TimestampMs
  isLive: boolean
  /** Last sequence number of each run of a relay; late summaries are ignored. */
  sequences: Map<string, number>
}

/** Summaries of the other zones; the one received last holds, whichever relay of the zone created it. */
export interface ZoneTable {
  /** Returns false for a late summary. */
  putSummary (summary: ZoneSummary): boolean
  /** Returns the updated summary; undefined for a late load, or one of a zone without a summary. */
  putLoad (load: ZoneLoad): ZoneSummary | undefined
  isLive (zone: string): boolean
  /** Summaries of zones that have reported within PEER_SILENCE_MS. */
  live (): ZoneSummary[]
  /** Summaries whose lists of entries are recent. */
  listed (): ZoneSummary[]
  /** Summaries of all zones, also of those that have been silent for a while. */
  known (): ZoneSummary[]
  /** Returns the zones that have become silent. */
  expire (): string[]
  /** A pause of this process proves no silence of others. */
  recordPause (): void
}

/**
 * Creates the table of one entry.
 *
 * @example
 * const zones = createZoneTable({ clock })
 * zones.putSummary(summary)
 */
export const createZoneTable = ({ clock }: { clock: Clock }): ZoneTable => {
  const zones = new Map<string, KnownZone>()

  const isLate = ({ zone, relayIncarnation, sequence }: ZoneLoad) =>
    (zones.get(zone)?.sequences.get(relayIncarnation) ?? 0) >= sequence

  const put = (summary: ZoneSummary, listedMs: TimestampMs) => {
    const sequences = zones.get(summary.zone)?.sequences ?? new Map<string, number>()
    sequences.set(summary.relayIncarnation, summary.sequence)
    zones.set(summary.zone, { summary, receivedMs: clock.nowMs(), listedMs, isLive: true, sequences })
  }

  return {
    putSummary: summary => {
      if (isLate(summary)) return false
      put(summary, clock.nowMs())
      return true
    },
    putLoad: load => {
      const known = zones.get(load.zone)
      if (known === undefined || isLate(load)) return undefined
      const summary: ZoneSummary = { ...withoutUpstreamTimes(known.summary), ...load }
      put(summary, known.listedMs)
      return summary
    },
    isLive: zone => zones.get(zone)?.isLive ?? false,
    live: () => [...zones.values()].filter(({ isLive }) => isLive).map(({ summary }) => summary),
    listed: () => [...zones.values()].filter(({ isLive, listedMs }) => isLive && clock.nowMs() - listedMs <= PEER_NAMED_MS).map(({ summary }) => summary),
    known: () => [...zones.values()].map(({ summary }) => summary),
    expire: () => {
      const nowMs = clock.nowMs()
      const lost: string[] = []
      for (const [zone, known] of [...zones]) {
        const silentMs = nowMs - known.receivedMs
        if (known.isLive && silentMs > PEER_SILENCE_MS) {
          known.isLive = false
          lost.push(zone)
        }
        if (silentMs > PEER_FORGET_MS) zones.delete(zone)
      }
      return lost
    },
    recordPause: () => {
      for (const known of zones.values()) if (known.isLive) known.receivedMs = clock.nowMs()
    }
  }
}
