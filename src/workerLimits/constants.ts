/** Messages handled by the worker limits of an entry. */
export enum WorkerLimitsMessageKind {
  /** A worker has responded to a request of this entry. */
  NoticeHeard = 'notice-heard',
  /** The registration of a worker was read. */
  WorkerRead = 'worker-read',
  /** Another entry has reported the limits that it knows. */
  LimitsReported = 'limits-reported',
  /** A request could be sent to a worker if this entry had a permit. */
  PermitWanted = 'permit-wanted',
  /** Another entry asks this one for permits. */
  PermitsRequested = 'permits-requested',
  /** The issuer has answered this entry. */
  PermitsAnswered = 'permits-answered',
  Tick = 'tick'
}

export enum WorkerLimitsEffectKind {
  SendRequest = 'send-request',
  SendAnswer = 'send-answer',
  /** A worker names another limit than before, or none. */
  LimitChanged = 'limit-changed',
  /** A worker has become cold, or warm. */
  ColdChanged = 'cold-changed',
  /** Waiting requests may be placed now, or must be refused. */
  PermitsChanged = 'permits-changed'
}

/** Why requests to a worker need permits. */
export enum LimitSource {
  /** The worker names a limit in its responses. */
  Named = 'named',
  /** The worker's registration says that it is cold. */
  Cold = 'cold'
}

/** Whether an entry may send a request to a worker. */
export enum WorkerPermission {
  /** The worker names no limit and is warm. */
  Unlimited = 'unlimited',
  /** The entry has a permit for one request or more. */
  Permitted = 'permitted',
  /** The entry has no permit and may ask for one. */
  Askable = 'askable',
  /** The entry has asked for permits, and the answer is outstanding. */
  Asked = 'asked',
  /** The issuer has no permit for now. */
  Denied = 'denied',
  /** The worker has turned a request of this entry away and wants none for now. */
  Paused = 'paused'
}

export const LIMITS_TICK_MS = 50
/** Entries are told for this time that a worker no longer names a limit. */
export const LIFTED_LIMIT_KEEP_MS = 30_000
/** Limits in one report to the other entries, which must fit into a datagram. */
export const REPORTED_LIMITS_MAX = 64
/** Lowest rate at which permits are issued: only a response shows that a worker no longer names a limit of 0. */
export const LIMIT_MIN_PER_S = 0.1
/** Permits not used within this time have expired. */
export const PERMIT_LIFETIME_MS = 1_000
/** Permits that an issuer saves up while nobody asks, as time at the limit, but at least PERMITS_SAVED_MIN. */
export const PERMIT_BURST_MS = 250
export const PERMITS_SAVED_MIN = 2
/** An issuer that nobody has asked for this time has saved one permit only: the others may have asked another one. */
export const ISSUER_IDLE_MS = 1_500
/** Permits in one answer, as time at the limit, but at least one. */
export const PERMIT_BATCH_MS = 50
/** Upper bound of the permits in one answer. */
export const PERMITS_MAX = 1_000
/** A request for permits that is not answered within this time has failed. */
export const PERMIT_TIMEOUT_MS = 250
/** Failures in a row after which an entry asks the next issuer. */
export const ISSUER_FAILURES_MAX = 2
/** Time after which an issuer that did not answer is asked again. */
export const ISSUER_RETRY_MS = 3_000
/** An entry issues no permits for this time after its start, as it may not know the other entries yet. */
export const ISSUER_SETTLE_MS = 1_000
/** Upper bound of the random delay before an entry asks again after a denial, so that not always the same one is first. */
export const ASK_JITTER_MAX_MS = 400
/** An upstream that is leaving is reported as closed for this time, longer than the interval of reports. */
export const LEAVING_CLOSED_MS = 60_000
/** A denial holds for this time at most: another issuer, or a higher limit, may have a permit earlier. */
export const DENIAL_MAX_MS = 2_000
/** An issuer forgets a worker that nobody has asked about for this time. */
export const ISSUER_FORGET_MS = 60_000
/**
 * Lifetime of a permit for a cold worker, from when the entry asked. A longer one lets more permits of one second be used
 * in the next, so that fewer may be issued; a shorter one expires before a small entry has its next request.
 */
export const COLD_PERMIT_LIFETIME_MS = 500
/** Difference between the times that two requests take from their entries to the worker. */
export const COLD_ARRIVAL_SPREAD_MS = 100
/**
 * Sum of the shares of all issuers of a cold worker that do not know of each other. One partition into three zones has
 * 1.25 x (1 + 2 x COLD_OTHER_ZONE_SHARE) = 1.875; two first issuers, while one takes over from the other, have 2.
 */
export const COLD_ISSUERS_MAX = 2
/** Issuers that may each have saved one permit: two in the worker's zone, one in each other zone, and one that stops. */
export const COLD_SAVED_PERMITS_MAX = 5
/** Share that the first issuer of another zone issues while it knows no entry in the zone of the cold worker. */
export const COLD_OTHER_ZONE_SHARE = 0.25
/** An entry that has handled no message for this time was paused; a tick comes every LIMITS_TICK_MS. */
export const ISSUER_PAUSE_MS = 500
/** An entry that is not known any more counts as cut off for this time, as long as it still gets reports (PEER_FORGET_MS). */
export const ROSTER_KEEP_MS = 120_000
/** Interval in which an entry notes which others it knows. */
export const ROSTER_INTERVAL_MS = 500
