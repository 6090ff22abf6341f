/** Kind of a row in the configuration tables. */
export enum RowKind {
  Route = 'route',
  Pool = 'pool',
  /** Not a row that operators write: the edits of `baobabdrift evacuate` carry it, one for each failure domain. */
  Evacuation = 'evacuation'
}

/** Kinds of the rows that operators write in files. */
export const OPERATOR_ROW_KINDS = [RowKind.Route, RowKind.Pool] as const

/** Whether a request may be retried when the result of its first attempt is lost. */
export enum RepeatPolicy {
  Idempotent = 'idempotent',
  AtMostOnce = 'atMostOnce'
}

/** Priority of a route; admission rejects the lowest priority first. */
export enum Priority {
  Interactive = 'interactive',
  Standard = 'standard',
  Batch = 'batch'
}

/** Kind of the upstreams of a pool. */
export enum UpstreamKind {
  Engine = 'engine',
  Service = 'service'
}

/** Role of an engine in its pool. */
export enum EngineRole {
  Prefill = 'prefill',
  Decode = 'decode',
  Mixed = 'mixed'
}

/** Name of the log stream that holds edits and snapshots. */
export const CONFIGURATION_STREAM = 'configuration'

export const ROW_NAME_LENGTH_MAX = 63
/** A request and its headers must fit into one frame of at most 1 MiB. */
export const REQUEST_BYTES_MAX = 960 * 1024
export const DEADLINE_MAX_MS = 600_000

/** Kind of a record in the configuration stream. */
export enum ConfigurationRecordKind {
  Edit = 'edit',
  Snapshot = 'snapshot',
  /** The tables of a reader that could not recover from a gap; every reader replaces its tables by them. */
  Restart = 'restart',
  /** A record that matches no schema; every reader skips it. */
  Unreadable = 'unreadable'
}

/** Safety rules for reading a stream; benchmarks and tests disable one to show that its violation is detected. */
export enum FollowerRule {
  SnapshotNeverBackwards = 'snapshot-never-backwards',
  GapStopsReading = 'gap-stops-reading',
  PeerMustBeHigher = 'peer-must-be-higher',
  HashChecked = 'hash-checked'
}

/** Rules for the verdict on an edit; benchmarks and tests disable them like `FollowerRule`. */
export enum EditRule {
  BaseOffset = 'base-offset',
  DuplicateEditIds = 'duplicate-edit-ids',
  TombstoneOffset = 'tombstone-offset',
  References = 'references'
}

/** Kind of difference of a row between two tables. */
export enum RowChangeKind {
  Added = 'added',
  Changed = 'changed',
  Removed = 'removed'
}

/** Phase of submitting one edit from the command line. */
export enum SubmitPhase {
  Appending = 'appending',
  /** The reply to the append was lost; the log is read to find out whether it took effect. */
  ReadingAfterLostReply = 'reading-after-lost-reply',
  WaitingForVerdict = 'waiting-for-verdict',
  Settled = 'settled'
}

/** Gossip announces new offsets sooner; if it is lost, polling still reads them within the 16 s target. */
export const READ_INTERVAL_MS = 2_000
/** A read without a response for this time is considered failed. */
export const READ_TIMEOUT_MS = 5_000
/** Limit of open requests to read to the end; agents that restart together send one each. */
export const END_REQUESTS_MAX = 1_024
/** Peers reply within seconds; if a gap lasts this long, no peer has read the missing records. */
export const GAP_PERSISTS_MS = 60_000
export const ASK_PEERS_INTERVAL_MS = 1_000
/** A snapshot is due at a random point between these shares of the retention time, so that one
 * reader appends it and the others see it before their own is due. The remaining time covers an outage. */
export const SNAPSHOT_EARLIEST_SHARE = 0.4
export const SNAPSHOT_LATEST_SHARE = 0.7
/** Delay before the next attempt if an appended snapshot does not appear in the log, as shares of the retention time. */
export const SNAPSHOT_RETRY_EARLIEST_SHARE = 0.05
export const SNAPSHOT_RETRY_LATEST_SHARE = 0.15

/** Covers almost two days at 570 edits a day; a duplicate append arrives at most minutes late. */
export const EDIT_IDS_REMEMBERED_MAX = 1_024
/** Covers more than a week even if all of 570 edits a day are deletions. */
export const TOMBSTONES_MAX = 4_096

export const EDIT_VERDICT_TIMEOUT_MS = 30_000
/** Delay before an unconfirmed append is retried; longer than the usual delay of a late append. */
export const APPEND_RETRY_DELAY_MS = 1_000
export const APPEND_TIMEOUT_MS = 5_000
