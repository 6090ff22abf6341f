import { comparePositions, dispatch, type HandlerTable, laterPosition, type LogPosition, type TimestampMs } from '../core/index.js'
import {
  CONFIRM_INTERVAL_MS, CONFIRM_TIME_MS, ENTRY_FAILURES_MAX, FIRST_ERA, LIST_TIMEOUT_MS, PEER_AHEAD_JITTER_MS, PEER_AHEAD_LIMIT_MS, READ_BATCH_DELAY_MS, READ_TIMEOUT_MARGIN_MS, RETRY_DELAY_MAX_MS, RETRY_DELAY_MIN_MS, STORE_DISTRUST_MS, SourceKind, StoreCallReason
} from './constants.js'
import { createReadTimes } from './createReadTimes.js'
import {
  type FeedEffect, FeedEffectKind, type FeedMessage, FeedMessageKind, type FeedPage, ListedState, type TopicFollower, type TopicFollowerOptions
} from './followerTypes.js'
import type { RecordSource } from './types.js'

interface RunningCall {
  callId: number
  source: RecordSource
  startedAtMs: TimestampMs
  /** Time for which the source holds the call while it has no records; undefined for a list. */
  waitMs: number | undefined
}

const isSameSource = (one: RecordSource, other: RecordSource) =>
  one.kind === other.kind && (one.kind === SourceKind.Store || one.address === (other as typeof one).address)

/**
 * Follows one keyed topic: lists the latest record of each key once, then reads new records by long polling, from the
 * store or from an entry that passes them on. It lists again when the records to read next have expired or the store came
 * back from an older copy, and reads from the store itself when entries do not respond or a peer has newer records.
 *
 * @example
 * const follower = createTopicFollower({ clock, random, source })
 * follower.handle({ kind: FeedMessageKind.Started }) // [{ kind: FeedEffectKind.List, ... }]
 */
