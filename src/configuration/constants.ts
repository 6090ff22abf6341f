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
export const REQUEST_BYTES_MAX = 8 * 1024 * 1024
export const DEADLINE_MAX_MS = 600_000
