import { type Clock, createIncarnation, createRequestIds, dispatch, type HandlerTable, type Random, ResultCode } from '../../core/index.js'
import { ADJUST_INTERVAL_MS, createFleetRetryBudget, type FleetRetryBudgetSettings } from '../../limits/index.js'
import {
  PeerEffectKind, PeerMessageKind, type PeerEvent, type PeerReportTask, SelfChange, type SelfDescription, startPeerReportTask
} from '../../membership/index.js'
import { type EventLog, LogEvent } from '../../observe/index.js'
import { createCrashRecord, type WorkerRun } from '../../quarantine/index.js'
import { createWorkerPlacement } from '../../routing/index.js'
import { createFleetKnowledge, type FleetKnowledge, type StorePort } from '../knowledge/index.js'
import { admitCaller } from './admitCaller.js'
import { createForwardCounters, type ForwardCounters } from './forwardCounters.js'
import { createForwardPorts } from './forwardPorts.js'
import { type ForwardTask, startForwardTask } from './forwardTask.js'
import { createSlowdownTracker } from './slowdownTracker.js'
import { createPeerStateClient, startPeerStateServer } from './peerState.js'
import { createStreamLimits } from './streamLimits.js'
import type { CallerRequest, CallerSink, WorkerCodec } from './types.js'

export interface ForwardNodeOptions {
  nodeId: string
  zone: string
  frontAddress: string
  peerAddress: string
  seedAddresses: readonly string[]
  retryBudget: () => FleetRetryBudgetSettings
  clock: Clock
  random: Random
  store: StorePort
  codec: WorkerCodec
  log: EventLog
  onConfiguration: (node: FleetKnowledge) => void
}

/** A request whose head was admitted and whose body has not arrived yet. */
export interface OpenRequest {
  submit (body: Uint8Array): void
}

/** An entry that forwards requests directly to workers. */
export interface ForwardNode {
  /** Unique across all runs of all entries. */
  nextRequestId (): string
  /** Admits a request by its head, or refuses it through the sink and returns undefined. */
  open (caller: CallerRequest, sink: CallerSink): OpenRequest | undefined
  cancel (requestId: string): void
  /** Addresses of ready entries for callers in a zone; those of all zones if the zone has too few. */
  addressesFor (zone: string): string[]
  readonly isReady: boolean
  readonly isStopping: boolean
  /** Removes this entry from the addresses given to callers; it still serves requests. */
  startStopping (): void
  readonly inFlightCount: number
  readonly counters: ForwardCounters
  readonly knowledge: FleetKnowledge
  readonly openedConnections: number
  readonly livePeers: number
  streamLimits (): Record<string, number>
  stop (): void
}

/** A gap this long between two housekeeping ticks means that the process was paused. */
const PROCESS_PAUSE_MS = 1_200
const HOUSEKEEPING_MS = 200
/** If a zone has fewer ready entries, its callers get those of all zones. */
const ZONE_ADDRESSES_MIN = 2
const ADDRESSES_MAX = 64

/**
 * Starts an entry. It reads the configuration and the workers from the store, and learns about the
 * other entries from their reports.
 *
 * @example
 * const node = startForwardNode({ nodeId: 'front-1', ... })
 * node.open(caller, sink)?.submit(body)
 */
