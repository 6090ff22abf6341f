import {
  createStoreFollower, type KeyedRecord, type StoreEffect, StoreEffectKind, type StoreFollower, type StoreMessage, StoreMessageKind
} from '../../configuration/index.js'
import { type Clock, createTask, dispatch, type HandlerTable, type Random } from '../../core/index.js'
import type { RecordCall, TopicPort } from './types.js'

const TICK_MS = 50

export interface TopicTaskOptions {
  name: string
  clock: Clock
  random: Random
  port: TopicPort
  onReplaceAll: (records: readonly KeyedRecord[]) => void
  onRecords: (records: readonly KeyedRecord[]) => void
  onLost: (reason: string) => void
  onRegained: (outageMs: number) => void
}

export interface TopicTask {
  readonly follower: StoreFollower
  post (message: StoreMessage): void
  stop (): void
}

/**
 * Follows one keyed topic of the store: owns its calls and hands the records on.
 *
 * @example
 * const task = startTopicTask({ name: 'workers', clock, random, port, ... })
 */
export const startTopicTask = ({ name, clock, random, port, ...listeners }: TopicTaskOptions): TopicTask => {
  const follower = createStoreFollower({ clock, random })
  const calls = new Map<number, RecordCall>()

  const run = (callId: number, call: RecordCall, toMessage: (records: KeyedRecord[], end: number) => StoreMessage) => {
    calls.set(callId, call)
    call.result
      .then(({ records, end }) => task.post(toMessage(records, end)))
      .catch(error => task.post(port.isHistoryLost(error)
        ? { kind: StoreMessageKind.HistoryLost, callId }
        : { kind: StoreMessageKind.CallFailed, callId, reason: error instanceof Error ? error.message : String(error) }))
      .finally(() => calls.delete(callId))
  }

  const performers: HandlerTable<StoreEffect, void> = {
    [StoreEffectKind.List]: ({ callId, timeoutMs }) =>
      run(callId, port.list(timeoutMs), (records, end) => ({ kind: StoreMessageKind.Listed, callId, records, end })),
    [StoreEffectKind.Read]: ({ callId, from, waitMs, timeoutMs }) =>
      run(callId, port.read(from, waitMs, timeoutMs), (records, end) => ({ kind: StoreMessageKind.RecordsRead, callId, records, end })),
    [StoreEffectKind.Abort]: ({ callId }) => calls.get(callId)?.abort(),
    [StoreEffectKind.ReplaceAll]: ({ records }) => listeners.onReplaceAll(records),
    [StoreEffectKind.Apply]: ({ records }) => listeners.onRecords(records),
    [StoreEffectKind.StoreLost]: ({ reason }) => listeners.onLost(reason),
    [StoreEffectKind.StoreRegained]: ({ outageMs }) => listeners.onRegained(outageMs)
  }

  const task = createTask<StoreMessage, StoreEffect>({ name, core: follower, perform: effect => dispatch(performers, effect) })
  task.tickEvery(TICK_MS, () => ({ kind: StoreMessageKind.Tick }))
  task.post({ kind: StoreMessageKind.Started })
  return { follower, post: message => { task.post(message) }, stop: () => task.stop() }
}
