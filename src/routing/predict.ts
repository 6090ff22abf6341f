import type { TimestampMs } from '../core/index.js'
import { BLOCK_TOKENS, FAILURE_PENALTY_MS, MISS_WEIGHT, MISS_WEIGHT_MAX, MISS_WEIGHT_QUEUE_MS, RAMP_UP_MS, RAMP_UP_WEIGHT_MIN, REPORT_STALE_MS, TOKEN_GAP_MAX_AGE_MS, TOKEN_GAP_WEIGHT, UTILISATION_MAX } from './constants.js'
import { decay } from './decay.js'
import type { Upstream } from './getDefaultUpstream.js'
import type { ChooseRequest } from './types.js'

/** Prediction for one request on one upstream. */
export interface Prediction {
  upstream: Upstream
  queuedTokens: number
  uncachedTokens: number
  tokensPerS: number
  /** Wait until a running request ends and frees a slot. */
  slotWaitMs: number
  firstTokenMs: number
  /** Value by which upstreams are compared: the predicted time adjusted for cache misses, ramp-up and failures. */
  costMs: number
}

/** Share of its full load that a new or reinstated upstream gets during its ramp-up. */
export const rampWeight = ({ rampStartMs }: Upstream, nowMs: TimestampMs): number =>
  Math.min(1, Math.max(RAMP_UP_WEIGHT_MIN, (nowMs - rampStartMs) / RAMP_UP_MS))

/** Learned overhead, decayed by the time since its last sample. */
export const decayedOverheadMs = ({ overheadMs, overheadAtMs }: Upstream, nowMs: TimestampMs): number =>
  decay(overheadMs, nowMs - overheadAtMs)

/** Work of this entry's requests that have not produced a first token, so it must still be queued. */
const sumOwnQueuedTokens = ({ attempts }: Upstream): number => {
  let tokens = 0
  for (const attempt of attempts.values()) if (!attempt.firstTokenSeen) tokens += attempt.tokens
  return tokens
}

/**
 * Mean queue length of a server with random arrivals (M/M/1) at the inflow rate of the other entries. A
 * short queue in a report is processed before the report arrives; the inflow rate still distinguishes
 * upstreams.
 */
const steadyStateQueue = ({ otherInflowPerS, meanTokens }: Upstream, tokensPerS: number): number => {
  const utilisation = Math.min(UTILISATION_MAX, otherInflowPerS / tokensPerS)
  return meanTokens * utilisation / (1 - utilisation)
}

/**
 * Estimates the work queued at an upstream now: the queue in the last report, plus what this entry sent
 * and other entries probably sent since then, minus what the upstream processed in that time.
 */
export const estimateQueue = (upstream: Upstream, tokensPerS: number, nowMs: TimestampMs) => {
  const ownQueuedTokens = sumOwnQueuedTokens(upstream)
  const { report } = upstream
  if (report === undefined || nowMs - report.madeAtMs > REPORT_STALE_MS) return { tokens: ownQueuedTokens, requests: 0 }
  const ageS = Math.max(0, nowMs - report.madeAtMs) / 1_000
  const ownDispatchedTokens = upstream.recentDispatches.reduce((sum, { tokens }) => sum + tokens, 0)
  const inflow = ownDispatchedTokens + upstream.otherInflowPerS * ageS
  const queued = Math.max(steadyStateQueue(upstream, tokensPerS), report.queuedTokens + inflow - tokensPerS * ageS)
  // Own work without a first token is still queued, even if the report's timestamp suggests otherwise.
  return { tokens: Math.max(queued, ownQueuedTokens), requests: upstream.recentDispatches.length }
}

const slotWaitMs = ({ report }: Upstream, dispatchedRequests: number): number => {
  if (report === undefined || report.runningMax === 0 || report.finishedPerS <= 0) return 0
  const waiting = report.runningRequests + report.waitingRequests + dispatchedRequests + 1 - report.runningMax
  return Math.max(0, waiting) / report.finishedPerS * 1_000
}

/**
 * Expected delay by prompts that the upstream is processing now, seen as a longer gap between the last
 * tokens of this entry's streams. Gaps are more recent than any report.
 */
const prefillInProgressMs = ({ lastGapMs, lastGapAtMs, meanGapMs }: Upstream, nowMs: TimestampMs): number =>
  nowMs - lastGapAtMs > TOKEN_GAP_MAX_AGE_MS ? 0 : TOKEN_GAP_WEIGHT * (lastGapMs - meanGapMs)

/**
 * Predicts the time to the first token of a request on one upstream.
 *
 * @example
 * predict(upstream, request, { poolTokensPerS: 6_000, nowMs }).firstTokenMs
 */
export const predict = (
  upstream: Upstream,
  { blocks, tokens }: Pick<ChooseRequest, 'blocks' | 'tokens'>,
  { poolTokensPerS, nowMs }: { poolTokensPerS: number, nowMs: TimestampMs }
): Prediction => {
  const tokensPerS = upstream.report?.tokensPerS || poolTokensPerS
  const queue = estimateQueue(upstream, tokensPerS, nowMs)
  const cachedTokens = upstream.prefix.matchBlocks(blocks) * BLOCK_TOKENS * upstream.prefix.confidence
  const uncachedTokens = Math.max(Math.min(1, tokens), tokens - cachedTokens)
  const waitMs = slotWaitMs(upstream, queue.requests)
  const firstTokenMs = waitMs + decayedOverheadMs(upstream, nowMs) + (queue.tokens + uncachedTokens) / tokensPerS * 1_000
  const queueMs = queue.tokens / tokensPerS * 1_000
  const missWeight = Math.min(MISS_WEIGHT_MAX, MISS_WEIGHT + queueMs / MISS_WEIGHT_QUEUE_MS)
  const costMs = (firstTokenMs + prefillInProgressMs(upstream, nowMs) + (missWeight - 1) * uncachedTokens / tokensPerS * 1_000) / rampWeight(upstream, nowMs) + decay(upstream.failureRatio, nowMs - upstream.failureAtMs) * FAILURE_PENALTY_MS
  return { upstream, queuedTokens: queue.tokens, uncachedTokens, tokensPerS, slotWaitMs: waitMs, firstTokenMs, costMs }
}
