import { Priority } from '../configuration/index.js'

/** Messages handled by the customer limits of an entry. */
export enum CustomerLimitsMessageKind {
  AdmitRequested = 'admit-requested',
  Ended = 'ended',
  ShareReceived = 'share-received',
  Tick = 'tick'
}

export enum CustomerLimitsEffectKind {
  Admitted = 'admitted',
  Refused = 'refused',
  DemandReported = 'demand-reported'
}

/** Messages handled by the coordinator of customer limits. */
export enum CoordinatorMessageKind {
  DemandReceived = 'demand-received',
  Tick = 'tick'
}

export enum CoordinatorEffectKind {
  ShareGranted = 'share-granted'
}

export enum RetryBudgetMessageKind {
  RequestSeen = 'request-seen',
  RetryRequested = 'retry-requested'
}

export enum RetryBudgetEffectKind {
  RetryAllowed = 'retry-allowed',
  RetryRefused = 'retry-refused'
}

export enum AdmissionMessageKind {
  AdmitRequested = 'admit-requested',
  Ended = 'ended'
}

export enum AdmissionEffectKind {
  Admitted = 'admitted',
  Refused = 'refused'
}

/** Interval at which active entries report their demand; the owner of the core sends ticks at this interval. */
export const DEMAND_INTERVAL_MS = 1_000
/** Lifetime of a granted share; longer than it takes to detect and replace a lost coordinator. */
export const SHARE_LIFETIME_MS = 5_000
/** Weight of the newest interval in the moving average of the offered rate. */
export const DEMAND_SMOOTHING = 0.5
/** An entry without a grant reports its demand only above this fraction of its equal share. */
export const DEMAND_REPORT_RATIO = 0.5
/** Factor on the reported demand when shares are computed, so that a growing demand is not limited at once. */
export const DEMAND_HEADROOM = 1.2
/**
 * Maximum number of keys (customers, pools or limits) that one core tracks. Beyond it, admission and the retry
 * budget evict the least recently used key, the customer limits the least recently used one without running
 * requests (none if all have some), and the limit coordinator the one it created first.
 */
export const LIMIT_KEYS_MAX = 8_192

/** Maximum number of retries that a customer or pool may accumulate while nothing fails. */
export const RETRY_TOKENS_MAX = 10
/** Starts full, as a lost upstream fails all its requests at once, even after only a few earlier requests. */
export const RETRY_TOKENS_INITIAL = RETRY_TOKENS_MAX

/**
 * Longest wait for the start of processing that admission allows, and the users' target for the time to
 * the first token. Longer queues do not complete more requests: at twice the capacity, queues of several
 * seconds spread prompts over all caches and cost a tenth of the goodput.
 */
export const START_WAIT_LIMIT_MS = 1_300
/**
 * Range of predicted waits in which requests are refused, by priority, as fractions of the start wait limit
 * or of the remaining time if that is shorter. The probability of a refusal rises from 0 at `from` to 1 at
 * `to`. A gradual rise keeps entries that see the same delayed reports from refusing and admitting in step.
 */
export const ADMISSION_RANGE: Record<Priority, { from: number, to: number }> = {
  [Priority.Interactive]: { from: 0.5, to: 0.85 },
  [Priority.Standard]: { from: 0.3, to: 0.7 },
  [Priority.Batch]: { from: 0.15, to: 0.35 }
}
/** Factor on the admission range for customers above their share. */
export const OVER_SHARE_FACTOR = 0.5
/** A customer is above its share if it uses more than this multiple of the mean of all active customers. */
export const OVER_SHARE_RATIO = 2
/** Half-life of a customer's recorded use. */
export const USE_HALF_LIFE_MS = 10_000
export const RETRY_AFTER_MS = 1_000
