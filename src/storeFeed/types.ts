import type { LogPosition } from '../core/index.js'
import type { ConnectionUse } from '../upstreams/index.js'
import type { SourceKind, StoreCallReason, Topic } from './constants.js'

/** One record of a keyed topic; the value is undefined if the key was deleted. */
export interface KeyedRecord extends LogPosition {
  key: string
  value: Uint8Array | undefined
  /** Set by entries that pass on a record which the store has lost with an older copy. */
  isLost?: boolean
}

export type RecordSource =
  | { kind: SourceKind.Store }
  /** `ip:port` on which the entry passes on records. */
  | { kind: SourceKind.Entry, address: string }

/** Response to a list or read. */
export interface RecordPage {
  records: KeyedRecord[]
  /** Position from which to continue. */
  end: LogPosition
  /** Time since the source has regained the store, in ms; undefined from the store itself, or if it was never lost. */
  sinceRecoveryMs?: number | undefined
}

export interface RecordCall {
  result: Promise<RecordPage>
  /** Cancels the call and closes its connection; `result` rejects. */
  abort (): void
}

/** One keyed topic of the store, or of an entry that passes it on. */
export interface TopicPort {
  /** Reads the latest record of each key. */
  list (timeoutMs: number, use?: ConnectionUse): RecordCall
  /** Long poll: reads the records from a position on; the source waits up to `waitMs` until there are any. */
  read (from: LogPosition, waitMs: number, timeoutMs: number, use?: ConnectionUse): RecordCall
  isRecordsExpired (error: unknown): boolean
  /** Whether the call failed because it got no response within its timeout. */
  isSilence (error: unknown): boolean
}

/** The topics of the store. */
export type StoreTopics = Record<Topic, TopicPort>

/** Listeners of the calls to the store, for the metrics. */
export type StoreCallListener = (topic: Topic, reason: StoreCallReason) => void
