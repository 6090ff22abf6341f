/** Name of the log stream that holds lease claims, renewals and assignments. */
export const LEASE_STREAM = 'leases'

/** Kind of a record in the lease stream. */
export enum LeaseRecordKind {
  Claim = 'claim',
  /** A claim in place of all earlier records, when no reader has seen some of them before they expired. */
  Restart = 'restart',
  Renewal = 'renewal',
  Assignment = 'assignment',
  Snapshot = 'snapshot',
  /** A record that fits no schema; every reader passes over it. */
  Unreadable = 'unreadable'
}

/** Why a record of the lease stream has no effect. */
export enum VoidReason {
  /** The claim names another claim than the one in effect as superseded. */
  ClaimLost = 'claim-lost',
  /** A later claim precedes the record in the log. */
  Superseded = 'superseded',
  /** A later assignment of the same claim precedes the record; it is a late or duplicate append. */
  OutOfSequence = 'out-of-sequence'
}

/** Rules of the lease stream; benches and tests switch one off to show that a detector fires. */
export enum LeaseRule {
  ClaimNamesSuperseded = 'claim-names-superseded',
  LaterClaimVoids = 'later-claim-voids',
  AssignmentSequence = 'assignment-sequence'
}

/** Rules of the order gate; switched off like `LeaseRule`. */
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

/** Answer of an engine to an order. */
export enum OrderResult {
  Done = 'done',
  /** The engine knows a later fencing token. */
  RefusedStale = 'refused-stale',
  Failed = 'failed'
}

/** What a gate knows about its engine. */
export enum EngineKnowledge {
  /** Nothing is known: after the start, a lost answer or a failed order. */
  Unknown = 'unknown',
  Querying = 'querying',
  Known = 'known',
  /** An order is in flight. */
  Ordering = 'ordering'
}

/** Whether the gate of a new agent may trust the tokens that it has seen. */
export enum FenceKnowledge {
  Unconfirmed = 'unconfirmed',
  Confirming = 'confirming',
  Confirmed = 'confirmed'
}

/** A holder that appended nothing for this long may be superseded. */
export const LEASE_DURATION_MS = 15_000
/** Entries claim at random times in this window, so that most of them see the first claim. */
export const LEASE_CLAIM_JITTER_MS = 5_000
export const LEASE_RENEW_INTERVAL_MS = 4_000
/** A claimant counts the holder's silence only while its own view of the log is this fresh. */
export const LEASE_VIEW_FRESH_MS = 6_000
/** An assignment that is not seen in the log after this time is appended again. */
export const ASSIGNMENT_RETRY_MS = 3_000

/** Loading weights through the rate-limited store takes minutes. */
export const ORDER_TIMEOUT_MS = 600_000
export const ENGINE_QUERY_TIMEOUT_MS = 5_000
/** How often a settled or busy engine is asked for its state; an engine may restart by itself. */
export const ENGINE_CHECK_INTERVAL_MS = 10_000
export const FENCE_CONFIRM_TIMEOUT_MS = 10_000
export const ORDER_RETRY_MIN_MS = 1_000
export const ORDER_RETRY_MAX_MS = 60_000
/** Failures after which the assignment is reported as failed; the gate keeps trying. */
export const ORDER_FAILURES_REPORTED = 3
