import type { TimestampMs } from '../core/index.js'

/** A serialized state with the offset of the last applied record and a hash of its content. */
export interface StateDocument {
  offset: number
  hash: string
}

/** A snapshot in a log stream. */
export interface Snapshot<Document extends StateDocument> {
  document: Document
  /** Time at which the writer created it; a paused process may append it much later. */
  takenMs: TimestampMs
}

/** A log record with a validated body. */
export interface FollowedRecord<Body> {
  offset: number
  timeMs: TimestampMs
  body: Body
}

/**
 * The part of a reader that is specific to a stream. `apply` mutates its state, and `fromDocument`
 * returns a new one.
 */
export interface StreamModel<State extends { offset: number }, Body, Document extends StateDocument, Effect> {
  getDefaultState (): State
  apply (state: State, record: FollowedRecord<Body>): Effect[]
  snapshotOf (body: Body): Snapshot<Document> | undefined
  toDocument (state: State): Document
  fromDocument (document: Document): State
  isIntact (document: Document): boolean
  /** Returns the state that a record sets regardless of the records before it; such a record ends a gap. */
  resetTo? (record: FollowedRecord<Body>): State | undefined
  /** Whether a reader in a gap applies the records after the gap to a copy of its state, for GapPersists. */
  replaysAfterGap?: boolean
  /** Whether the document would replace an item of the state by one with a lower offset. */
  wouldRegress (state: State, document: Document): boolean
  /** Returns the effects that update a consumer from the old state to the new one. */
  changesBetween (oldState: State, newState: State): Effect[]
}

export enum FollowerMessageKind {
  LogPageRead = 'log-page-read',
  SnapshotSeen = 'snapshot-seen',
  PeerStateReceived = 'peer-state-received',
  PeerStateRequested = 'peer-state-requested',
  OffsetSeen = 'offset-seen',
  EndRequested = 'end-requested',
  LogFailed = 'log-failed',
  Tick = 'tick'
}

export type FollowerMessage<Body, Document extends StateDocument> =
  | {
    kind: FollowerMessageKind.LogPageRead
    /** Id of the read that returned this page. */
    readId: number
    records: ReadonlyArray<FollowedRecord<Body>>
    /** Oldest offset that the log still retains. */
    firstOffset: number
    /** Offset of the next record to be appended. */
    nextOffset: number
  }
  | { kind: FollowerMessageKind.SnapshotSeen, snapshot: Snapshot<Document>, timeMs: TimestampMs, firstOffset: number }
  | { kind: FollowerMessageKind.PeerStateReceived, document: Document, retainedSinceMs: TimestampMs | undefined }
  | { kind: FollowerMessageKind.PeerStateRequested, peerId: string, aboveOffset: number }
  /** Highest offset that any node has seen, received by gossip. */
  | { kind: FollowerMessageKind.OffsetSeen, offset: number }
  /** Requests a notification when every record that exists now has been applied. */
  | { kind: FollowerMessageKind.EndRequested, requestId: string }
  | { kind: FollowerMessageKind.LogFailed }
  | { kind: FollowerMessageKind.Tick }

export enum FollowerEffectKind {
  ReadLog = 'read-log',
  AskPeers = 'ask-peers',
  SendState = 'send-state',
  CaughtUp = 'caught-up',
  GapPersists = 'gap-persists',
  EndReached = 'end-reached',
  EndFailed = 'end-failed',
  AppendSnapshot = 'append-snapshot'
}

export type FollowerEffect<Document extends StateDocument> =
  | { kind: FollowerEffectKind.ReadLog, readId: number, fromOffset: number }
  | { kind: FollowerEffectKind.AskPeers, aboveOffset: number }
  | {
    kind: FollowerEffectKind.SendState
    peerId: string
    document: Document
    /** Time from which the log must still retain records; a new host schedules its next snapshot from it. */
    retainedSinceMs: TimestampMs | undefined
  }
  /** Every record that existed when the page was read has been applied. */
  | { kind: FollowerEffectKind.CaughtUp, offset: number }
  /** The gap has lasted for at least GAP_PERSISTS_MS although the log is readable; no snapshot and no peer closed it. */
  | {
    kind: FollowerEffectKind.GapPersists
    offset: number
    /** The state with all retained records after the gap applied; undefined if they have not all been replayed. */
    replayed: Document | undefined
  }
  | { kind: FollowerEffectKind.EndReached, requestId: string }
  | { kind: FollowerEffectKind.EndFailed, requestId: string }
  | { kind: FollowerEffectKind.AppendSnapshot, snapshot: Snapshot<Document> }
