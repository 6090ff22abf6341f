import { type ConfigurationHolder, createConfigurationHolder, type KeyedRecord, StoreMessageKind } from '../../configuration/index.js'
import type { Clock, Random } from '../../core/index.js'
import { createWorkerTable, type PeerReport, type WorkerChange, type WorkerRegistration, type WorkerTable } from '../../membership/index.js'
import { type EventLog, LogEvent } from '../../observe/index.js'
import { startTopicTask, type TopicTask } from './topicTask.js'
import type { PeerStatePort, StorePort } from './types.js'

export interface FleetKnowledgeOptions {
  clock: Clock
  random: Random
  store: StorePort
  peers?: PeerStatePort
  log: EventLog
  onConfiguration: () => void
  onWorkersChanged: (changes: readonly WorkerChange[]) => void
}

/** The configuration in force and the workers, as read from the store. */
export interface FleetKnowledge {
  readonly configuration: ConfigurationHolder
  readonly workers: WorkerTable
  /** Whether the state of both topics is known, from the store or from a peer. */
  readonly isComplete: boolean
  readonly isStoreConnected: boolean
  storeOffsets (): Record<string, number>
  /** Latest record of each key of a topic, for a peer that starts during a store outage; undefined if not known. */
  stateOf (topic: string): KeyedRecord[] | undefined
  /** Reads the records that a peer has already read and this process has not. */
  observePeerOffsets (report: PeerReport): void
  /** Brings all topics up to date after a process pause. */
  refresh (): void
  tick (): void
  stop (): void
}

enum Topic {
  Operator = 'operator',
  Workers = 'workers'
}

const isTopic = (name: string): name is Topic => Object.values<string>(Topic).includes(name)

/**
 * Follows the store and keeps the configuration and the workers up to date.
 *
 * @example
 * const knowledge = createFleetKnowledge({ clock, random, store, log, onConfiguration, onWorkersChanged })
 * knowledge.workers.usable('quotes')
 */
export const createFleetKnowledge = (
  { clock, random, store, peers, log, onConfiguration, onWorkersChanged }: FleetKnowledgeOptions
): FleetKnowledge => {
  const configuration = createConfigurationHolder()
  const workers = createWorkerTable({ clock })

  const reject = (topic: Topic, { key, offset }: KeyedRecord, error: unknown) =>
    log(LogEvent.RecordRejected, { topic, key, offset, reason: error instanceof Error ? error.message : String(error) })

  const adopt = (records: readonly KeyedRecord[]) => {
    for (const record of records) {
      try {
        const decoded = store.decodeConfiguration(record)
        if (decoded === undefined || !configuration.adopt(decoded)) continue
        log(LogEvent.ConfigurationAdopted, { version: decoded.version, offset: record.offset, routes: decoded.routes.length })
        onConfiguration()
      } catch (error) {
        reject(Topic.Operator, record, error)
      }
    }
  }

  const decodeWorkers = (records: readonly KeyedRecord[]): WorkerRegistration[] => records.flatMap(record => {
    if (record.value === undefined) return []
    try {
      return [store.decodeWorker(record)]
    } catch (error) {
      reject(Topic.Workers, record, error)
      return []
    }
  })

  const publishChanges = (changes: readonly WorkerChange[]) => {
    for (const change of changes) log(LogEvent.WorkerChanged, { ...change, service: workers.get(change.workerId)?.service })
    if (changes.length > 0) onWorkersChanged(changes)
  }

  const applyWorker = (record: KeyedRecord): WorkerChange[] => {
    // A record under a worker's id that cannot be decoded, such as one of another writer, leaves no worker to use.
    const [entry] = decodeWorkers([record])
    return entry === undefined ? workers.remove(record.key) : workers.put(entry)
  }

  const startTopic = (topic: Topic, onReplaceAll: (records: readonly KeyedRecord[]) => void, onRecords: (records: readonly KeyedRecord[]) => void): TopicTask =>
    startTopicTask({
      name: topic,
      clock,
      random,
      port: store[topic],
      peers,
      onReplaceAll,
      onRecords,
      onPeerFault: reason => log(LogEvent.PeerFault, { topic, reason }),
      onUnavailable: reason => log(LogEvent.StoreUnavailable, { topic, reason }),
      onRecovered: outageMs => {
        log(LogEvent.StoreRecovered, { topic, outageMs: Math.round(outageMs) })
        if (topic === Topic.Workers) workers.recordStoreRecovered()
      }
    })

  const topics: Record<Topic, TopicTask> = {
    [Topic.Operator]: startTopic(Topic.Operator, adopt, adopt),
    [Topic.Workers]: startTopic(
      Topic.Workers,
      records => publishChanges(workers.replaceAll(decodeWorkers(records))),
      records => publishChanges(records.flatMap(applyWorker))
    )
  }
  const topicTasks = Object.entries(topics) as [Topic, TopicTask][]

  return {
    configuration,
    workers,
    get isComplete () { return configuration.current !== undefined && topics[Topic.Workers].follower.hasState },
    get isStoreConnected () { return topicTasks.every(([, { follower }]) => follower.isConnected) },
    storeOffsets: () => Object.fromEntries(topicTasks.flatMap(([topic, { follower }]) =>
      follower.position === undefined ? [] : [[topic, follower.position]])),
    stateOf: topic => isTopic(topic) ? topics[topic].state() : undefined,
    observePeerOffsets: ({ storeOffsets }) => {
      for (const [topic, task] of topicTasks) {
        const offset = storeOffsets[topic]
        if (offset !== undefined && offset > (task.follower.position ?? Infinity)) task.post({ kind: StoreMessageKind.PeerAhead, offset })
      }
    },
    refresh: () => topicTasks.forEach(([, task]) => task.post({ kind: StoreMessageKind.ProcessResumed })),
    tick: () => publishChanges(workers.tick()),
    stop: () => topicTasks.forEach(([, task]) => task.stop())
  }
}
