import type { Incarnation, TimestampMs } from '../core/index.js'
import { UpstreamState } from './constants.js'
import { createPrefixIndex, type PrefixIndex } from './prefixIndex.js'
import type { LoadReport } from './types.js'

/** One attempt that this entry dispatched. */
export interface Attempt {
  dispatchedMs: TimestampMs
  /** Work that was expected at dispatch: the uncached part of the prompt. */
  tokens: number
  /** Predicted time to process the queue and the prompt, without the learned overhead. */
  processingMs: number
  firstTokenSeen: boolean
  lastTokenMs: TimestampMs
}

/** What an entry knows about one upstream. */
export interface Upstream {
  upstreamId: string
  incarnation: Incarnation
  failureDomain: string
  state: UpstreamState
  /** Start of the ramp-up. */
  rampStartMs: TimestampMs
  report: LoadReport | undefined
  /** Work per second sent there by other entries, as a moving average. */
  otherInflowPerS: number
  /** Own dispatches since the last report was made. */
  recentDispatches: Array<{ atMs: TimestampMs, tokens: number }>
  attempts: Map<string, Attempt>
  prefix: PrefixIndex
  snapshotRequestedMs: TimestampMs
  /** Mean of the work of one dispatch, as a moving average. */
  meanTokens: number
  /** Time to the first token beyond the predicted processing of queued work, as a moving average. */
  overheadMs: number
  /** When the overhead and the failure ratio were last learned; without new samples they fade. */
  overheadAtMs: TimestampMs
  failureAtMs: TimestampMs
  /** Gap between tokens of own streams, as a slow moving average, and the last gap. */
  meanGapMs: number
  lastGapMs: number
  lastGapAtMs: TimestampMs
  failureRatio: number
  attemptCount: number
  consecutiveFailures: number
  ejectionCount: number
  ejectedUntilMs: TimestampMs
}

/** Returns the state of an upstream that was just announced. */
export const getDefaultUpstream = (
  { upstreamId, incarnation, failureDomain, nowMs }:
  { upstreamId: string, incarnation: Incarnation, failureDomain: string, nowMs: TimestampMs }
): Upstream => ({
  upstreamId,
  incarnation,
  failureDomain,
  state: UpstreamState.Serving,
  rampStartMs: nowMs,
  report: undefined,
  otherInflowPerS: 0,
  recentDispatches: [],
  attempts: new Map(),
  prefix: createPrefixIndex(),
  snapshotRequestedMs: Number.NEGATIVE_INFINITY,
  meanTokens: 0,
  overheadMs: 0,
  overheadAtMs: nowMs,
  failureAtMs: nowMs,
  meanGapMs: 0,
  lastGapMs: 0,
  lastGapAtMs: Number.NEGATIVE_INFINITY,
  failureRatio: 0,
  attemptCount: 0,
  consecutiveFailures: 0,
  ejectionCount: 0,
  ejectedUntilMs: 0
})
