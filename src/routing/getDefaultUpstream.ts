import type { Incarnation, TimestampMs } from '../core/index.js'
import { UpstreamState } from './constants.js'
import { createPrefixIndex, type PrefixIndex } from './prefixIndex.js'
import type { LoadReport } from './types.js'

/** One in-flight attempt of this entry. */
export interface Attempt {
  dispatchedMs: TimestampMs
  /** Work predicted at dispatch: the uncached part of the prompt. */
  tokens: number
  /** Predicted time to process the queue and the prompt, without the learned overhead. */
  processingMs: number
  firstTokenSeen: boolean
  lastTokenMs: TimestampMs
}

/** An entry's state for one upstream. */
export interface Upstream {
  upstreamId: string
  incarnation: Incarnation
  failureDomain: string
  state: UpstreamState
  /** Start of the ramp-up after the upstream appeared or was reinstated. */
  rampStartMs: TimestampMs
  report: LoadReport | undefined
  /** Work per second that other entries send to the upstream, as a moving average. */
  otherInflowPerS: number
  /** Dispatches of this entry since the time of the last report. */
  recentDispatches: Array<{ atMs: TimestampMs, tokens: number }>
  attempts: Map<string, Attempt>
  prefix: PrefixIndex
  snapshotRequestedMs: TimestampMs
  /** Work of one dispatch, as a moving average. */
  meanTokens: number
  /** Time to the first token beyond the predicted processing time of queued work, as a moving average. */
  overheadMs: number
  /** Times of the last samples of the overhead and the failure ratio; both decay without new samples. */
  overheadAtMs: TimestampMs
  failureAtMs: TimestampMs
  /** Gap between the tokens of this entry's streams, as a slow moving average, and the last gap. */
  meanGapMs: number
  lastGapMs: number
  lastGapAtMs: TimestampMs
  failureRatio: number
  attemptCount: number
  consecutiveFailures: number
  ejectionCount: number
  ejectedUntilMs: TimestampMs
}

/** Returns the initial state of an upstream that just appeared. */
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
