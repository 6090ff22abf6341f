import { type Clock, createTask, dispatch, type HandlerTable, type LogPosition, type Random, type TaskFailure } from '../core/index.js'
import { ConnectionUse } from '../upstreams/index.js'
import { SourceKind, type StoreCallReason } from './constants.js'
import { createPositionMerge, type Listing } from './createPositionMerge.js'
import { createRecordLog, type RecordLog } from './createRecordLog.js'
import { createRestoreMerge, type RestoreMergeOptions } from './createRestoreMerge.js'
import { createTopicFollower } from './createTopicFollower.js'
import { type FeedEffect, FeedEffectKind, type FeedMessage, FeedMessageKind, ListedState, type TopicFollower } from './followerTypes.js'
import { readHistory } from './readHistory.js'
import type { KeyedRecord, RecordCall, RecordPage, RecordSource, TopicPort } from './types.js'

export interface TopicTaskOptions extends Pick<RestoreMergeOptions, 'orderOf' | 'keepsLostKeys'> {
  name: string
  clock: Clock
  random: Random
  /** From where records are read at present; undefined while no source is known. */
  source: () => RecordSource | undefined
  /** Another entry that has the state of the topic; undefined while none is known. */
  otherEntry?: (() => RecordSource | undefined) | undefined
  /** Time within which this process itself must notice a silent connection, in ms; undefined while others would show it. */
  noticeWithinMs?: (() => number | undefined) | undefined
  storePort: TopicPort
  /** Port to an entry that passes on the topic. */
  entryPortOf: (address: string) => TopicPort
  tickIntervalMs: number
  /** The records include newer ones that a restored store has lost. */
  onReplaceAll: (records: readonly KeyedRecord[], state: ListedState) => void
  onRecords: (records: readonly KeyedRecord[]) => void
  /** Whether a record tells no order, and its key keeps what was last written or removed when the store loses that. */
  isOrderedByPosition?: ((record: KeyedRecord) => boolean) | undefined
  /** Called after each change of the log and each recovery of the store, for the processes that wait for them. */
  onAdvanced: () => void
  onStoreCalled: (reason: StoreCallReason) => void
  /** Called when a call to a source got no response in time, before it is repeated on a new connection. */
  onSilent: (source: RecordSource) => void
  /** Called when this process has lost the store, or regained it. */
  onConnectionChanged: () => void
  onEntryFailed: (address: string, reason: string) => void
  onUnavailable: (reason: string) => void
  /** Called after an exception, after which a part of the state may be missing. */
  onFailure: (failure: TaskFailure<unknown, unknown>) => void
  onRecovered: (outageMs: number) => void
  /** Called when the store gives offsets out anew, with the position that this process would have read next. */
  onRestored: (change: { before: LogPosition, end: LogPosition }) => void
}

export interface TopicTask {
  readonly follower: TopicFollower
  /** The state of the topic and its last records. */
  readonly records: Pick<RecordLog, 'end' | 'state' | 'recordsFrom'>
  post (message: FeedMessage): void
  stop (): void
}

/**
 * Follows one keyed topic: owns its calls and passes the records to the listeners.
 *
 * @example
 * const task = startTopicTask({ name: 'workers', clock, random, source, storePort, entryPortOf, ... })
 */
