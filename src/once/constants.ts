/** Number of log streams over which the bindings of idempotency keys are distributed. */
export const ONCE_SHARDS = 32

/** Name of the log stream of one shard. */
export const onceStream = (shard: number): string => `once-${shard}`

/** Largest tolerated skew between any two clocks of the fleet, the callers and the log. */
export const CLOCK_SKEW_MARGIN_MS = 5_000

/** Limits bindings to 256 appends/s of the fleet's append budget, over 32 shards. */
export const APPEND_INTERVAL_MS = 125
export const LOG_RETRY_MAX_MS = 2_000
/** Limits the size of one log record. */
export const BATCH_BINDINGS_MAX = 256
export const PAGE_RECORDS_MAX = 256
/** Requests waiting for a binding in one shard; further ones are refused. */
export const BIND_QUEUE_MAX = 1_024
/**
 * Bindings kept per shard: twice the full-size load of 160 keyed calls/s over the default window.
 * An entry that owns all shards keeps 192,000 bindings of about 325 bytes each.
 */
export const BINDINGS_PER_SHARD_MAX = 6_000
/** After this time the owner replies that the log or the binding is unavailable. */
export const BIND_WAIT_MAX_MS = 2_000

/** An entry retries a bind request without a reply after this time, as the shard may have another owner. */
export const BIND_RETRY_MS = 500
/** An entry stops waiting for a binding after this time, so that callers learn of a log outage early. */
export const BIND_PHASE_MAX_MS = 5_000
/** Equals the time after which a link without replies is considered lost. */
export const AGENT_REPLY_TIMEOUT_MS = 2_000
export const PROBE_RETRY_MS = 500
/** Each rebind costs an append; a call that is voided more often ends, usually as not run. */
export const REBINDS_MAX = 3
/** Chunks buffered ahead of a missing one; further ones are dropped and requested again. */
export const REORDER_CHUNKS_MAX = 64

/** An ended run with a small response takes about 2.2 KB, so a full table takes 44 MB besides the response bytes. */
export const AGENT_KEYS_MAX = 20_000
export const ANSWER_BYTES_MAX = 1024 * 1024
export const ANSWERS_BYTES_MAX = 32 * 1024 * 1024
/** Chunks of one response, and of all, as each takes about 75 bytes besides its own. */
export const ANSWER_CHUNKS_MAX = 8_192
export const ANSWERS_CHUNKS_MAX = 131_072

/** Kind of an item in a binding record. */
export enum BindingKind {
  Bind = 'bind',
  Rebind = 'rebind'
}

/** State of a key at its agent. */
export enum KeyState {
  Running = 'running',
  Done = 'done',
  /** This request voided the binding, which proves that the key has not run so far. */
  Voided = 'voided',
  /** The binding was already void; a later binding may have run since. */
  AlreadyVoid = 'already-void'
}
