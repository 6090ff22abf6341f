import type { Clock, TimestampMs } from '../core/index.js'
import { PAUSE_BACKLOG_MS, PAUSE_SETTLE_MS, PEER_PAUSE_MS, PEER_SILENCE_MS } from './constants.js'
import { DatagramContent } from './types.js'

/** Recognizes pauses of this process by its ticks. */
export interface PauseGuard {
  /** Called at each message; returns whether it is the first one after a pause. */
  observe (): boolean
  /** Called at each tick. */
  recordTick (): void
  /** Whether a datagram that arrives now may have waited through a pause and tells a state of unknown age. */
  isOutdated (content: DatagramContent): boolean
  /** Whether the entries that are alive have had no time yet to report after a pause in which they became silent. */
  isSettling (): boolean
}

/** Contents that tell the state of entries as of their sending; permits have their own time limits. */
const IS_STATE: Record<DatagramContent, boolean> = {
  [DatagramContent.Report]: true,
  [DatagramContent.Load]: true,
  [DatagramContent.ZoneSummary]: true,
  [DatagramContent.ZoneLoad]: true,
  [DatagramContent.Slowdown]: false,
  [DatagramContent.PermitRequest]: false,
  [DatagramContent.PermitAnswer]: false
}

/**
 * Creates the guard of one entry.
 *
 * @example
 * const guard = createPauseGuard({ clock })
 * if (guard.observe()) peers.recordPause()
 */
export const createPauseGuard = ({ clock }: { clock: Clock }): PauseGuard => {
  let lastTickMs: TimestampMs | undefined
  let backlogUntilMs: TimestampMs = -Infinity
  let settledAtMs: TimestampMs = -Infinity
  return {
    observe: () => {
      const nowMs = clock.nowMs()
      const gapMs = lastTickMs === undefined ? 0 : nowMs - lastTickMs
      if (gapMs <= PEER_PAUSE_MS) return false
      lastTickMs = nowMs
      backlogUntilMs = nowMs + PAUSE_BACKLOG_MS
      if (gapMs > PEER_SILENCE_MS) settledAtMs = nowMs + PAUSE_SETTLE_MS
      return true
    },
    recordTick: () => { lastTickMs = clock.nowMs() },
    isOutdated: content => IS_STATE[content] && clock.nowMs() < backlogUntilMs,
    isSettling: () => clock.nowMs() < settledAtMs
  }
}
