import type { WarmUpProfile } from '../configuration/index.js'
import { COLD_ARRIVAL_SPREAD_MS, COLD_ISSUERS_MAX, COLD_PERMIT_LIFETIME_MS, COLD_SAVED_PERMITS_MAX, LIMIT_MIN_PER_S } from './constants.js'

/** The requests that a cold worker may get in any second: the rate that it takes x `excess` + `slack`. */
export interface WarmUpBounds {
  excess?: number
  slack?: number
}

/** Warm-up of the workers of a service as it is applied. */
export interface WarmUp {
  /** Upper bound of the time for which a worker stays cold. */
  durationMs: number
  /** Permits that the first issuer of a cold worker issues per second. */
  permitsPerS: number
}

const MS_PER_S = 1_000
/** Permits that are used at a worker within a second may have been issued within this time. */
const ISSUING_WINDOW_S = (MS_PER_S + COLD_PERMIT_LIFETIME_MS + COLD_ARRIVAL_SPREAD_MS) / MS_PER_S

/**
 * Returns the rate at which permits for a cold worker are issued. Each issuer issues at most one saved permit and then
 * those of its rate, over a second, the lifetime of a permit and the spread of arrivals; the issuers that do not know of
 * each other have no more than COLD_ISSUERS_MAX times the rate. So the sum of all permits used in a second is within
 * the bound (docs/design/warm-up.md).
 *
 * @example
 * coldPermitsPerS(26, { excess: 1.5, slack: 5 }) // 12.2
 */
export const coldPermitsPerS = (requestsPerS: number, { excess = 1, slack = 0 }: WarmUpBounds = {}): number => {
  const withinBound = (requestsPerS * excess + slack - COLD_SAVED_PERMITS_MAX) / (COLD_ISSUERS_MAX * ISSUING_WINDOW_S)
  return Math.max(LIMIT_MIN_PER_S, Math.min(requestsPerS, withinBound))
}

/**
 * Applies the bounds of a deployment to the warm-up of a service; undefined for a service without warm-up.
 *
 * @example
 * warmUpInForce({ durationMs: 3_000, requestsPerS: 26 }, { excess: 1.5, slack: 5 })
 */
export const warmUpInForce = (profile: WarmUpProfile | undefined, bounds?: WarmUpBounds): WarmUp | undefined =>
  profile === undefined ? undefined : { durationMs: profile.durationMs, permitsPerS: coldPermitsPerS(profile.requestsPerS, bounds) }
