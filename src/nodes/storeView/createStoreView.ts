import { type ConfigurationHolder, createConfigurationHolder, type FleetConfiguration } from '../../configuration/index.js'
import { type Clock, comparePositions, type LogPosition, type Random } from '../../core/index.js'
import { createEvacuations, type EvacuationChange, type EvacuationRecord, type Evacuations } from '../../evacuation/index.js'
import { createWorkerTable, type WorkerChange, type WorkerRegistration, type WorkerRun, type WorkerTable } from '../../membership/index.js'
import { type EventLog, LogEvent, logTaskFailure } from '../../observe/index.js'
import { createFeedClient, type FeedClient, FeedMessageKind, type KeyedRecord, ListedState, type RecordSource, startTopicTask, type StoreCallListener, type StoreTopics, Topic, type TopicTask, type TopicTaskOptions, type WriterOrder } from '../../storeFeed/index.js'

/** The topics of the store, and the decoders of their records. */
export interface StorePort extends StoreTopics {
  /** Returns undefined for records of other keys; throws SettingsError if the record is invalid. */
  decodeConfiguration (record: KeyedRecord): FleetConfiguration | undefined
  decodeWorker (record: KeyedRecord): WorkerRegistration
  /** Returns undefined for records of other keys. */
  decodeEvacuation (record: KeyedRecord): EvacuationRecord | undefined
}

export interface StoreViewOptions {
  clock: Clock
  random: Random
  store: StorePort
  feed?: FeedClient
  /** From where records are read at present; undefined while no source is known. */
  source: () => RecordSource | undefined
  /** Another entry that has the state of all topics; undefined while none is known. */
  otherEntry?: () => RecordSource | undefined
  /** Interval at which the source and overdue calls are checked. */
  tickIntervalMs: number
  log: EventLog
  onConfiguration: () => void
  onWorkersChanged: (changes: readonly WorkerChange[]) => void
  /** Called for each valid registration that is applied, also if it changes no state. */
  onWorkerRead?: (registration: WorkerRegistration) => void
  /** Called when a failure domain has been evacuated or serves again. */
  onEvacuationsChanged?: () => void
  /** Called after each change of a topic, for the processes to which it is passed on. */
  onAdvanced?: (topic: Topic) => void
  onStoreCalled?: StoreCallListener
  onEntryFailed?: (address: string) => void
  /** Called when an open connection has fallen silent; others may have, too. */
  onSilent?: () => void
  /** Called when this process has lost the store, or regained it. */
  onConnectionChanged?: () => void
  /** Time within which this process itself must notice a silent connection, in ms; undefined while others would show it. */
  noticeWithinMs?: () => number | undefined
}

/** The configuration in force and the workers, as read from the store or from an entry that passes them on. */
export interface StoreView {
  readonly configuration: ConfigurationHolder
  readonly workers: WorkerTable
  readonly evacuations: Pick<Evacuations, 'isEvacuated' | 'zones'>
  /** Whether the state of both topics is known. */
  readonly isComplete: boolean
  readonly isStoreConnected: boolean
  readonly topics: Record<Topic, TopicTask>
  storePositions (): Record<string, LogPosition>
  /** Reads the records that a peer has already read and this process has not. */
  observePeerPositions (positions: Record<string, LogPosition>): void
  /** Records that a worker has said in a response that it is leaving. */
  recordLeaving (run: WorkerRun): void
  /** Brings all topics up to date after a process pause. */
  refresh (): void
  tick (): void
  stop (): void
}

/** What is particular to a topic. */
type TopicHandlers = Pick<TopicTaskOptions, 'onReplaceAll' | 'onRecords' | 'orderOf' | 'keepsLostKeys' | 'isOrderedByPosition'>

/**
 * Follows the store and keeps the configuration and the workers up to date.
 *
 * @example
 * const view = createStoreView({ clock, random, store, source, tickIntervalMs: 50, log, onConfiguration, onWorkersChanged })
 * view.workers.usable('quotes')
 */
