import type { SourceKind, StoreCallReason, Topic } from './constants.js'

/** One record of a keyed topic; the value is undefined if the key was deleted. */
export interface KeyedRecord {
  key: string
  value: Uint8Array | undefined
  offset: number
}

export type RecordSource =
  | { kind: SourceKind.Store }
  /** `ip:port` on which the entry passes on records. */
  | { kind: SourceKind.Entry, address: string }

/** Response to a list or read. */
export interface RecordPage {
  records: KeyedRecord[]
  /** Offset from which to continue. */
  end: number
  /** Era of the store's offsets: it rises when the store comes back from an older copy. Undefined from an entry. */
  era?: number
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
  list (timeoutMs: number): RecordCall
  /** Long poll: reads the records from an offset on; the source waits up to `waitMs` until there are any. */
  read (from: number, waitMs: number, timeoutMs: number): RecordCall
  isRecordsExpired (error: unknown): boolean
}

/** The topics of the store. */
export type StoreTopics = Record<Topic, TopicPort>

/** Listeners of the calls to the store, for the metrics. */
export type StoreCallListener = (topic: Topic, reason: StoreCallReason) => void
