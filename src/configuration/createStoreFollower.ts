import { type Clock, type Core, dispatch, type HandlerTable, type Random, type TimestampMs } from '../core/index.js'

/** One record of a keyed topic; the value is undefined if the key was deleted. */
export interface KeyedRecord {
  key: string
  value: Uint8Array | undefined
  offset: number
}

export enum StoreMessageKind {
  Started = 'started',
  /** The latest record of each key; `end` is the offset from which to continue. */
  Listed = 'listed',
  /** Records in log order; `end` is the offset from which to continue. */
  RecordsRead = 'records-read',
  /** The records to read next have expired; the latest record of each key is still available. */
  RecordsExpired = 'records-expired',
  CallFailed = 'call-failed',
  /** Reply to AskPeer: the records of the topic that a peer has. */
  PeerReplied = 'peer-replied',
  /** A peer has read up to this offset. */
  PeerAhead = 'peer-ahead',
  /** The process was paused, so its state may be out of date. */
  ProcessResumed = 'process-resumed',
  Tick = 'tick'
}

export type StoreMessage =
  | { kind: StoreMessageKind.Started }
  | { kind: StoreMessageKind.Listed, callId: number, records: readonly KeyedRecord[], end: number }
  | { kind: StoreMessageKind.RecordsRead, callId: number, records: readonly KeyedRecord[], end: number }
  | { kind: StoreMessageKind.RecordsExpired, callId: number }
  | { kind: StoreMessageKind.CallFailed, callId: number, reason: string }
  | { kind: StoreMessageKind.PeerReplied, records: readonly KeyedRecord[] }
  | { kind: StoreMessageKind.PeerAhead, offset: number }
  | { kind: StoreMessageKind.ProcessResumed }
  | { kind: StoreMessageKind.Tick }

interface ReadResponse { callId: number, records: readonly KeyedRecord[], end: number }

export enum StoreEffectKind {
  /** Requests the latest record of each key. */
  List = 'list',
  /** Long poll: the store responds as soon as there is a record, or after `waitMs`. */
  Read = 'read',
  /** Requests the records of the topic from a peer, as the store has not responded since the process started. */
  AskPeer = 'ask-peer',
  /** Aborts the call in flight and closes its connection. */
  Abort = 'abort',
  /** Replaces the whole state; keys that are not among the records no longer exist. */
  ReplaceAll = 'replace-all',
  Apply = 'apply',
  StoreUnavailable = 'store-lost',
  StoreRecovered = 'store-regained'
}

export type StoreEffect =
  | { kind: StoreEffectKind.List, callId: number, timeoutMs: number }
  | { kind: StoreEffectKind.Read, callId: number, from: number, waitMs: number, timeoutMs: number }
  | { kind: StoreEffectKind.AskPeer, timeoutMs: number }
  | { kind: StoreEffectKind.Abort, callId: number }
  | { kind: StoreEffectKind.ReplaceAll, records: readonly KeyedRecord[] }
  | { kind: StoreEffectKind.Apply, records: readonly KeyedRecord[] }
  | { kind: StoreEffectKind.StoreUnavailable, reason: string }
  | { kind: StoreEffectKind.StoreRecovered, outageMs: number }

/** Each long poll waits a random time in this range, so that some entry always gets new records on a working connection. */
export const READ_WAIT_MIN_MS = 5_000
export const READ_WAIT_MAX_MS = 9_000
/** If a read exceeds its wait by this time, its connection is broken or the store is unavailable. */
export const READ_TIMEOUT_MARGIN_MS = 1_000
export const LIST_TIMEOUT_MS = 1_500
/** Delay between reads, so that one call fetches records that arrive in quick succession. */
export const READ_BATCH_DELAY_MS = 150
export const RETRY_DELAY_MIN_MS = 100
export const RETRY_DELAY_MAX_MS = 600
/** If a peer has had newer records for this time, this process reads them on a new connection. */
export const PEER_AHEAD_LIMIT_MS = 300

/** Time that a starting process waits for the store before it asks a peer; also the interval between such requests. */
export const ASK_PEER_INTERVAL_MS = 250

export interface StoreFollowerOptions {
  clock: Clock
  random: Random
}

export interface StoreFollower extends Core<StoreMessage, StoreEffect> {
  /** Offset of the next record to read from the store; undefined before the first list. */
  readonly position: number | undefined
  readonly isConnected: boolean
  /** Whether the state of the topic is known, from the store or from a peer. */
  readonly hasState: boolean
}

/**
 * Follows one keyed topic of the store: lists the latest record of each key once, then reads new
 * records by long polling. It lists again when the records to read next have expired.
 *
 * @example
 * const follower = createStoreFollower({ clock, random })
 * follower.handle({ kind: StoreMessageKind.Started }) // [{ kind: StoreEffectKind.List, ... }]
 */
