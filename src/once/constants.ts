/** Bindings of idempotency keys are spread over this many log streams. */
export const ONCE_SHARDS = 32

/** Name of the log stream of one shard. */
export const onceStream = (shard: number): string => `once-${shard}`

/** Largest difference between two clocks of the fleet, the callers and the log that is tolerated. */
export const CLOCK_SKEW_MARGIN_MS = 5_000

/** With 32 shards at most 256 appends a second of the fleet's append budget are used for bindings. */
export const APPEND_INTERVAL_MS = 125
export const LOG_RETRY_MAX_MS = 2_000
/** Bounds the size of one record. */
export const BATCH_BINDINGS_MAX = 256
export const PAGE_RECORDS_MAX = 256
/** Requests that wait for a binding in one shard; further ones are refused. */
export const BIND_QUEUE_MAX = 1_024
/**
 * Bindings held per shard: twice the full-size rate of 160 keyed calls/s over the default window.
 * An entry that owns all shards holds 192,000 bindings of about 325 bytes.
 */
export const BINDINGS_PER_SHARD_MAX = 6_000
/** The owner answers that the log is unavailable after this time. */
export const BIND_WAIT_MAX_MS = 2_000

/** An entry repeats a request to the owner that stays unanswered; it may have moved. */
export const BIND_RETRY_MS = 500
/** An entry gives up on a binding before the deadline, so that callers learn of a log outage early. */
export const BIND_PHASE_MAX_MS = 5_000
/** Equals the silence limit of a link. */
export const AGENT_SILENCE_MS = 2_000
export const PROBE_RETRY_MS = 500
/** Each rebind costs an append; a call that is voided more often ends as not run. */
export const REBINDS_MAX = 3
/** Chunks that arrived early and wait for a missing one; further ones are requested again. */
export const EARLY_CHUNKS_MAX = 64

/** About 2.2 KB per ended run with a small answer, so 44 MB next to the bytes of the answers. */
export const AGENT_KEYS_MAX = 20_000
export const ANSWER_BYTES_MAX = 1024 * 1024
export const ANSWERS_BYTES_MAX = 32 * 1024 * 1024

/** Kind of an item in a binding record. */
export enum BindingKind {
  Bind = 'bind',
  Rebind = 'rebind'
}

/** What an agent knows about a key when it is asked. */
export enum KeyState {
  Running = 'running',
  Done = 'done',
  /** The question itself voided the binding, which proves that the key has not run so far. */
  Voided = 'voided',
  /** The binding was void before; a later binding may have run since. */
  AlreadyVoid = 'already-void'
}
