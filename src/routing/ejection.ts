import type { TimestampMs } from '../core/index.js'
import {
  EJECTION_ATTEMPTS_MIN, EJECTION_BASE_MS, EJECTION_CONSECUTIVE_FAILURES, EJECTION_FAILURE_RATIO, EJECTION_MAX_MS,
  FAILURE_SMOOTHING, UpstreamState
} from './constants.js'
import { decay } from './decay.js'
import type { Upstream } from './getDefaultUpstream.js'

/** Updates the failure statistics with an attempt that succeeded or that failed because of the upstream. */
export const recordAttemptEnd = (upstream: Upstream, failed: boolean, nowMs: TimestampMs): void => {
  upstream.attemptCount += 1
  const decayedRatio = decay(upstream.failureRatio, nowMs - upstream.failureAtMs)
  upstream.failureRatio = decayedRatio + FAILURE_SMOOTHING * (Number(failed) - decayedRatio)
  upstream.failureAtMs = nowMs
  upstream.consecutiveFailures = failed ? upstream.consecutiveFailures + 1 : 0
  if (!failed && upstream.failureRatio < 0.01) upstream.ejectionCount = 0
}

const isOutlier = ({ consecutiveFailures, failureRatio, attemptCount }: Upstream): boolean =>
  consecutiveFailures >= EJECTION_CONSECUTIVE_FAILURES ||
  (attemptCount >= EJECTION_ATTEMPTS_MIN && failureRatio > EJECTION_FAILURE_RATIO)

/**
 * Ejects an outlier for a time that doubles with each ejection, unless the share of ejected upstreams
 * would exceed `setAsideShareMax`. Returns the reason, or undefined if the upstream stays in use.
 */
export const ejectOutlier = (
  upstream: Upstream,
  { upstreams, setAsideShareMax, nowMs }:
  { upstreams: ReadonlyMap<string, Upstream>, setAsideShareMax: number, nowMs: TimestampMs }
): string | undefined => {
  if (upstream.state !== UpstreamState.Serving || !isOutlier(upstream)) return undefined
  let ejectedCount = 0
  for (const { state } of upstreams.values()) ejectedCount += Number(state === UpstreamState.Ejected)
  if (ejectedCount + 1 > Math.floor(setAsideShareMax * upstreams.size)) return undefined
  upstream.state = UpstreamState.Ejected
  upstream.ejectedUntilMs = nowMs + Math.min(EJECTION_MAX_MS, EJECTION_BASE_MS * 2 ** upstream.ejectionCount)
  upstream.ejectionCount += 1
  return `${upstream.consecutiveFailures} consecutive failures, failure ratio ${upstream.failureRatio.toFixed(2)}`
}

/** Reinstates an upstream whose ejection time is over; it ramps up again. Returns true if it was reinstated. */
export const reinstateIfDue = (upstream: Upstream, nowMs: TimestampMs): boolean => {
  if (upstream.state !== UpstreamState.Ejected || nowMs < upstream.ejectedUntilMs) return false
  upstream.state = UpstreamState.Serving
  upstream.rampStartMs = nowMs
  // A single further failure ejects it again.
  upstream.consecutiveFailures = EJECTION_CONSECUTIVE_FAILURES - 1
  return true
}