export const createStoreFollower = ({ clock, random }: StoreFollowerOptions): StoreFollower => {
  let position: number | undefined
  let isConnected = true
  let outageStartMs = 0
  let nextCallId = 1
  let runningCallId: number | undefined
  let retryMs = RETRY_DELAY_MIN_MS
  /** When the next call is due, while none is in flight. */
  let nextCallAtMs: TimestampMs = 0
  let mustList = true
  let hasPeerState = false
  let nextPeerRequestAtMs = clock.nowMs() + ASK_PEER_INTERVAL_MS
  let peerOffset = 0
  let peerAheadSinceMs: TimestampMs | undefined

  const startCall = (): StoreEffect[] => {
    const callId = nextCallId++
    runningCallId = callId
    if (mustList || position === undefined) return [{ kind: StoreEffectKind.List, callId, timeoutMs: LIST_TIMEOUT_MS }]
    // During an outage, a read without waiting shows at once whether the store has recovered.
    const waitMs = isConnected ? random.int(READ_WAIT_MIN_MS, READ_WAIT_MAX_MS) : 0
    return [{ kind: StoreEffectKind.Read, callId, from: position, waitMs, timeoutMs: waitMs + READ_TIMEOUT_MARGIN_MS }]
  }

  const onCallSucceeded = (): StoreEffect[] => {
    runningCallId = undefined
    retryMs = RETRY_DELAY_MIN_MS
    if (isConnected) return []
    isConnected = true
    return [{ kind: StoreEffectKind.StoreRecovered, outageMs: clock.nowMs() - outageStartMs }]
  }

  const recordPosition = (end: number) => {
    position = end
    if (peerOffset <= end) peerAheadSinceMs = undefined
  }

  const onListed = ({ records, end }: ReadResponse): StoreEffect[] => {
    const effects = onCallSucceeded()
    mustList = false
    recordPosition(end)
    return [...effects, { kind: StoreEffectKind.ReplaceAll, records }, ...startCall()]
  }

  const onRecordsRead = ({ records, end }: ReadResponse): StoreEffect[] => {
    const effects = onCallSucceeded()
    // A lower end offset means that the topic has been replaced by another one.
    if (position !== undefined && end < position) mustList = true
    else recordPosition(end)
    if (records.length === 0) return [...effects, ...startCall()]
    nextCallAtMs = clock.nowMs() + READ_BATCH_DELAY_MS
    return [...effects, { kind: StoreEffectKind.Apply, records }]
  }

  const onCallFailed = (reason: string): StoreEffect[] => {
    runningCallId = undefined
    nextCallAtMs = clock.nowMs() + retryMs * (0.5 + random.next())
    retryMs = Math.min(RETRY_DELAY_MAX_MS, retryMs * 2)
    if (!isConnected) return []
    isConnected = false
    outageStartMs = clock.nowMs()
    return [{ kind: StoreEffectKind.StoreUnavailable, reason }]
  }

  const restartCall = (): StoreEffect[] => {
    const aborted: StoreEffect[] = runningCallId === undefined ? [] : [{ kind: StoreEffectKind.Abort, callId: runningCallId }]
    return [...aborted, ...startCall()]
  }

  const askPeer = (): StoreEffect[] => {
    const nowMs = clock.nowMs()
    if (position !== undefined || hasPeerState || nowMs < nextPeerRequestAtMs) return []
    nextPeerRequestAtMs = nowMs + ASK_PEER_INTERVAL_MS
    return [{ kind: StoreEffectKind.AskPeer, timeoutMs: ASK_PEER_INTERVAL_MS }]
  }

  /** Uses the state of a peer until the first list from the store replaces it. */
  const onPeerReplied = (records: readonly KeyedRecord[]): StoreEffect[] => {
    if (position !== undefined || hasPeerState) return []
    hasPeerState = true
    return [{ kind: StoreEffectKind.ReplaceAll, records }]
  }

  const onTick = (): StoreEffect[] => {
    const nowMs = clock.nowMs()
    if (peerAheadSinceMs !== undefined && nowMs - peerAheadSinceMs > PEER_AHEAD_LIMIT_MS && isConnected) {
      peerAheadSinceMs = undefined
      return restartCall()
    }
    return [...askPeer(), ...runningCallId === undefined && nowMs >= nextCallAtMs ? startCall() : []]
  }

  const onPeerAhead = (offset: number): StoreEffect[] => {
    if (position === undefined || offset <= Math.max(position, peerOffset)) return []
    peerOffset = offset
    peerAheadSinceMs ??= clock.nowMs()
    return []
  }

  const ifCurrentCall = <Message extends { callId: number }>(handle: (message: Message) => StoreEffect[]) =>
    (message: Message) => message.callId === runningCallId ? handle(message) : []

  const handlers: HandlerTable<StoreMessage, StoreEffect[]> = {
    [StoreMessageKind.Started]: startCall,
    [StoreMessageKind.Listed]: ifCurrentCall<ReadResponse>(onListed),
    [StoreMessageKind.RecordsRead]: ifCurrentCall<ReadResponse>(onRecordsRead),
    [StoreMessageKind.RecordsExpired]: ifCurrentCall(() => {
      mustList = true
      return [...onCallSucceeded(), ...startCall()]
    }),
    [StoreMessageKind.CallFailed]: ifCurrentCall<{ callId: number, reason: string }>(({ reason }) => onCallFailed(reason)),
    [StoreMessageKind.PeerReplied]: ({ records }) => onPeerReplied(records),
    [StoreMessageKind.PeerAhead]: ({ offset }) => onPeerAhead(offset),
    [StoreMessageKind.ProcessResumed]: () => {
      mustList = true
      return restartCall()
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
