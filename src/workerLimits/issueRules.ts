import { COLD_OTHER_ZONE_SHARE, COLD_PERMIT_LIFETIME_MS, LimitSource, PERMIT_BURST_MS, PERMIT_LIFETIME_MS, PERMITS_SAVED_MIN } from './constants.js'

/** Why a worker is limited, and how many requests per second it may get from all entries together. */
export interface LimitInForce {
  limitPerS: number
  source: LimitSource
}

/** How permits are issued and kept, by the source of the limit. */
export interface IssueRules {
  permitLifetimeMs: number
  /** Whether the lifetime counts from when the entry asked, or from the answer, which a paused entry handles late. */
  isCountedFromAsk: boolean
  /** Permits that an issuer saves up while it is asked now and then. */
  savedMaxOf: (permitsPerMs: number) => number
  /** Share that is issued by an entry that knows no entry in the worker's zone, and takes itself for the first of all. */
  otherZoneShare: number
  /** Whether an issuer that does not reach all entries of its zone issues a part only, as the others may have an issuer, too. */
  isSharedByParts: boolean
  /** Whether an issuer that was paused issues nothing at first, as the others may have taken it for lost. */
  isSettledAfterPause: boolean
}

/** The bound of a cold worker holds in each second and in a partition, so its rules are the stricter ones. */
export const ISSUE_RULES: Record<LimitSource, IssueRules> = {
  [LimitSource.Named]: {
    permitLifetimeMs: PERMIT_LIFETIME_MS,
    isCountedFromAsk: false,
    savedMaxOf: permitsPerMs => Math.max(PERMITS_SAVED_MIN, permitsPerMs * PERMIT_BURST_MS),
    otherZoneShare: 1,
    isSharedByParts: false,
    isSettledAfterPause: false
  },
  [LimitSource.Cold]: {
    permitLifetimeMs: COLD_PERMIT_LIFETIME_MS,
    isCountedFromAsk: true,
    savedMaxOf: () => 1,
    otherZoneShare: COLD_OTHER_ZONE_SHARE,
    isSharedByParts: true,
    isSettledAfterPause: true
  }
}

/**
 * Combines the limit that a worker names with that of its cold time: the lower one applies, under the rules of a cold
 * worker while it is cold. Undefined if there is neither.
 *
 * @example
 * combineLimits(1.6, 12) // { limitPerS: 1.6, source: LimitSource.Cold }
 */
export const combineLimits = (namedPerS: number | undefined, coldPerS: number | undefined): LimitInForce | undefined => {
  if (coldPerS !== undefined) return { limitPerS: Math.min(namedPerS ?? coldPerS, coldPerS), source: LimitSource.Cold }
  return namedPerS === undefined ? undefined : { limitPerS: namedPerS, source: LimitSource.Named }
}
