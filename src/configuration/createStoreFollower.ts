import { type Clock, type Core, dispatch, type HandlerTable, type Random, type TimestampMs } from '../core/index.js'

/** One record of a keyed topic; without a value the key was removed. */
export interface KeyedRecord {
  key: string
  value: Uint8Array | undefined
  offset: number
}

export enum StoreMessageKind {
  Started = 'started',
  /** The newest record of each key; `end` is the offset to read on from. */
  Listed = 'listed',
  /** Records in the order of the log; `end` as above. */
  RecordsRead = 'records-read',
  /** The records to read next are deleted; the newest of each key are still there. */
  HistoryLost = 'history-lost',
  CallFailed = 'call-failed',
  /** What a peer knows of the topic, in answer to AskPeer. */
  PeerAnswered = 'peer-answered',
  /** A peer has read up to this offset. */
  PeerAhead = 'peer-ahead',
  /** The process was frozen: what it believes may be long out of date. */
  Woken = 'woken',
  Tick = 'tick'
}

export type StoreMessage =
  | { kind: StoreMessageKind.Started }
  | { kind: StoreMessageKind.Listed, callId: number, records: readonly KeyedRecord[], end: number }
  | { kind: StoreMessageKind.RecordsRead, callId: number, records: readonly KeyedRecord[], end: number }
  | { kind: StoreMessageKind.HistoryLost, callId: number }
  | { kind: StoreMessageKind.CallFailed, callId: number, reason: string }
  | { kind: StoreMessageKind.PeerAnswered, records: readonly KeyedRecord[] }
  | { kind: StoreMessageKind.PeerAhead, offset: number }
  | { kind: StoreMessageKind.Woken }
  | { kind: StoreMessageKind.Tick }

interface ReadAnswer { callId: number, records: readonly KeyedRecord[], end: number }

export enum StoreEffectKind {
  /** Asks for the newest record of each key. */
  List = 'list',
  /** Asks for records; the store answers when there is one, or after `waitMs`. */
  Read = 'read',
  /** Asks another process what it knows of the topic, as the store has not answered since the start. */
  AskPeer = 'ask-peer',
  /** Ends a running call and its connection. */
  Abort = 'abort',
  /** All keys that exist; any other key is gone. */
  ReplaceAll = 'replace-all',
  Apply = 'apply',
  StoreLost = 'store-lost',
  StoreRegained = 'store-regained'
}

export type StoreEffect =
  | { kind: StoreEffectKind.List, callId: number, timeoutMs: number }
  | { kind: StoreEffectKind.Read, callId: number, from: number, waitMs: number, timeoutMs: number }
  | { kind: StoreEffectKind.AskPeer, timeoutMs: number }
  | { kind: StoreEffectKind.Abort, callId: number }
  | { kind: StoreEffectKind.ReplaceAll, records: readonly KeyedRecord[] }
  | { kind: StoreEffectKind.Apply, records: readonly KeyedRecord[] }
  | { kind: StoreEffectKind.StoreLost, reason: string }
  | { kind: StoreEffectKind.StoreRegained, outageMs: number }

/** Long reads are staggered over this range, so that some entry always learns of news on a sound connection. */
export const READ_WAIT_MIN_MS = 5_000
export const READ_WAIT_MAX_MS = 9_000
/** A read that outlives its wait by this time is on a dead connection or the store is out. */
export const READ_TIMEOUT_MARGIN_MS = 1_000
export const LIST_TIMEOUT_MS = 1_500
/** Records that come in quick succession are fetched by one call. */
export const READ_GAP_MS = 150
export const RETRY_FIRST_MS = 100
export const RETRY_MAX_MS = 600
/** News that a peer has and this process lacks for this time is fetched on a new connection. */
export const PEER_AHEAD_LIMIT_MS = 300

/** A process that starts gives the store this time before it asks its peers, and asks again as often. */
export const ASK_PEER_INTERVAL_MS = 250

export interface StoreFollowerOptions {
  clock: Clock
  random: Random
}

export interface StoreFollower extends Core<StoreMessage, StoreEffect> {
  /** Offset up to which this process has read from the store; undefined before the first list. */
  readonly position: number | undefined
  readonly isConnected: boolean
  /** Some state of the topic is known, from the store or from a peer. */
  readonly hasState: boolean
}

/**
 * Decides how one keyed topic of the store is followed: list once, then long reads; list again where
 * the history is lost.
 *
 * @example
 * const follower = createStoreFollower({ clock, random })
 * follower.handle({ kind: StoreMessageKind.Started }) // [{ kind: StoreEffectKind.List, ... }]
 */
