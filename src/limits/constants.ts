import { Priority } from '../configuration/index.js'

/** Messages of the customer limits at an entry. */
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

/** Messages of the coordinator of customer limits. */
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

/** Interval at which active entries report demand; the owner of the core ticks at this pace. */
export const DEMAND_INTERVAL_MS = 1_000
/** Longer than the time in which a lost coordinator is noticed and replaced. */
export const SHARE_LIFETIME_MS = 5_000
/** Moving average of the offered rate, weight of the newest interval. */
export const DEMAND_SMOOTHING = 0.5
/** An entry takes part in the division only above this part of its equal share. */
export const DEMAND_REPORT_RATIO = 0.5
/** Share granted beyond the reported demand, so that a growing demand is not cut at once. */
export const DEMAND_HEADROOM = 1.2
/** Limits of customers remembered by one core; the ones unused for longest go first. */
export const LIMIT_KEYS_MAX = 8_192

/** Retries that a customer or pool may save up while nothing fails. */
export const RETRY_TOKENS_MAX = 10
/** A lost upstream fails all its requests at once, also where few requests came before. */
export const RETRY_TOKENS_INITIAL = RETRY_TOKENS_MAX

/**
 * Longest wait for the start of processing that admission builds up, and the users' target for the
 * first token. Longer queues finish no more requests: at twice the capacity, queues of several
 * seconds spread prompts over all caches and cost a tenth of the goodput.
 */
export const START_WAIT_LIMIT_MS = 1_300
/**
 * Part of the start wait limit, or of the time left if that is shorter, at which requests are
 * refused by priority: some at `from`, all at `to`. The range keeps entries that see the same late
 * reports from opening and closing together.
 */
export const ADMISSION_RANGE: Record<Priority, { from: number, to: number }> = {
  [Priority.Interactive]: { from: 0.5, to: 0.85 },
  [Priority.Standard]: { from: 0.3, to: 0.7 },
  [Priority.Batch]: { from: 0.15, to: 0.35 }
}
/** Factor on the range for customers that use more than their share. */
export const OVER_SHARE_FACTOR = 0.5
/** A customer is over its share above this multiple of the mean use of active customers. */
export const OVER_SHARE_RATIO = 2
/** Time in which the use of a customer counts half. */
export const USE_HALF_LIFE_MS = 10_000
export const RETRY_AFTER_MS = 1_000
