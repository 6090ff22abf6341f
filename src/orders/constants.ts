/** Name of the log stream that holds lease claims, renewals and assignments. */
export const LEASE_STREAM = 'leases'

/** Kind of a record in the lease stream. */
export enum LeaseRecordKind {
  Claim = 'claim',
  /** A claim that replaces all earlier records, after some of them expired before any reader had read them. */
  Restart = 'restart',
  Renewal = 'renewal',
  Assignment = 'assignment',
  Snapshot = 'snapshot',
  /** A record that matches no schema; every reader ignores it. */
  Unreadable = 'unreadable'
}

/** Why a record of the lease stream has no effect. */
export enum VoidReason {
  /** The claim names a different claim as superseded than the one in effect. */
  ClaimLost = 'claim-lost',
  /** A later claim precedes the record in the log. */
  Superseded = 'superseded',
  /** A later assignment of the same claim precedes the record; it is a late or duplicate append. */
  OutOfSequence = 'out-of-sequence'
}

/** Rules of the lease stream. Benchmarks and tests disable one to show that the violation is detected. */
export enum LeaseRule {
  ClaimNamesSuperseded = 'claim-names-superseded',
  LaterClaimVoids = 'later-claim-voids',
  AssignmentSequence = 'assignment-sequence'
}

/** Rules of the order gate, which can be disabled like those in `LeaseRule`. */
export enum GateRule {
  TokenChecked = 'token-checked',
  OneOrderAtATime = 'one-order-at-a-time',
  IdleAfterLoss = 'idle-after-loss',
  ConfirmedAtStart = 'confirmed-at-start'
}

/** Kind of an order that an engine understands. */
export enum OrderKind {
  LoadModel = 'load-model',
  ChangeRole = 'change-role',
  UnloadAdapter = 'unload-adapter',
  LoadAdapter = 'load-adapter'
}

/** Result of an order, from the response of the engine. */
export enum OrderResult {
  Done = 'done',
  /** The engine has seen a higher fencing token. */
  RefusedStale = 'refused-stale',
  Failed = 'failed'
}

/** What the order gate knows about the state of its engine. */
export enum EngineKnowledge {
  /** The state is unknown: after the start, a lost response or a failed order. */
  Unknown = 'unknown',
  Querying = 'querying',
  Known = 'known',
  /** An order is in flight. */
  Ordering = 'ordering'
}

/** Whether the order gate of a newly started agent has confirmed the highest fencing token. */
export enum FenceKnowledge {
  Unconfirmed = 'unconfirmed',
  Confirming = 'confirming',
  Confirmed = 'confirmed'
}

/** A holder that has appended nothing for this long may be superseded. */
export const LEASE_DURATION_MS = 15_000
/** Entries claim after a random delay in this window, so that most read the first claim before their own. */
export const LEASE_CLAIM_JITTER_MS = 5_000
export const LEASE_RENEW_INTERVAL_MS = 4_000
/** An entry measures the holder's silence only if its last read to the end of the log is at most this old. */
export const LEASE_VIEW_FRESH_MS = 6_000
/** An assignment that has not been read back from the log after this time is appended again. */
export const ASSIGNMENT_RETRY_MS = 3_000

/** Loading weights through the rate-limited store takes minutes. */
export const ORDER_TIMEOUT_MS = 600_000
export const ENGINE_QUERY_TIMEOUT_MS = 5_000
/** Interval of state queries to a settled or busy engine, because an engine may restart by itself. */
export const ENGINE_CHECK_INTERVAL_MS = 10_000
export const FENCE_CONFIRM_TIMEOUT_MS = 10_000
export const ORDER_RETRY_MIN_MS = 1_000
export const ORDER_RETRY_MAX_MS = 60_000
/** Consecutive failures after which the assignment is reported as failed; the gate continues to retry. */
export const ORDER_FAILURES_REPORTED = 3