export const createStoreFollower = ({ clock, random }: StoreFollowerOptions): StoreFollower => {
  let position: number | undefined
  let isConnected = true
  let lostAtMs = 0
  let nextCallId = 1
  let runningCallId: number | undefined
  let retryMs = RETRY_FIRST_MS
  /** When the next call is due, while none is running. */
  let dueAtMs: TimestampMs = 0
  let mustList = true
  let hasPeerState = false
  let askPeerAtMs = clock.nowMs() + ASK_PEER_INTERVAL_MS
  let aheadOffset = 0
  let aheadSinceMs: TimestampMs | undefined

  const startCall = (): StoreEffect[] => {
    const callId = nextCallId++
    runningCallId = callId
    if (mustList || position === undefined) return [{ kind: StoreEffectKind.List, callId, timeoutMs: LIST_TIMEOUT_MS }]
    // After an outage a short read shows at once whether the store is back.
    const waitMs = isConnected ? random.int(READ_WAIT_MIN_MS, READ_WAIT_MAX_MS) : 0
    return [{ kind: StoreEffectKind.Read, callId, from: position, waitMs, timeoutMs: waitMs + READ_TIMEOUT_MARGIN_MS }]
  }

  const onAnswer = (): StoreEffect[] => {
    runningCallId = undefined
    retryMs = RETRY_FIRST_MS
    if (isConnected) return []
    isConnected = true
    return [{ kind: StoreEffectKind.StoreRegained, outageMs: clock.nowMs() - lostAtMs }]
  }

  const noteProgress = (end: number) => {
    position = end
    if (aheadOffset <= end) aheadSinceMs = undefined
  }

  const onListed = ({ records, end }: ReadAnswer): StoreEffect[] => {
    const effects = onAnswer()
    mustList = false
    noteProgress(end)
    return [...effects, { kind: StoreEffectKind.ReplaceAll, records }, ...startCall()]
  }

  const onRecordsRead = ({ records, end }: ReadAnswer): StoreEffect[] => {
    const effects = onAnswer()
    // An offset below the known one means that the topic is not the one that was read before.
    if (position !== undefined && end < position) mustList = true
    else noteProgress(end)
    if (records.length === 0) return [...effects, ...startCall()]
    dueAtMs = clock.nowMs() + READ_GAP_MS
    return [...effects, { kind: StoreEffectKind.Apply, records }]
  }

  const onCallFailed = (reason: string): StoreEffect[] => {
    runningCallId = undefined
    dueAtMs = clock.nowMs() + retryMs * (0.5 + random.next())
    retryMs = Math.min(RETRY_MAX_MS, retryMs * 2)
    if (!isConnected) return []
    isConnected = false
    lostAtMs = clock.nowMs()
    return [{ kind: StoreEffectKind.StoreLost, reason }]
  }

  const restart = (): StoreEffect[] => {
    const aborted: StoreEffect[] = runningCallId === undefined ? [] : [{ kind: StoreEffectKind.Abort, callId: runningCallId }]
    return [...aborted, ...startCall()]
  }

  const askPeer = (): StoreEffect[] => {
    const nowMs = clock.nowMs()
    if (position !== undefined || hasPeerState || nowMs < askPeerAtMs) return []
    askPeerAtMs = nowMs + ASK_PEER_INTERVAL_MS
    return [{ kind: StoreEffectKind.AskPeer, timeoutMs: ASK_PEER_INTERVAL_MS }]
  }

  /** The store's own list still replaces what a peer knows. */
  const onPeerAnswered = (records: readonly KeyedRecord[]): StoreEffect[] => {
    if (position !== undefined || hasPeerState) return []
    hasPeerState = true
    return [{ kind: StoreEffectKind.ReplaceAll, records }]
  }

  const onTick = (): StoreEffect[] => {
    const nowMs = clock.nowMs()
    if (aheadSinceMs !== undefined && nowMs - aheadSinceMs > PEER_AHEAD_LIMIT_MS && isConnected) {
      aheadSinceMs = undefined
      return restart()
    }
    return [...askPeer(), ...runningCallId === undefined && nowMs >= dueAtMs ? startCall() : []]
  }

  const onPeerAhead = (offset: number): StoreEffect[] => {
    if (position === undefined || offset <= Math.max(position, aheadOffset)) return []
    aheadOffset = offset
    aheadSinceMs ??= clock.nowMs()
    return []
  }

  const ifRunning = <Message extends { callId: number }>(handle: (message: Message) => StoreEffect[]) =>
    (message: Message) => message.callId === runningCallId ? handle(message) : []

  const handlers: HandlerTable<StoreMessage, StoreEffect[]> = {
    [StoreMessageKind.Started]: startCall,
    [StoreMessageKind.Listed]: ifRunning<ReadAnswer>(onListed),
    [StoreMessageKind.RecordsRead]: ifRunning<ReadAnswer>(onRecordsRead),
    [StoreMessageKind.HistoryLost]: ifRunning(() => {
      mustList = true
      return [...onAnswer(), ...startCall()]
    }),
    [StoreMessageKind.CallFailed]: ifRunning<{ callId: number, reason: string }>(({ reason }) => onCallFailed(reason)),
    [StoreMessageKind.PeerAnswered]: ({ records }) => onPeerAnswered(records),
    [StoreMessageKind.PeerAhead]: ({ offset }) => onPeerAhead(offset),
    [StoreMessageKind.Woken]: () => {
      mustList = true
      return restart()
    },
    [StoreMessageKind.Tick]: onTick
  }

  return {
    handle: message => dispatch(handlers, message),
    get position () { return position },
    get isConnected () { return isConnected },
    get hasState () { return hasPeerState || position !== undefined }
  }
}