export const createStoreView = (
  { clock, random, store, feed = createFeedClient({ clock }), source, tickIntervalMs, log, onConfiguration, onWorkersChanged, ...listeners }: StoreViewOptions
): StoreView => {
  const configuration = createConfigurationHolder()
  const evacuations = createEvacuations()
  const workers = createWorkerTable({ clock, isEvacuated: evacuations.isEvacuated })

  const reject = (topic: Topic, { key, offset }: KeyedRecord, error: unknown) =>
    log(LogEvent.RecordRejected, { topic, key, offset, reason: error instanceof Error ? error.message : String(error) })

  const adopt = (records: readonly KeyedRecord[]) => {
    for (const record of records) {
      try {
        const decoded = store.decodeConfiguration(record)
        if (decoded === undefined || !configuration.adopt(decoded)) continue
        log(LogEvent.ConfigurationAdopted, { version: decoded.version, era: record.era, offset: record.offset, routes: decoded.routes.length })
        onConfiguration()
      } catch (error) {
        reject(Topic.Operator, record, error)
      }
    }
  }

  const decodeEvacuations = (records: readonly KeyedRecord[]) => records.flatMap(record => store.decodeEvacuation(record) ?? [])

  const publishEvacuations = (changes: readonly EvacuationChange[]) => {
    for (const { zone, isEvacuated, era, offset } of changes) {
      const upstreams = workers.all().filter(worker => worker.zone === zone).length
      log(isEvacuated ? LogEvent.EvacuationBegan : LogEvent.EvacuationEnded, { domain: zone, era, offset, upstreams })
    }
    if (changes.length > 0) listeners.onEvacuationsChanged?.()
  }

  const decodeWorkers = (records: readonly KeyedRecord[]): WorkerRegistration[] => records.flatMap(record => {
    if (record.value === undefined) return []
    try {
      const registration = store.decodeWorker(record)
      listeners.onWorkerRead?.(registration)
      return [registration]
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

  const orderIfValid = <Decoded>(decode: (record: KeyedRecord) => Decoded | undefined, orderOf: (decoded: Decoded) => WriterOrder) =>
    (record: KeyedRecord): WriterOrder | undefined => {
      try {
        const decoded = decode(record)
        return decoded === undefined ? undefined : orderOf(decoded)
      } catch {
        // The record is rejected, and logged, where it is applied.
        return undefined
      }
    }

  const startTopic = (topic: Topic, handlers: TopicHandlers): TopicTask =>
    startTopicTask({
      ...handlers,
      name: topic,
      clock,
      random,
      source,
      otherEntry: listeners.otherEntry,
      noticeWithinMs: listeners.noticeWithinMs,
      storePort: store[topic],
      entryPortOf: address => feed.portOf(topic, address),
      tickIntervalMs,
      onAdvanced: () => listeners.onAdvanced?.(topic),
      onStoreCalled: reason => listeners.onStoreCalled?.(topic, reason),
      onEntryFailed: (address, reason) => {
        log(LogEvent.FeedFailed, { topic, address, reason })
        listeners.onEntryFailed?.(address)
      },
      onSilent: silent => {
        log(LogEvent.ConnectionSilent, { topic, ...silent })
        listeners.onSilent?.()
      },
      onConnectionChanged: () => listeners.onConnectionChanged?.(),
      onFailure: logTaskFailure(log, topic),
      onUnavailable: reason => log(LogEvent.StoreUnavailable, { topic, reason }),
      onRestored: change => log(LogEvent.StoreRestored, { topic, ...change }),
      onRecovered: outageMs => {
        log(LogEvent.StoreRecovered, { topic, outageMs: Math.round(outageMs) })
        if (topic === Topic.Workers) workers.recordStoreRecovered()
      }
    })

  const topics: Record<Topic, TopicTask> = {
    [Topic.Operator]: startTopic(Topic.Operator, {
      // Evacuations come first, so that no request is placed by a new configuration alone.
      onReplaceAll: records => {
        publishEvacuations(evacuations.replaceAll(decodeEvacuations(records)))
        adopt(records)
      },
      onRecords: records => {
        publishEvacuations(evacuations.apply(decodeEvacuations(records)))
        adopt(records)
      },
      isOrderedByPosition: record => store.decodeEvacuation(record) !== undefined,
      orderOf: orderIfValid(store.decodeConfiguration, ({ version }) => [version]),
      keepsLostKeys: true
    }),
    [Topic.Workers]: startTopic(Topic.Workers, {
      onReplaceAll: (records, state) => {
        const registrations = decodeWorkers(records)
        publishChanges(state === ListedState.Restored ? workers.restore(registrations) : workers.replaceAll(registrations))
      },
      onRecords: records => publishChanges(records.flatMap(applyWorker)),
      orderOf: orderIfValid(store.decodeWorker, ({ startedAtUnixMs, heartbeat }) => [startedAtUnixMs, heartbeat]),
      keepsLostKeys: false
    })
  }
  const topicTasks = Object.entries(topics) as [Topic, TopicTask][]

  return {
    configuration,
    workers,
    evacuations,
    topics,
    get isComplete () { return configuration.current !== undefined && topics[Topic.Workers].follower.hasState },
    get isStoreConnected () { return topicTasks.every(([, { follower }]) => follower.isConnected) },
    storePositions: () => Object.fromEntries(topicTasks.flatMap(([topic, { follower }]) =>
      follower.position === undefined ? [] : [[topic, follower.position]])),
    observePeerPositions: positions => {
      for (const [topic, { follower, post }] of topicTasks) {
        const position = positions[topic]
        const isAhead = position !== undefined && follower.position !== undefined && comparePositions(position, follower.position) > 0
        if (isAhead) post({ kind: FeedMessageKind.PeerAhead, position })
      }
    },
    recordLeaving: run => publishChanges(workers.recordLeaving(run)),
    refresh: () => topicTasks.forEach(([, task]) => task.post({ kind: FeedMessageKind.ProcessResumed })),
    tick: () => publishChanges(workers.tick()),
    stop: () => topicTasks.forEach(([, task]) => task.stop())
  }
}