export const startForwardNode = (options: ForwardNodeOptions): ForwardNode => {
  const { nodeId, zone, frontAddress, clock, random, store, codec, log } = options
  const incarnation = createIncarnation(random)
  const counters = createForwardCounters()
  const crashes = createCrashRecord({ clock })
  let isStopping = false
  let lastHousekeepingMs = clock.nowMs()
  let lastAdjustMs = clock.nowMs()

  const recordWorkerDown = (run: WorkerRun) => {
    const fingerprints = crashes.recordDown(run)
    if (fingerprints.length === 0) return
    log(LogEvent.WorkerCrashed, { workerId: run.workerId, startedAtUnixMs: run.startedAtUnixMs, fingerprints })
    reportStateChange()
  }

  const reportStateChange = () => peers.post({ kind: PeerMessageKind.SelfChanged, change: SelfChange.State })

  const knowledge = createFleetKnowledge({
    clock,
    random,
    store,
    peers: createPeerStateClient({ clock, random, addresses: () => peers.reports.readyAddresses() }),
    log,
    onConfiguration: () => {
      options.onConfiguration(knowledge)
      reportStateChange()
    },
    onWorkersChanged: changes => {
      for (const { workerId, startedAtUnixMs, isRunOver } of changes) if (isRunOver) recordWorkerDown({ workerId, startedAtUnixMs })
      forward.closeUnused()
      reportStateChange()
    }
  })

  const countUsableWorkers = (service: string) => knowledge.workers.usable(service).length

  const alivePeers = () => peers.reports.alive()

  const placement = createWorkerPlacement({
    clock, random, ownZone: zone, workers: knowledge.workers, peersRunningAt: workerId => peers.reports.runningAt(workerId), slowdownOf: workerId => slowdowns.slowdownOf(workerId)
  })

  const streamLimits = createStreamLimits({ countUsableWorkers, runningIn: placement.runningIn, log })

  const budget = createFleetRetryBudget({ clock, settings: options.retryBudget, countEntries: () => alivePeers().length + 1 })

  const reportLoadChange = (change: SelfChange) => {
    peers.post({ kind: PeerMessageKind.SelfChanged, change })
    if (change === SelfChange.LoadFell) forward.retryWaitingRequests()
  }

  const forward: ForwardTask = startForwardTask({
    clock,
    codec,
    workers: knowledge.workers,
    ports: createForwardPorts({
      random,
      configuration: knowledge.configuration,
      placement,
      budget,
      streamLimitOf: streamLimits.of,
      countUsableWorkers,
      crashes,
      onWorkerDown: recordWorkerDown,
      counters,
      log,
      now: clock.nowMs,
      onRunningChanged: reportLoadChange
    })
  })

  const isReady = () => knowledge.isComplete && !isStopping

  const describeSelf = (): SelfDescription => ({
    nodeId,
    incarnation,
    zone,
    frontAddress,
    isReady: isReady(),
    configurationVersion: knowledge.configuration.version,
    storeOffsets: knowledge.storeOffsets(),
    running: placement.ownRunning(),
    pauses: streamLimits.ownEventGaps(),
    crashes: crashes.newestCrashes(),
    paces: slowdowns.slowWorkers()
  })

  const peerEventHandlers: HandlerTable<PeerEvent, void> = {
    [PeerEffectKind.PeerLost]: ({ nodeId: lostId, address }) => {
      log(LogEvent.PeerLost, { nodeId: lostId, address })
      forward.retryWaitingRequests()
    },
    [PeerEffectKind.PeerUpdated]: ({ report, isNew }) => {
      if (isNew) log(LogEvent.PeerFound, { nodeId: report.nodeId, incarnation: report.incarnation })
      knowledge.observePeerOffsets(report)
      crashes.mergePeerCrashes(report.crashes)
      forward.retryWaitingRequests()
    },
    [PeerEffectKind.SlowdownReported]: ({ workerId, pace }) => slowdowns.record(workerId, pace)
  }

  const peers: PeerReportTask = startPeerReportTask({
    clock,
    random,
    ownAddress: options.peerAddress,
    seeds: options.seedAddresses,
    describeSelf,
    onEvent: event => dispatch(peerEventHandlers, event),
    onFault: reason => log(LogEvent.PeerFault, { reason })
  })

  const closePeerState = startPeerStateServer({ address: options.peerAddress, stateOf: knowledge.stateOf, onFault: reason => log(LogEvent.PeerFault, { reason }) })

  const slowdowns = createSlowdownTracker({ clock, reports: alivePeers, log, onChanged: reportStateChange })

  const housekeeping = setInterval(() => {
    const nowMs = clock.nowMs()
    const gapMs = nowMs - lastHousekeepingMs
    lastHousekeepingMs = nowMs
    if (gapMs > PROCESS_PAUSE_MS) {
      log(LogEvent.ProcessPaused, { gapMs: Math.round(gapMs) })
      peers.post({ kind: PeerMessageKind.ProcessResumed })
      knowledge.refresh()
    }
    knowledge.tick()
    if (nowMs - lastAdjustMs >= ADJUST_INTERVAL_MS) {
      lastAdjustMs = nowMs
      streamLimits.adjust(alivePeers())
    }
  }, HOUSEKEEPING_MS)

  const addressesFor = (callerZone: string): string[] => {
    const ready = alivePeers().filter(report => report.isReady).map(report => ({ address: report.frontAddress, zone: report.zone }))
    if (isReady()) ready.push({ address: frontAddress, zone })
    const inZone = ready.filter(entry => entry.zone === callerZone)
    const chosen = inZone.length >= ZONE_ADDRESSES_MIN ? inZone : ready
    return random.shuffle(chosen).slice(0, ADDRESSES_MAX).map(({ address }) => address)
  }

  const open = (caller: CallerRequest, sink: CallerSink): OpenRequest | undefined => {
    const admitted = admitCaller(caller, { configuration: knowledge.configuration, clock, random })
    if (typeof admitted === 'number') {
      log(LogEvent.RequestRefused, {
        requestId: caller.requestId,
        callerAttemptId: caller.callerAttemptId,
        code: admitted,
        path: caller.path,
        configurationVersion: knowledge.configuration.version
      })
      sink.onRefuse(admitted, admitted === ResultCode.NotReady ? HOUSEKEEPING_MS : undefined)
      return undefined
    }
    const { requestId, callerAttemptId, route, service, tenant } = admitted
    log(LogEvent.RequestAdmitted, {
      requestId, callerAttemptId, route: route.name, service, tenant, configurationVersion: knowledge.configuration.version
    })
    return {
      submit: body => {
        budget.recordRequest(service)
        forward.submit({ ...admitted, body }, sink)
      }
    }
  }

  return {
    nextRequestId: createRequestIds(incarnation),
    open,
    cancel: forward.cancel,
    addressesFor,
    get isReady () { return isReady() },
    get isStopping () { return isStopping },
    startStopping: () => {
      isStopping = true
      peers.post({ kind: PeerMessageKind.SelfChanged, change: SelfChange.State })
    },
    get inFlightCount () { return forward.core.liveCount },
    counters,
    knowledge,
    get openedConnections () { return forward.openedConnections },
    get livePeers () { return alivePeers().length },
    streamLimits: streamLimits.inForce,
    stop: () => {
      clearInterval(housekeeping)
      forward.stop()
      knowledge.stop()
      peers.stop()
      closePeerState()
    }
  }
}
