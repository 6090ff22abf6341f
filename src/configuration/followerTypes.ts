import type { TimestampMs } from '../core/index.js'

/** A state document names the offset up to which records are applied and the hash of its content. */
export interface StateDocument {
  offset: number
  hash: string
}

/** A snapshot as it stands in a stream. */
export interface Snapshot<Document extends StateDocument> {
  document: Document
  /** Time at which the writer made it; a paused writer may append it much later. */
  takenMs: TimestampMs
}

/** A log record after its body passed the schema. */
export interface FollowedRecord<Body> {
  offset: number
  timeMs: TimestampMs
  body: Body
}

/** The part of a reader that depends on the stream. `apply` and `fromDocument` own their state. */
export interface StreamModel<State extends { offset: number }, Body, Document extends StateDocument, Effect> {
  getDefaultState (): State
  apply (state: State, record: FollowedRecord<Body>): Effect[]
  snapshotOf (body: Body): Snapshot<Document> | undefined
  toDocument (state: State): Document
  fromDocument (document: Document): State
  isIntact (document: Document): boolean
  /** The state that a record sets whatever came before it; such a record ends a gap. */
  resetTo? (record: FollowedRecord<Body>): State | undefined
  /** A reader that stays in a gap is told what the records after it make of its state. */
  replaysOverGap?: boolean
  /** Whether the document would replace some item of the state by one of a lower offset. */
  replacesByLower (state: State, document: Document): boolean
  /** Effects that lead a user of the old state to the new one. */
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
    /** Id of the read that this page answers. */
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
  /** Gossip carries the highest offset that any node has seen. */
  | { kind: FollowerMessageKind.OffsetSeen, offset: number }
  /** Asks for word once every record that the log holds now is applied. */
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
    /** Time from which the log must still retain records; a fresh host schedules its snapshot by it. */
    retainedSinceMs: TimestampMs | undefined
  }
  /** Every record that the log held when the page was read is applied. */
  | { kind: FollowerEffectKind.CaughtUp, offset: number }
  /** Neither the log nor any peer has led over a gap for long, though the log is readable. */
  | {
    kind: FollowerEffectKind.GapPersists
    offset: number
    /** The state with every readable record after the gap applied; undefined where that is not known. */
    replayed: Document | undefined
  }
  | { kind: FollowerEffectKind.EndReached, requestId: string }
  | { kind: FollowerEffectKind.EndFailed, requestId: string }
  | { kind: FollowerEffectKind.AppendSnapshot, snapshot: Snapshot<Document> }
