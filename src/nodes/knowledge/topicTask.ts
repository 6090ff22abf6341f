import {
  createStoreFollower, type KeyedRecord, type StoreEffect, StoreEffectKind, type StoreFollower, type StoreMessage, StoreMessageKind
} from '../../configuration/index.js'
import { type Clock, createTask, dispatch, type HandlerTable, type Random } from '../../core/index.js'
import type { PeerStatePort, RecordCall, TopicPort } from './types.js'

const TICK_MS = 50

export interface TopicTaskOptions {
  name: string
  clock: Clock
  random: Random
  port: TopicPort
  /** Peers to get the state of the topic from while the store is unavailable; undefined if there are none. */
  peers: PeerStatePort | undefined
  onReplaceAll: (records: readonly KeyedRecord[]) => void
  onRecords: (records: readonly KeyedRecord[]) => void
  onPeerFault: (reason: string) => void
  onUnavailable: (reason: string) => void
  onRecovered: (outageMs: number) => void
}

export interface TopicTask {
  readonly follower: StoreFollower
  /** The latest record of each key; undefined until the state of the topic is known. */
  state (): KeyedRecord[] | undefined
  post (message: StoreMessage): void
  stop (): void
}

/**
 * Follows one keyed topic of the store: owns its calls and passes the records to the listeners.
 *
 * @example
 * const task = startTopicTask({ name: 'workers', clock, random, port, ... })
 */
export const startTopicTask = ({ name, clock, random, port, peers, ...listeners }: TopicTaskOptions): TopicTask => {
  const follower = createStoreFollower({ clock, random })
  const calls = new Map<number, RecordCall>()
  let newestByKey = new Map<string, KeyedRecord>()

  const startCall = (callId: number, call: RecordCall, toMessage: (records: KeyedRecord[], end: number) => StoreMessage) => {
    calls.set(callId, call)
    call.result
      .then(({ records, end }) => task.post(toMessage(records, end)))
      .catch(error => task.post(port.isRecordsExpired(error)
        ? { kind: StoreMessageKind.RecordsExpired, callId }
        : { kind: StoreMessageKind.CallFailed, callId, reason: error instanceof Error ? error.message : String(error) }))
      .finally(() => calls.delete(callId))
  }

  const askPeer = (timeoutMs: number) => {
    peers?.fetch(name, timeoutMs)
      .then(records => { if (records !== undefined) task.post({ kind: StoreMessageKind.PeerReplied, records }) })
      .catch(error => listeners.onPeerFault(error instanceof Error ? error.message : String(error)))
  }

  const replaceAll = (records: readonly KeyedRecord[]) => {
    newestByKey = new Map(records.map(record => [record.key, record]))
    listeners.onReplaceAll(records)
  }

  const applyRecords = (records: readonly KeyedRecord[]) => {
    for (const record of records) {
      if (record.value === undefined) newestByKey.delete(record.key)
      else newestByKey.set(record.key, record)
    }
    listeners.onRecords(records)
  }

  const performers: HandlerTable<StoreEffect, void> = {
    [StoreEffectKind.List]: ({ callId, timeoutMs }) =>
      startCall(callId, port.list(timeoutMs), (records, end) => ({ kind: StoreMessageKind.Listed, callId, records, end })),
    [StoreEffectKind.Read]: ({ callId, from, waitMs, timeoutMs }) =>
      startCall(callId, port.read(from, waitMs, timeoutMs), (records, end) => ({ kind: StoreMessageKind.RecordsRead, callId, records, end })),
    [StoreEffectKind.AskPeer]: ({ timeoutMs }) => askPeer(timeoutMs),
    [StoreEffectKind.Abort]: ({ callId }) => calls.get(callId)?.abort(),
    [StoreEffectKind.ReplaceAll]: ({ records }) => replaceAll(records),
    [StoreEffectKind.Apply]: ({ records }) => applyRecords(records),
    [StoreEffectKind.StoreUnavailable]: ({ reason }) => listeners.onUnavailable(reason),
    [StoreEffectKind.StoreRecovered]: ({ outageMs }) => listeners.onRecovered(outageMs)
  }

  const task = createTask<StoreMessage, StoreEffect>({ name, core: follower, perform: effect => dispatch(performers, effect) })
  task.tickEvery(TICK_MS, () => ({ kind: StoreMessageKind.Tick }))
  task.post({ kind: StoreMessageKind.Started })
  return {
    follower,
    state: () => follower.hasState ? [...newestByKey.values()] : undefined,
    post: message => { task.post(message) },
    stop: () => task.stop()
  }
}