export const startTopicTask = (
  { name, clock, random, source, otherEntry = () => undefined, noticeWithinMs = () => undefined, storePort, entryPortOf, tickIntervalMs, orderOf, keepsLostKeys, isOrderedByPosition, ...listeners }: TopicTaskOptions
): TopicTask => {
  const follower = createTopicFollower({ clock, random, source, otherEntry, noticeWithinMs })
  const calls = new Map<number, RecordCall>()
  const records = createRecordLog()
  const memory = createRestoreMerge({ clock, orderOf, keepsLostKeys })
  const positions = isOrderedByPosition === undefined ? undefined : createPositionMerge({ isOrderedByPosition })
  /** Where a listed page came from, by its records. */
  const origins = new WeakMap<readonly KeyedRecord[], Pick<Listing, 'isFromStore' | 'history'>>()
  const isOrderedByWriter = (record: KeyedRecord) => isOrderedByPosition?.(record) !== true

  const stateOf = (): KeyedRecord[] => [...records.state().filter(isOrderedByWriter), ...positions?.state() ?? []]

  /** Takes over a list and returns the state that is in force with it. */
  const takeListed = (listed: readonly KeyedRecord[], end: LogPosition, state: ListedState): KeyedRecord[] => {
    const isRestored = state !== ListedState.Current
    positions?.list({ records: listed, end, isFromStore: true, ...origins.get(listed) }, isRestored)
    const ordered = listed.filter(isOrderedByWriter)
    const merged = isRestored ? memory.merge(ordered) : ordered
    memory.observe(merged)
    return [...merged, ...positions?.state() ?? []]
  }

  /** Lists a topic; if the store came back from a copy, reads also what was written since. */
  const listFrom = (port: TopicPort, isFromStore: boolean, timeoutMs: number, use: ConnectionUse): RecordCall => {
    const listing = port.list(timeoutMs, use)
    const history = readHistory({ port, timeoutMs, before: records.end, oldestOffset: isFromStore ? positions?.oldestOffset : undefined })
    const result = listing.result.then(async page => {
      origins.set(page.records, { isFromStore, history: await history.read(page.end) })
      return page
    })
    const abort = () => {
      listing.abort()
      history.abort()
    }
    return { result, abort }
  }

  /** Returns the port of a call's source, and reports a call to the store. */
  const portFor = ({ source: from, reason }: { source: RecordSource, reason: StoreCallReason }): TopicPort => {
    if (from.kind === SourceKind.Entry) return entryPortOf(from.address)
    listeners.onStoreCalled(reason)
    return storePort
  }

  const startCall = (callId: number, port: TopicPort, call: RecordCall, toMessage: (page: RecordPage) => FeedMessage) => {
    calls.set(callId, call)
    call.result
      .then(page => task.post(toMessage(page)))
      .catch(error => task.post(port.isRecordsExpired(error)
        ? { kind: FeedMessageKind.RecordsExpired, callId }
        : { kind: FeedMessageKind.CallFailed, callId, reason: error instanceof Error ? error.message : String(error), isSilent: port.isSilence(error) }))
      .finally(() => calls.delete(callId))
  }

  const useOf = ({ needsFreshConnection }: { needsFreshConnection: boolean }) => needsFreshConnection ? ConnectionUse.Fresh : ConnectionUse.Reuse

  const performers: HandlerTable<FeedEffect, void> = {
    [FeedEffectKind.List]: call => {
      const { callId, timeoutMs } = call
      const port = portFor(call)
      startCall(callId, port, listFrom(port, call.source.kind === SourceKind.Store, timeoutMs, useOf(call)), page => ({ kind: FeedMessageKind.Listed, callId, ...page }))
    },
    [FeedEffectKind.Read]: call => {
      const { callId, from, waitMs, timeoutMs } = call
      const port = portFor(call)
      startCall(callId, port, port.read(from, waitMs, timeoutMs, useOf(call)), page => ({ kind: FeedMessageKind.RecordsRead, callId, ...page }))
    },
    [FeedEffectKind.Abort]: ({ callId }) => calls.get(callId)?.abort(),
    [FeedEffectKind.ReplaceAll]: ({ records: listed, end, state }) => {
      if (state === ListedState.Restored) listeners.onRestored({ before: records.end!, end })
      const merged = takeListed(listed, end, state)
      records.replaceAll(merged, end)
      listeners.onReplaceAll(merged, state)
      listeners.onAdvanced()
    },
    [FeedEffectKind.Apply]: ({ records: read, end }) => {
      memory.observe(read.filter(isOrderedByWriter))
      positions?.observe(read, end)
      records.append(read, end)
      listeners.onRecords(read)
      listeners.onAdvanced()
    },
    [FeedEffectKind.ConnectionSilent]: ({ source: silent }) => {
      listeners.onSilent(silent)
      listeners.onConnectionChanged()
    },
    [FeedEffectKind.ConnectionReplaced]: () => listeners.onConnectionChanged(),
    [FeedEffectKind.EntryFailed]: ({ address, reason }) => listeners.onEntryFailed(address, reason),
    [FeedEffectKind.StoreUnavailable]: ({ reason }) => {
      listeners.onUnavailable(reason)
      listeners.onConnectionChanged()
    },
    [FeedEffectKind.StoreRecovered]: ({ outageMs }) => {
      listeners.onRecovered(outageMs)
      listeners.onAdvanced()
    }
  }

  const onFailure = (failure: TaskFailure<FeedMessage, FeedEffect>) => {
    listeners.onFailure(failure)
    const { effect } = failure
    const isCall = effect?.kind === FeedEffectKind.List || effect?.kind === FeedEffectKind.Read
    if (isCall) task.post({ kind: FeedMessageKind.CallFailed, callId: effect.callId, reason: 'the call could not be started' })
  }

  const task = createTask<FeedMessage, FeedEffect>({ name, core: follower, perform: effect => dispatch(performers, effect), onFailure })
  task.tickEvery(tickIntervalMs, () => ({ kind: FeedMessageKind.Tick }))
  task.post({ kind: FeedMessageKind.Started })
  return {
    follower,
    records: { get end () { return records.end }, state: stateOf, recordsFrom: records.recordsFrom },
    post: message => { task.post(message) },
    stop: () => task.stop()
  }
}
