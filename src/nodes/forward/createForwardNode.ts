import { createUpstreamBytes } from '../../callerLimits/index.js'
import { createIncarnation, createRequestIds, dispatch } from '../../core/index.js'
import { ADJUST_INTERVAL_MS, createFleetRetryBudget } from '../../limits/index.js'
import { type Worker, WorkerState } from '../../membership/index.js'
import { LogEvent } from '../../observe/index.js'
import { PeerMessageKind, type PeerReportTask, SelfChange, type SelfDescription, startPeerReportTask } from '../../peers/index.js'
import { createWorkerPlacement, type WorkerPlacement } from '../../routing/index.js'
import { type FeedServer, startFeedServer } from '../../storeFeed/index.js'
import { createStoreView, type StoreView } from '../storeView/index.js'
import { createCrashMonitor } from './crashMonitor.js'
import { createEntryDirectory } from './entryDirectory.js'
import { createForwardExplainer } from './explainForward.js'
import { createEntryWeighing } from './entryWeighing.js'
import { createForwardCounters } from './forwardCounters.js'
import type { ForwardNode, ForwardNodeOptions } from './forwardNodeTypes.js'
import { createForwardPorts } from './forwardPorts.js'
import { type ForwardTask, startForwardTask } from './forwardTask.js'
import { createPeerEventHandlers } from './peerEventHandlers.js'
import { createPlacementRequests } from './placementRequest.js'
import { createPlannedStop } from './plannedStop.js'
import { createRequestOpener } from './createRequestOpener.js'
import { createRouteDurations } from './routeDurations.js'
import { createRecordSources } from './recordSources.js'
import { createLearnedCapacity } from './learnedCapacity.js'
import { createStatusPaths } from './statusPaths.js'
import { createSlowdownTracker } from './slowdownTracker.js'
import { createStreamLimits } from './streamLimits.js'
import { warmUpInForce, WorkerLimitsMessageKind } from '../../workerLimits/index.js'
import { startWorkerLimitsTask, type WorkerLimitsTask } from './workerLimitsTask.js'

