/** Messages handled by the worker limits of an entry. */
export enum WorkerLimitsMessageKind {
  /** A worker has responded to a request of this entry. */
  NoticeHeard = 'notice-heard',
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
  /** Waiting requests may be placed now, or must be refused. */
  PermitsChanged = 'permits-changed'
}

/** Whether an entry may send a request to a worker. */
export enum WorkerPermission {
  /** The worker names no limit. */
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
