import type { Clock, Core, LogPosition, Random, TimestampMs } from '../core/index.js'
import type { StoreCallReason } from './constants.js'
import type { KeyedRecord, RecordSource } from './types.js'

export enum FeedMessageKind {
  Started = 'started',
  /** The latest record of each key; `end` is the position from which to continue. */
  Listed = 'listed',
  /** Records in log order; `end` is the position from which to continue. */
  RecordsRead = 'records-read',
  /** The records to read next have expired; the latest record of each key is still available. */
  RecordsExpired = 'records-expired',
  CallFailed = 'call-failed',
  /** A peer has read up to this position. */
  PeerAhead = 'peer-ahead',
  /** The process was paused, so its state may be out of date. */
  ProcessResumed = 'process-resumed',
  Tick = 'tick'
}

export interface FeedPage { callId: number, records: readonly KeyedRecord[], end: LogPosition, sinceRecoveryMs?: number | undefined }

export type FeedMessage =
  | { kind: FeedMessageKind.Started }
  | { kind: FeedMessageKind.Listed } & FeedPage
  | { kind: FeedMessageKind.RecordsRead } & FeedPage
  | { kind: FeedMessageKind.RecordsExpired, callId: number }
  /** `isSilent` is set if there was no response within the timeout of the call. */
  | { kind: FeedMessageKind.CallFailed, callId: number, reason: string, isSilent?: boolean }
  | { kind: FeedMessageKind.PeerAhead, position: LogPosition }
  | { kind: FeedMessageKind.ProcessResumed }
  | { kind: FeedMessageKind.Tick }

export enum FeedEffectKind {
  /** Requests the latest record of each key. */
  List = 'list',
  /** Long poll: the source responds as soon as there is a record, or after `waitMs`. */
  Read = 'read',
  /** Aborts the call in flight and closes its connection. */
  Abort = 'abort',
  /** Replaces the whole state; keys that are not among the records no longer exist. */
  ReplaceAll = 'replace-all',
  Apply = 'apply',
  /** A call got no response in time; it is repeated at once on a new connection, which shows whether the source responds. */
  ConnectionSilent = 'connection-silent',
  /** The source has responded on the new connection. */
  ConnectionReplaced = 'connection-replaced',
  /** An entry did not respond. */
  EntryFailed = 'entry-failed',
  StoreUnavailable = 'store-lost',
  /** The store is available again, as this process or the entry that it reads from has found. */
  StoreRecovered = 'store-regained'
}

/** What a list says about the records that this process knows besides. */
export enum ListedState {
  /** The list is the state. */
  Current = 'current',
  /** The store came back from an older copy: the list may be older than what is known, and lack some of it. */
  Restored = 'restored',
  /**
   * This process started from a restored store and has asked an entry that has read as much: what is known may be older than
   * the list, and what the list lacks has been removed.
   */
  Confirmed = 'confirmed'
}

interface Call {
  callId: number
  source: RecordSource
  /** Why the store is called, if it is the source. */
  reason: StoreCallReason
  timeoutMs: number
  /** Whether the call needs a new connection, as open ones may be broken. */
  needsFreshConnection: boolean
}

export type FeedEffect =
  | { kind: FeedEffectKind.List } & Call
  | { kind: FeedEffectKind.Read, from: LogPosition, waitMs: number } & Call
  | { kind: FeedEffectKind.Abort, callId: number }
  | { kind: FeedEffectKind.ReplaceAll, records: readonly KeyedRecord[], end: LogPosition, state: ListedState }
  | { kind: FeedEffectKind.Apply, records: readonly KeyedRecord[], end: LogPosition }
  | { kind: FeedEffectKind.ConnectionSilent, source: RecordSource }
  | { kind: FeedEffectKind.ConnectionReplaced }
  | { kind: FeedEffectKind.EntryFailed, address: string, reason: string }
  | { kind: FeedEffectKind.StoreUnavailable, reason: string }
  | { kind: FeedEffectKind.StoreRecovered, outageMs: number }

export interface TopicFollowerOptions {
  clock: Clock
  random: Random
  /** From where records are read at present; undefined while no source is known. */
  source: () => RecordSource | undefined
  /** Another entry that has the state of the topic; undefined while none is known. */
  otherEntry?: () => RecordSource | undefined
  /**
   * Time in ms within which this process itself must notice that its connection to the source no longer delivers; undefined
   * while the reports of others show it that it misses records.
   */
  noticeWithinMs?: () => number | undefined
}

export interface TopicFollower extends Core<FeedMessage, FeedEffect> {
  /** Position of the next record to read; undefined before the first list. */
  readonly position: LogPosition | undefined
  /** False for STORE_DISTRUST_MS after a failed call to the store, unless a later one succeeded. */
  readonly isConnected: boolean
  readonly hasState: boolean
  /** When the store was last found available again after an outage. */
  readonly recoveredAtMs: TimestampMs | undefined
}