export const createTopicFollower = (
  { clock, random, source, otherEntry = () => undefined, noticeWithinMs = () => undefined }: TopicFollowerOptions
): TopicFollower => {
  let position: LogPosition | undefined
  let outageStartMs: TimestampMs | undefined
  let storeFailedMs: TimestampMs | undefined
  let recoveredAtMs: TimestampMs | undefined
  let nextCallId = 1
  let running: RunningCall | undefined
  let retryMs = RETRY_DELAY_MIN_MS
  /** When the next call is due, while none is in flight. */
  let nextCallAtMs: TimestampMs = 0
  let mustList = true
  let entryFailures = 0
  let isBehind = false
  /** Set while a call checks on a new connection whether the source of a silent call responds. */
  let isRechecking = false
  const readTimes = createReadTimes({ random, noticeWithinMs })
  let peerPosition: LogPosition | undefined
  let peerAheadSinceMs: TimestampMs | undefined
  let peerAheadLimitMs = PEER_AHEAD_LIMIT_MS

  /** Set while the state must still be compared with that of an entry. */
  let confirmUntilMs: TimestampMs | undefined
  let nextConfirmMs: TimestampMs = 0

  const isPeerAhead = () => position !== undefined && peerPosition !== undefined && comparePositions(peerPosition, position) > 0

  const nextSource = (): RecordSource | undefined =>
    isBehind || entryFailures >= ENTRY_FAILURES_MAX ? { kind: SourceKind.Store } : source()

  const reasonOfStoreCall = (): StoreCallReason => {
    if (isBehind) return StoreCallReason.Behind
    return entryFailures >= ENTRY_FAILURES_MAX ? StoreCallReason.EntriesFailed : StoreCallReason.Reader
  }

  /** While the store is lost, or is known to have records, a read without waiting shows at once how it is. */
  const isReadUrgent = ({ kind }: RecordSource) =>
    isRechecking || (kind === SourceKind.Store && (isBehind || outageStartMs !== undefined))

  const startCall = (chosen = nextSource()): FeedEffect[] => {
    if (chosen === undefined) return []
    const callId = nextCallId++
    const call = { callId, source: chosen, reason: reasonOfStoreCall(), needsFreshConnection: isBehind || isRechecking }
    const startedAtMs = clock.nowMs()
    if (mustList || position === undefined) {
      running = { callId, source: chosen, startedAtMs, waitMs: undefined }
      return [{ kind: FeedEffectKind.List, ...call, timeoutMs: LIST_TIMEOUT_MS }]
    }
    const { waitMs, marginMs } = readTimes.choose(isReadUrgent(chosen))
    running = { callId, source: chosen, startedAtMs, waitMs }
    return [{ kind: FeedEffectKind.Read, ...call, from: position, waitMs, timeoutMs: waitMs + marginMs }]
  }

  const recordStoreResponse = (): FeedEffect[] => {
    const hadFailed = storeFailedMs !== undefined
    storeFailedMs = undefined
    if (outageStartMs === undefined) return hadFailed ? [{ kind: FeedEffectKind.ConnectionReplaced }] : []
    const outageMs = clock.nowMs() - outageStartMs
    outageStartMs = undefined
    recoveredAtMs = clock.nowMs()
    return [{ kind: FeedEffectKind.StoreRecovered, outageMs }]
  }

  /** Adopts a recovery of the store that the entry has seen; the same one is reported in several responses. */
  const recordEntryResponse = (sinceRecoveryMs: number | undefined): FeedEffect[] => {
    if (sinceRecoveryMs === undefined) return []
    const seenAtMs = clock.nowMs() - sinceRecoveryMs
    const isKnown = recoveredAtMs !== undefined && seenAtMs - recoveredAtMs < READ_TIMEOUT_MARGIN_MS
    if (isKnown || sinceRecoveryMs > STORE_DISTRUST_MS) return []
    recoveredAtMs = seenAtMs
    outageStartMs = undefined
    return [{ kind: FeedEffectKind.StoreRecovered, outageMs: 0 }]
  }

  const onCallSucceeded = ({ sinceRecoveryMs }: { sinceRecoveryMs?: number | undefined }): FeedEffect[] => {
    const isFromStore = running?.source.kind === SourceKind.Store
    if (running?.waitMs !== undefined) readTimes.recordDelay(clock.nowMs() - running.startedAtMs - running.waitMs)
    isRechecking = false
    running = undefined
    retryMs = RETRY_DELAY_MIN_MS
    entryFailures = 0
    isBehind = false
    return isFromStore ? recordStoreResponse() : recordEntryResponse(sinceRecoveryMs)
  }

  const recordPosition = (end: LogPosition) => {
    position = end
    if (!isPeerAhead()) peerAheadSinceMs = undefined
  }

  /** Whether a response of an entry shows that it has read less than this process. */
  const isEntryBehind = ({ end }: FeedPage) =>
    running?.source.kind === SourceKind.Entry && position !== undefined && comparePositions(end, position) < 0

  const skipEntry = (page: FeedPage): FeedEffect[] => {
    const effects = onCallSucceeded(page)
    entryFailures = ENTRY_FAILURES_MAX
    return [...effects, ...startCall()]
  }

  /** Another source may be behind the one that has just responded. */
  const listFromSameSource = (response: { sinceRecoveryMs?: number | undefined }): FeedEffect[] => {
    const responded = running?.source
    mustList = true
    return [...onCallSucceeded(response), ...startCall(responded)]
  }

  const isFromEarlierEra = ({ end }: FeedPage) => position !== undefined && end.era < position.era

  const onListed = (page: FeedPage): FeedEffect[] => {
    if (isEntryBehind(page)) return skipEntry(page)
    if (isFromEarlierEra(page)) return onCallFailed('the store responded with an era that has ended')
    const isFromStore = running?.source.kind === SourceKind.Store
    const effects = onCallSucceeded(page)
    const isRestored = position !== undefined && page.end.era > position.era
    const mustConfirm = position === undefined && isFromStore && page.end.era > FIRST_ERA
    if (mustConfirm) confirmUntilMs = clock.nowMs() + CONFIRM_TIME_MS
    const isConfirmed = confirmUntilMs !== undefined && !isFromStore
    if (isConfirmed) confirmUntilMs = undefined
    mustList = false
    recordPosition(page.end)
    const otherwise = isConfirmed ? ListedState.Confirmed : ListedState.Current
    const state = isRestored ? ListedState.Restored : otherwise
    return [...effects, { kind: FeedEffectKind.ReplaceAll, records: page.records, end: page.end, state }, ...startCall()]
  }

  /** Whether the records of a page may lack some that have an offset below its start: its offsets were given out anew. */
  const areOffsetsNew = ({ end }: FeedPage) => position !== undefined && (end.era !== position.era || end.offset < position.offset)

  const onRecordsRead = (page: FeedPage): FeedEffect[] => {
    if (isEntryBehind(page)) return skipEntry(page)
    if (isFromEarlierEra(page)) return onCallFailed('the store responded with an era that has ended')
    if (areOffsetsNew(page)) return listFromSameSource(page)
    const isFromStore = running?.source.kind === SourceKind.Store
    const effects = onCallSucceeded(page)
    recordPosition(page.end)
    if (page.records.length === 0) return [...effects, ...startCall()]
    const applied: FeedEffect = { kind: FeedEffectKind.Apply, records: page.records, end: page.end }
    if (!isFromStore) return [...effects, applied, ...startCall()]
    nextCallAtMs = clock.nowMs() + READ_BATCH_DELAY_MS
    return [...effects, applied]
  }

  const onStoreFailed = (reason: string): FeedEffect[] => {
    // The next call goes to an entry again, if one is known.
    entryFailures = 0
    isBehind = false
    storeFailedMs = clock.nowMs()
    if (isPeerAhead()) peerAheadSinceMs ??= clock.nowMs()
    if (outageStartMs !== undefined) return []
    outageStartMs = clock.nowMs()
    return [{ kind: FeedEffectKind.StoreUnavailable, reason }]
  }

  /** Repeats a call whose connection may be broken at once; the store counts as lost until it responds. */
  const recheck = (silent: RecordSource): FeedEffect[] => {
    isRechecking = true
    running = undefined
    if (silent.kind === SourceKind.Store) storeFailedMs = clock.nowMs()
    return [{ kind: FeedEffectKind.ConnectionSilent, source: silent }, ...startCall(silent)]
  }

  const onCallFailed = (reason: string, isSilent = false): FeedEffect[] => {
    const failed = running?.source
    if (isSilent && !isRechecking && outageStartMs === undefined && failed !== undefined) return recheck(failed)
    isRechecking = false
    running = undefined
    nextCallAtMs = clock.nowMs() + retryMs * (0.5 + random.next())
    retryMs = Math.min(RETRY_DELAY_MAX_MS, retryMs * 2)
    if (failed?.kind !== SourceKind.Entry) return onStoreFailed(reason)
    entryFailures += 1
    return [{ kind: FeedEffectKind.EntryFailed, address: failed.address, reason }]
  }

  const restartCall = (chosen = nextSource()): FeedEffect[] => {
    const aborted: FeedEffect[] = running === undefined ? [] : [{ kind: FeedEffectKind.Abort, callId: running.callId }]
    running = undefined
    return [...aborted, ...startCall(chosen)]
  }

  const isOvertaken = (nowMs: TimestampMs) => peerAheadSinceMs !== undefined && nowMs - peerAheadSinceMs > peerAheadLimitMs

  /** Whether the read in flight was started before this process had to notice silence by itself, and has become too old. */
  const isReadTooOld = (nowMs: TimestampMs): boolean => {
    const noticeMs = noticeWithinMs()
    if (noticeMs === undefined || running?.waitMs === undefined || running.waitMs < noticeMs) return false
    return nowMs - running.startedAtMs >= noticeMs
  }

  /** Whether the entry that this process reads from is no longer the one to use. */
  const hasSourceChanged = (): boolean => {
    if (running?.source.kind !== SourceKind.Entry || confirmUntilMs !== undefined) return false
    const current = source()
    return current !== undefined && !isSameSource(running.source, current)
  }

  /** Lists from another entry, which may know what the store has lost. */
  const confirmIfDue = (nowMs: TimestampMs): FeedEffect[] => {
    if (confirmUntilMs === undefined || nowMs < nextConfirmMs) return []
    if (nowMs > confirmUntilMs) confirmUntilMs = undefined
    const entry = otherEntry()
    if (entry === undefined) return []
    nextConfirmMs = nowMs + CONFIRM_INTERVAL_MS
    mustList = true
    return restartCall(entry)
  }

  const onTick = (): FeedEffect[] => {
    const nowMs = clock.nowMs()
    const confirmation = confirmIfDue(nowMs)
    if (confirmation.length > 0) return confirmation
    // While the store is lost, a call to it is repeated anyway, unless an entry is the source.
    if (isOvertaken(nowMs) && (outageStartMs === undefined || running?.source.kind === SourceKind.Entry)) {
      peerAheadSinceMs = undefined
      isBehind = true
      return restartCall()
    }
    if (hasSourceChanged()) return restartCall()
    if (isReadTooOld(nowMs)) {
      isRechecking = true
      return restartCall()
    }
    return running === undefined && nowMs >= nextCallAtMs ? startCall() : []
  }

  const onPeerAhead = (ahead: LogPosition): FeedEffect[] => {
    if (position === undefined || comparePositions(ahead, laterPosition(peerPosition, position)) <= 0) return []
    peerPosition = ahead
    if (peerAheadSinceMs !== undefined) return []
    peerAheadSinceMs = clock.nowMs()
    peerAheadLimitMs = PEER_AHEAD_LIMIT_MS + (running?.source.kind === SourceKind.Entry ? random.int(0, PEER_AHEAD_JITTER_MS) : 0)
    return []
  }

  const ifCurrentCall = <Message extends { callId: number }>(handle: (message: Message) => FeedEffect[]) =>
    (message: Message) => message.callId === running?.callId ? handle(message) : []

  const handlers: HandlerTable<FeedMessage, FeedEffect[]> = {
    [FeedMessageKind.Started]: () => startCall(),
    [FeedMessageKind.Listed]: ifCurrentCall<FeedPage>(onListed),
    [FeedMessageKind.RecordsRead]: ifCurrentCall<FeedPage>(onRecordsRead),
    [FeedMessageKind.RecordsExpired]: ifCurrentCall(() => listFromSameSource({})),
    [FeedMessageKind.CallFailed]: ifCurrentCall<{ callId: number, reason: string, isSilent?: boolean }>(({ reason, isSilent }) => onCallFailed(reason, isSilent)),
    [FeedMessageKind.PeerAhead]: ({ position: ahead }) => onPeerAhead(ahead),
    [FeedMessageKind.ProcessResumed]: () => {
      mustList = true
      return restartCall()
    },
    [FeedMessageKind.Tick]: onTick
  }

  return {
    handle: message => dispatch(handlers, message),
    get position () { return position },
    get isConnected () { return storeFailedMs === undefined || clock.nowMs() - storeFailedMs > STORE_DISTRUST_MS },
    get hasState () { return position !== undefined },
    get recoveredAtMs () { return recoveredAtMs }
  }
}
