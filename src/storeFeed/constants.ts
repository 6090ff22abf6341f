/** Topics of the store that processes follow. */
export enum Topic {
  Operator = 'operator',
  Workers = 'workers'
}

/** From where a process reads records. */
export enum SourceKind {
  /** The store itself; only the readers of a zone use it while all is well. */
  Store = 'store',
  /** An entry that passes on what it has read. */
  Entry = 'entry'
}

/** Why the store is called, for the metrics. */
export enum StoreCallReason {
  /** This process reads for its zone, or knows no entry that does. */
  Reader = 'reader',
  /** A peer has had newer records for too long. */
  Behind = 'behind',
  /** The entries that pass on records did not respond. */
  EntriesFailed = 'entries-failed'
}

/** Each long poll waits a random time in this range, so that some reader always gets new records on a working connection. */
export const READ_WAIT_MIN_MS = 4_000
export const READ_WAIT_MAX_MS = 7_000
/** If a read exceeds its wait by this time, its connection is broken or the source is unavailable. */
export const READ_TIMEOUT_MARGIN_MS = 1_000
/** The same for a read that must notice soon that its connection is broken, while its source responds quickly. */
export const SILENCE_MARGIN_MS = 300
/** What such a read allows for a source that responds slowly: this many times its last delay. */
export const SILENCE_DELAY_FACTOR = 3
/** Time that a record takes from the first process that reads it to the last one that learns of it by a report. */
export const SPREAD_MS = 1_000
/**
 * The first readers of this many zones, the first ones by name, notice by themselves that their connections are silent; all
 * other entries learn from their reports that they miss records. The second one covers a zone that has lost the store.
 */
export const WATCHING_ZONES = 2
/** A read is not timed out sooner, however soon a record must be in force. */
export const NOTICE_MIN_MS = 800
export const LIST_TIMEOUT_MS = 1_500
/** Delay between reads from the store, so that one call fetches records that arrive in quick succession. */
export const READ_BATCH_DELAY_MS = 150
export const RETRY_DELAY_MIN_MS = 100
export const RETRY_DELAY_MAX_MS = 600
/** If a peer has had newer records for this time, this process reads them from the store on a new connection. */
export const PEER_AHEAD_LIMIT_MS = 300
/** Spreads the calls of processes whose reader is stuck. */
export const PEER_AHEAD_JITTER_MS = 300
/** After this many failed calls in a row to entries, the next call goes to the store. */
export const ENTRY_FAILURES_MAX = 2
/** A process that could not reach the store is not chosen as a reader for this time, unless a later call succeeds. */
export const STORE_DISTRUST_MS = 10_000

/**
 * Entries of the fleet that read from the store; all others get the records from them. Each zone has one at least. A store
 * that no longer answers some machines must not silence all of the readers.
 */
export const READERS_MIN = 5
/** An entry without a report for this time is not used as a reader; shorter than the bound for draining workers. */
export const READER_SILENCE_MS = 1_200

/** Era of a store that has never come back from an older copy. */
export const FIRST_ERA = 1
/**
 * A process that starts from a store that came back from a copy asks an entry for what the store may have lost: at this
 * interval, and for this time, until one has answered.
 */
export const CONFIRM_INTERVAL_MS = 300
export const CONFIRM_TIME_MS = 5_000
/** A process remembers for this time that a key was removed; the store may come back from a copy that still has it. */
export const REMOVED_KEEP_MS = 60_000
/** Records that a process keeps for those that it passes them on to. */
export const KEPT_RECORDS_MAX = 2_000
export const KEPT_BYTES_MAX = 2 * 1024 * 1024
/**
 * Last records of a topic by which a process finds where the log of an older copy ends. A copy that is older by more than
 * these records is compared by its list alone.
 */
export const HISTORY_RECORDS = 64
/** Keys without an order that a process remembers, removed ones included; an operator writes one for each evacuation. */
export const REMEMBERED_KEYS_MAX = 1_000
