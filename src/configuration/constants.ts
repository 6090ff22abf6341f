/** Kind of a row in the operators' tables. */
export enum RowKind {
  Route = 'route',
  Pool = 'pool'
}

/** Whether the system may run a request again when its first attempt is lost. */
export enum RepeatPolicy {
  Idempotent = 'idempotent',
  AtMostOnce = 'atMostOnce'
}

/** Priority of a route; admission refuses the lowest first. */
export enum Priority {
  Interactive = 'interactive',
  Standard = 'standard',
  Batch = 'batch'
}

/** What an upstream of a pool is. */
export enum UpstreamKind {
  Engine = 'engine',
  Service = 'service'
}

/** Role of an engine inside its pool. */
export enum EngineRole {
  Prefill = 'prefill',
  Decode = 'decode',
  Mixed = 'mixed'
}

/** Name of the log stream that holds edits and snapshots. */
export const CONFIGURATION_STREAM = 'configuration'

export const ROW_NAME_LENGTH_MAX = 63
/** A request travels in one frame of at most 1 MiB, beside its headers. */
export const REQUEST_BYTES_MAX = 960 * 1024
export const DEADLINE_MAX_MS = 600_000

/** Kind of a record in the configuration stream. */
export enum ConfigurationRecordKind {
  Edit = 'edit',
  Snapshot = 'snapshot',
  /** The table of a reader that no other could lead over a gap; every reader takes it. */
  Restart = 'restart',
  /** A record that fits no schema; every reader passes over it. */
  Unreadable = 'unreadable'
}

/** Rules of reading a stream; benches and tests switch one off to show that a detector fires. */
export enum FollowerRule {
  SnapshotNeverBackwards = 'snapshot-never-backwards',
  GapStopsReading = 'gap-stops-reading',
  PeerMustBeHigher = 'peer-must-be-higher',
  HashChecked = 'hash-checked'
}

/** Rules of the verdict on an edit; switched off like `FollowerRule`. */
export enum EditRule {
  BaseOffset = 'base-offset',
  DuplicateEditIds = 'duplicate-edit-ids',
  TombstoneOffset = 'tombstone-offset',
  References = 'references'
}

/** How a row differs between two tables. */
export enum RowChangeKind {
  Added = 'added',
  Changed = 'changed',
  Removed = 'removed'
}

/** Progress of one edit from the command line to its verdict. */
export enum SubmitPhase {
  Appending = 'appending',
  /** The answer of the append was lost; the log shows whether it took effect. */
  ReadingAfterLoss = 'reading-after-loss',
  WaitingForVerdict = 'waiting-for-verdict',
  Settled = 'settled'
}

/** Gossip announces new offsets earlier; polling covers lost gossip within the 16 s target. */
export const READ_INTERVAL_MS = 2_000
/** An unanswered read counts as lost. */
export const READ_TIMEOUT_MS = 5_000
/** Agents that restart together each ask for one read to the end. */
export const END_REQUESTS_MAX = 1_024
/** Peers answer within seconds; a gap that lasts this long has no one left who has read the records. */
export const GAP_PERSISTS_MS = 60_000
export const ASK_PEERS_INTERVAL_MS = 1_000
/** A snapshot is due at a random point between these shares of the retention time, so that one
 * reader appends it and the others see it first; the rest of the time covers an outage. */
export const SNAPSHOT_EARLIEST_SHARE = 0.4
export const SNAPSHOT_LATEST_SHARE = 0.7
/** Pause before another attempt if an appended snapshot does not show up in the log. */
export const SNAPSHOT_RETRY_EARLIEST_SHARE = 0.05
export const SNAPSHOT_RETRY_LATEST_SHARE = 0.15

/** Almost two days at 570 edits a day; a duplicate append arrives minutes late at most. */
export const EDIT_IDS_REMEMBERED_MAX = 1_024
/** More than a week if every one of 570 edits a day is a deletion. */
export const TOMBSTONES_MAX = 4_096

export const EDIT_VERDICT_TIMEOUT_MS = 30_000
/** Pause before a lost append is repeated, longer than the usual delay of a late append. */
export const APPEND_RETRY_DELAY_MS = 1_000
export const APPEND_TIMEOUT_MS = 5_000
