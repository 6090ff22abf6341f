import { type Clock, createTask, dispatch, type HandlerTable, type Random } from '../core/index.js'
import { SourceKind, type StoreCallReason } from './constants.js'
import { createRecordLog, type RecordLog } from './createRecordLog.js'
import { createTopicFollower, type FeedEffect, FeedEffectKind, type FeedMessage, FeedMessageKind, type TopicFollower } from './createTopicFollower.js'
import type { KeyedRecord, RecordCall, RecordPage, RecordSource, TopicPort } from './types.js'

export interface TopicTaskOptions {
  name: string
  clock: Clock
  random: Random
  /** From where records are read at present; undefined while no source is known. */
  source: () => RecordSource | undefined
  storePort: TopicPort
  /** Port to an entry that passes on the topic. */
  entryPortOf: (address: string) => TopicPort
  tickIntervalMs: number
  onReplaceAll: (records: readonly KeyedRecord[]) => void
  onRecords: (records: readonly KeyedRecord[]) => void
  /** Called after each change of the log and each recovery of the store, for the processes that wait for them. */
  onAdvanced: () => void
  onStoreCalled: (reason: StoreCallReason) => void
  onEntryFailed: (address: string, reason: string) => void
  onUnavailable: (reason: string) => void
  onRecovered: (outageMs: number) => void
  /** Called when the store gives offsets out anew; `position` is the offset that this process would read next. */
  onRestored: (change: { before: number, era: number, position: number | undefined, end: number }) => void
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
  { name, clock, random, source, storePort, entryPortOf, tickIntervalMs, ...listeners }: TopicTaskOptions
): TopicTask => {
  const follower = createTopicFollower({ clock, random, source })
  const calls = new Map<number, RecordCall>()
  const records = createRecordLog()

  /** Returns the port of a call's source, and reports a call to the store. */
  const portFor = ({ source: from, reason }: { source: RecordSource, reason: StoreCallReason }): TopicPort => {
    if (from.kind === SourceKind.Entry) return entryPortOf(from.address)
    listeners.onStoreCalled(reason)
    return storePort
  }

  let knownEra: number | undefined

  const observeEra = ({ era, end }: RecordPage) => {
    if (era === undefined || era === knownEra) return
    if (knownEra !== undefined) listeners.onRestored({ before: knownEra, era, position: follower.position, end })
    knownEra = era
  }

  const startCall = (callId: number, port: TopicPort, call: RecordCall, toMessage: (page: RecordPage) => FeedMessage) => {
    calls.set(callId, call)
    call.result
      .then(page => {
        observeEra(page)
        task.post(toMessage(page))
      })
      .catch(error => task.post(port.isRecordsExpired(error)
        ? { kind: FeedMessageKind.RecordsExpired, callId }
        : { kind: FeedMessageKind.CallFailed, callId, reason: error instanceof Error ? error.message : String(error) }))
      .finally(() => calls.delete(callId))
  }

  const performers: HandlerTable<FeedEffect, void> = {
    [FeedEffectKind.List]: call => {
      const { callId, timeoutMs } = call
      const port = portFor(call)
      startCall(callId, port, port.list(timeoutMs), page => ({ kind: FeedMessageKind.Listed, callId, ...page }))
    },
    [FeedEffectKind.Read]: call => {
      const { callId, from, waitMs, timeoutMs } = call
      const port = portFor(call)
      startCall(callId, port, port.read(from, waitMs, timeoutMs), page => ({ kind: FeedMessageKind.RecordsRead, callId, ...page }))
    },
    [FeedEffectKind.Abort]: ({ callId }) => calls.get(callId)?.abort(),
    [FeedEffectKind.ReplaceAll]: ({ records: listed, end }) => {
      records.replaceAll(listed, end)
      listeners.onReplaceAll(listed)
      listeners.onAdvanced()
    },
    [FeedEffectKind.Apply]: ({ records: read, end }) => {
      records.append(read, end)
      listeners.onRecords(read)
      listeners.onAdvanced()
    },
    [FeedEffectKind.EntryFailed]: ({ address, reason }) => listeners.onEntryFailed(address, reason),
    [FeedEffectKind.StoreUnavailable]: ({ reason }) => listeners.onUnavailable(reason),
    [FeedEffectKind.StoreRecovered]: ({ outageMs }) => {
      listeners.onRecovered(outageMs)
      listeners.onAdvanced()
    }
  }

  const task = createTask<FeedMessage, FeedEffect>({ name, core: follower, perform: effect => dispatch(performers, effect) })
  task.tickEvery(tickIntervalMs, () => ({ kind: FeedMessageKind.Tick }))
  task.post({ kind: FeedMessageKind.Started })
  return {
    follower,
    records,
    post: message => { task.post(message) },
    stop: () => task.stop()
  }
}