/** A gap this long between two housekeeping ticks means that the process was paused. */
const PROCESS_PAUSE_MS = 1_200
const HOUSEKEEPING_MS = 200
const FEED_TICK_MS = 100

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
  const { address: peerAddress, socket, server } = options.peerBinding
  const incarnation = createIncarnation(random)
  const counters = createForwardCounters()
  const plannedStop = createPlannedStop({ clock })
  const durations = createRouteDurations({ clock })
  let lastHousekeepingMs = clock.nowMs()
  let lastAdjustMs = clock.nowMs()

  const expectsOthers = options.seedAddresses.some(address => address !== peerAddress)
  const weighing = createEntryWeighing({ clock, capacity: options.capacity, otherEntries: () => otherEntries(), expectsOthers, log })

  const reportStateChange = () => peers.post({ kind: PeerMessageKind.SelfChanged, change: SelfChange.State })

  const crashes = createCrashMonitor({ clock, log, onChanged: reportStateChange })

  const recordSources = createRecordSources({
    random,
    nodeId,
    zone,
    reports: () => peers.reports,
    isReady: () => isReady(),
    isStoreConnected: () => storeView.isStoreConnected,
    silenceMaxMs: options.silenceMaxMs
  })

  const storeView: StoreView = createStoreView({
    clock,
    random,
    store,
    ...recordSources,
    tickIntervalMs: FEED_TICK_MS,
    log,
    onAdvanced: topic => {
      feedServer.notify(topic)
      reportStateChange()
    },
    onStoreCalled: counters.countStoreCall,
    onConnectionChanged: reportStateChange,
    onSilent: () => forward.discardIdle(),
    onConfiguration: () => {
      statusPaths.update()
      options.onConfiguration(storeView)
    },
    onWorkersChanged: changes => {
      for (const { workerId, startedAtUnixMs, before, isRunOver } of changes) {
        if (isRunOver && before !== WorkerState.Draining) crashes.recordWorkerDown({ workerId, startedAtUnixMs })
      }
      forward.closeUnused()
      forward.retryWaitingRequests()
    },
    onWorkerRead: registration => workerLimits.post({ kind: WorkerLimitsMessageKind.WorkerRead, registration }),
    onEvacuationsChanged: () => {
      forward.closeUnused()
      forward.retryWaitingRequests()
    }
  })

  const statusPaths = createStatusPaths(storeView.configuration)
  const usableWorkers = (service: string) => storeView.workers.usable(service)
  const otherEntries = () => peers.reports.entries()
  const isLeaving = ({ workerId, startedAtUnixMs, zone: workerZone }: Worker) => {
    const known = storeView.workers.get(workerId)
    return storeView.evacuations.isEvacuated(workerZone) || known?.startedAtUnixMs !== startedAtUnixMs || known.state !== WorkerState.Serving
  }

  const workerLimits: WorkerLimitsTask = startWorkerLimitsTask({
    clock,
    random,
    ownNodeId: nodeId,
    entries: () => [{ nodeId, zone, address: peerAddress, isReady: isReady() }, ...otherEntries()].filter(entry => entry.isReady),
    isWorkerKnown: workerId => storeView.workers.get(workerId) !== undefined,
    warmUpOf: service => warmUpInForce(storeView.configuration.findService(service)?.warmUp, options.warmUpBounds?.()),
    log,
    send: (address, datagram) => peers.post({ kind: PeerMessageKind.SendRequested, address, datagram }),
    onLimitHeard: reportStateChange,
    onPermitsChanged: () => forward.retryWaitingRequests()
  })

  const learned = createLearnedCapacity({
    clock, random, log, upstreams: storeView.workers.all, reports: () => peers.reports.reports(), runningAt: workerId => placement.runningAt(workerId)
  })

  const placement: WorkerPlacement = createWorkerPlacement({
    clock,
    random,
    ownZone: zone,
    workers: storeView.workers,
    peersRunningAt: workerId => peers.reports.runningAt(workerId),
    slowdownOf: workerId => slowdowns.slowdownOf(workerId),
    permissionOf: workerLimits.limits.permissionOf,
    isEvacuated: storeView.evacuations.isEvacuated,
    capacity: learned.capacity,
    isCold: run => workerLimits.limits.coldLeftMs(run) > 0
  })

  const streamLimits = createStreamLimits({ countUsableWorkers: service => usableWorkers(service).length, runningIn: placement.runningIn, log })

  const budget = createFleetRetryBudget({ clock, settings: options.retryBudget, shareOfFleet: weighing.shareOfFleet })

  const reportLoadChange = (change: SelfChange) => {
    peers.post({ kind: PeerMessageKind.SelfChanged, change })
    if (change === SelfChange.LoadFell) forward.retryWaitingRequests()
  }

  const upstreamBytes = createUpstreamBytes(options.upstreamBytesMax)
  const placementRequests = createPlacementRequests({ configuration: storeView.configuration, streamLimitOf: streamLimits.of, usableWorkers, upstreamBytes })

  const forward: ForwardTask = startForwardTask({
    clock,
    codec,
    workers: storeView.workers,
    isEvacuated: storeView.evacuations.isEvacuated,
    statusPathOf: statusPaths.pathOf,
    ...(options.stallMs === undefined ? {} : { stallMs: options.stallMs }),
    log,
    ports: createForwardPorts({
      random,
      placementRequests,
      upstreamBytes,
      placement,
      budget,
      streamLimitOf: streamLimits.of,
      usableWorkers,
      crashes,
      isLeaving,
      mayRetry: ({ route, deadlineAtMs }) => plannedStop.mayRetry({ deadlineAtMs, expectedEndAtMs: durations.expectedEndAtMs(route.name, deadlineAtMs) }),
      recordDuration: durations.record,
      workerLimits: workerLimits.limits,
      postWorkerLimits: workerLimits.post,
      onWorkerLeaving: storeView.recordLeaving,
      counters,
      log,
      capacityRecorder: learned.recorder,
      now: clock.nowMs,
      onRunningChanged: reportLoadChange
    })
  })

  const isReady = () => storeView.isComplete && !plannedStop.isStarted

  const describeSelf = (): SelfDescription => ({
    nodeId,
    incarnation,
    zone,
    frontAddress,
    isReady: isReady(),
    isStoreConnected: storeView.isStoreConnected,
    configurationVersion: storeView.configuration.version,
    storePositions: storeView.storePositions(),
    running: placement.ownRunning(),
    pauses: streamLimits.ownEventGaps(),
    crashes: crashes.createReport(),
    paces: slowdowns.slowWorkers(),
    workerLimits: workerLimits.limits.report(),
    ...learned.describe(),
    ...weighing.report()
  })

  const peerEventHandlers = createPeerEventHandlers({
    log,
    observePositions: storeView.observePeerPositions,
    adoptCrashes: crashes.adoptPeerReport,
    postWorkerLimits: workerLimits.post,
    recordSlowdown: (workerId, pace) => slowdowns.record(workerId, pace),
    retryWaitingRequests: forward.retryWaitingRequests
  })

  const peers: PeerReportTask = startPeerReportTask({
    socket,
    clock,
    random,
    ownNodeId: nodeId,
    ownZone: zone,
    ownAddress: peerAddress,
    seeds: options.seedAddresses,
    describeSelf,
    onEvent: event => dispatch(peerEventHandlers, event),
    onSent: (content, address, bytes) => counters.countSent(content, peers.reports.isInZone(address), bytes),
    onFault: reason => log(LogEvent.PeerFault, { reason })
  })

  const slowdowns = createSlowdownTracker({ clock, reports: peers.reports.reports, log, onChanged: reportStateChange })

  const directory = createEntryDirectory({
    random, self: () => ({ address: peerAddress, zone, frontAddress, weight: weighing.own() }), isSelfReady: isReady, others: () => peers.reports.callerEntries()
  })

  const feedServer: FeedServer = startFeedServer({
    server,
    clock,
    topics: storeView.topics,
    entriesOf: directory.feedAddresses,
    onFault: reason => log(LogEvent.PeerFault, { reason })
  })

  const housekeeping = setInterval(() => {
    const nowMs = clock.nowMs()
    const gapMs = nowMs - lastHousekeepingMs
    lastHousekeepingMs = nowMs
    if (gapMs > PROCESS_PAUSE_MS) {
      log(LogEvent.ProcessPaused, { gapMs: Math.round(gapMs) })
      peers.post({ kind: PeerMessageKind.ProcessResumed })
      storeView.refresh()
    }
    weighing.record(gapMs - HOUSEKEEPING_MS, forward.core.liveCount)
    storeView.tick()
    learned.tick()
    if (nowMs - lastAdjustMs >= ADJUST_INTERVAL_MS) {
      lastAdjustMs = nowMs
      streamLimits.adjust(peers.reports.reports())
    }
  }, HOUSEKEEPING_MS)

  const open = createRequestOpener({
    admission: { configuration: storeView.configuration, plannedStop, expectedEndAtMs: durations.expectedEndAtMs, clock, random }, budget, submit: forward.submit, log
  })

  return {
    nextRequestId: createRequestIds(incarnation),
    open,
    cancel: forward.cancel,
    setSeeds: addresses => { peers.post({ kind: PeerMessageKind.SeedsChanged, seeds: addresses }) },
    addressesFor: directory.callerAddresses,
    get isReady () { return isReady() },
    get isStopping () { return plannedStop.isStarted },
    startStopping: schedule => {
      plannedStop.start(schedule)
      peers.post({ kind: PeerMessageKind.SelfChanged, change: SelfChange.State })
    },
    endRequests: forward.endRequests,
    get inFlightCount () { return forward.core.liveCount },
    counters,
    storeView,
    get openedConnections () { return forward.openedConnections },
    get rejectedMessages () { return forward.rejectedMessages },
    get livePeers () { return otherEntries().length },
    get readyPeers () { return peers.reports.callerEntries().filter(entry => entry.isReady).length },
    get weight () { return weighing.weight() },
    get limitedWorkers () { return workerLimits.limits.limitedCount },
    get coldWorkers () { return workerLimits.limits.coldCount },
    get blockedTraits () { return crashes.blockedCount },
    upstreamCapacities: learned.capacity.all,
    explain: createForwardExplainer({ configuration: storeView.configuration, placement, toPlacementRequest: placementRequests.toPlacementRequest }),
    streamLimits: streamLimits.inForce,
    stop: () => {
      clearInterval(housekeeping)
      forward.stop()
      workerLimits.stop()
      storeView.stop()
      peers.stop()
      feedServer.close()
    }
  }
}
