import { type Clock, createTask, dispatch, type HandlerTable, type Random, type TimestampMs } from '../../core/index.js'
import {
  copiesInTime, createMapCoordinator, type MapCoordinatorEffect, MapCoordinatorEffectKind, type MapCoordinatorMessage,
  MapCoordinatorMessageKind, OrderAnswer, RankOrderKind, type RankReading, type ReplicaLimits
} from '../../expertMaps/index.js'
import type { Worker } from '../../membership/index.js'
import { type EventLog, LogEvent, logTaskFailure } from '../../observe/index.js'
import { createFeedClient, noticeMsFor, SourceKind } from '../../storeFeed/index.js'
import { createStoreView, type StorePort } from '../storeView/index.js'
import { openAgentSocket } from './agentSocket.js'
import { createEntryLocator } from './entryLocator.js'
import { COORDINATOR_ALIVE_INTERVAL_MS, createGroupRoster } from './groupRoster.js'
import { createChoicesSchedule } from './choicesSchedule.js'
import { createSlowdownNotices } from './slowdownNotices.js'
import { createReadingCollector, createReadingPublisher } from './readingPublisher.js'
import { createOrderExecution } from './orderExecution.js'
import { createRemoteRanks } from './remoteRanks.js'
import { type AgentMessage, AgentMessageKind, type RankPort } from './types.js'

export interface MapAgentOptions {
  /** Service of the worker on this host. */
  service: string
  /** Port of all agents; each listens on the address of its worker. */
  agentPort: number
  ip: string
  /** Chooses the entry from which this agent gets the store's records. */
  nodeId: string
  zone: string
  /** `ip:port` of a few entries, to which a slow worker is reported and which know the others; may be out of date. */
  entryAddresses: readonly string[]
  /** Time after open connections have fallen silent within which the store's records must be in force again, in ms. */
  silenceMaxMs: number
  clock: Clock
  random: Random
  store: StorePort
  rank: RankPort
  /** Returns the port to the rank of a worker on another host. */
  rankPortOf: (worker: Worker) => RankPort
  log: EventLog
  /** Called if the address of the agents cannot be bound; the agent can serve no one then. */
  onBindFailed: (error: Error) => void
}

export interface MapAgent {
  /** Resolves once a map switch that this process coordinates has ended, or after STOP_WAIT_MAX_MS. */
  stop (): Promise<void>
}

const READ_INTERVAL_MS = 100
const COORDINATOR_TICK_MS = 30
const WORKERS_TICK_MS = 1_000
const FEED_TICK_MS = 200
const LOCATOR_TICK_MS = 100
/** A map switch takes a few forward passes; a coordinator that holds the group longer than this is replaced. */
const STOP_WAIT_MAX_MS = 1_500
const STOP_POLL_MS = 20

type OrderToSend = Extract<MapCoordinatorEffect, { kind: MapCoordinatorEffectKind.SendOrder }>

const ipOf = (address: string) => address.slice(0, address.lastIndexOf(':'))

/**
 * Starts the agent of one rank. It reads its own worker and sends it orders, which costs nothing on the same
 * host; the agent of the lowest live rank is the coordinator, which plans and switches the maps of the group.
 *
 * @example
 * const agent = startMapAgent({ service, agentPort: 7340, ip, nodeId, zone, entryAddresses, silenceMaxMs, clock, random, store, rank, rankPortOf, log, onBindFailed })
 */
export const startMapAgent = (
  { service, agentPort, ip, nodeId, zone, entryAddresses, silenceMaxMs, clock, random, store, rank: port, rankPortOf, log, onBindFailed }: MapAgentOptions
): MapAgent => {
  let ownReading: RankReading | undefined
  let isReading = false
  let isCoordinator = false
  /** Rank of the coordinator as known to this agent. */
  let coordinatorRank: number | undefined
  let isStopping = false
  let aliveSentMs: TimestampMs = -Infinity
  const choicesSchedule = createChoicesSchedule({ clock })
  const publisher = createReadingPublisher({ clock })
  const collector = createReadingCollector()

  const logPeerFault = (reason: string) => log(LogEvent.PeerFault, { reason })

  const feed = createFeedClient({ clock })
  const locator = createEntryLocator({ clock, random, ownId: nodeId, zone, seeds: entryAddresses, feed, onFault: logPeerFault })

  const storeView = createStoreView({
    clock,
    random,
    store,
    feed,
    source: locator.source,
    tickIntervalMs: FEED_TICK_MS,
    log,
    onConfiguration: () => {},
    onWorkersChanged: () => {},
    onEntryFailed: locator.recordFailure,
    // No report shows an agent that it misses records. The store would not bear as many calls as entries do.
    noticeWithinMs: () => locator.source()?.kind === SourceKind.Entry ? noticeMsFor(silenceMaxMs) : undefined
  })
  const expertSettings = () => storeView.configuration.findService(service)?.engine?.experts

  /** Number of counts in the choices of all ranks of the group. */
  const groupCounts = () => (ownReading?.ranks ?? 0) * (expertSettings()?.sets ?? 0) * (expertSettings()?.experts ?? 0)

  const limits = (): ReplicaLimits | undefined => {
    const profile = expertSettings()
    return profile === undefined
      ? undefined
      : { placementsMax: profile.placementsMax, copiesMax: profile.copiesMax, copiesPerRankMax: copiesInTime(profile.copyMs) }
  }

  const otherWorkers = () => storeView.workers.all().filter(worker => worker.service === service && ipOf(worker.address) !== ip)

  const roster = createGroupRoster({ clock, ownGroup: () => ownReading?.group, ranks: () => ownReading?.ranks ?? 0 })

  const remoteRanks = createRemoteRanks({
    clock,
    workers: otherWorkers,
    isMember: roster.isMember,
    rankPortOf,
    onReading: reading => { task.post({ kind: MapCoordinatorMessageKind.ReadingReceived, reading }) },
    onGroup: roster.recordGroup,
    onFault: ({ workerId }, reason) => log(LogEvent.RankUnreadable, { workerId, reason })
  })

  const slowdownNotices = createSlowdownNotices({ clock })

  const coordinator = createMapCoordinator({
    clock, random, ownRank: () => ownReading?.view.rank, limits, expertShare: () => expertSettings()?.expertShare ?? 0
  })

  const sender = () => ({ group: ownReading?.group ?? '', rank: ownReading?.view.rank ?? -1 })

  const executeOrder = createOrderExecution({ log })

  const executeForCoordinator = async (coordinatorIp: string, message: Extract<AgentMessage, { kind: AgentMessageKind.Order }>) => {
    const { switchId, orderId, epoch, order } = message
    const answer = await executeOrder(port, epoch, order)
    socket.send(coordinatorIp, { ...sender(), kind: AgentMessageKind.OrderAnswer, switchId, orderId, answer })
  }

  const executeDirectly = async (target: RankPort, { switchId, orderId, epoch, order }: OrderToSend) => {
    const answer = await executeOrder(target, epoch, order)
    task.post({ kind: MapCoordinatorMessageKind.OrderAnswered, switchId, orderId, answer })
  }

  const logError = (error: unknown) => log(LogEvent.InternalError, { reason: error instanceof Error ? error.stack : String(error) })

  /**
   * Orders go through the agent of the rank, which costs nothing, unless that agent is silent. A hold goes directly to
   * the holder's worker, so that it cannot be stopped by the pause of a third host between the two.
   */
  const findDirectPort: Record<RankOrderKind, (rank: number) => RankPort | undefined> = {
    [RankOrderKind.Prepare]: remoteRanks.findSilent,
    [RankOrderKind.Hold]: remoteRanks.find,
    [RankOrderKind.Arm]: remoteRanks.findSilent,
    [RankOrderKind.Disarm]: remoteRanks.findSilent,
    [RankOrderKind.Go]: remoteRanks.findSilent
  }

  const performers: HandlerTable<MapCoordinatorEffect, void> = {
    [MapCoordinatorEffectKind.SendOrder]: effect => {
      const { switchId, orderId, rank, epoch, order } = effect
      const direct = rank === ownReading?.view.rank ? port : findDirectPort[order.kind](rank)
      const agentIp = roster.ipOf(rank)
      if (direct !== undefined) executeDirectly(direct, effect).catch(logError)
      else if (agentIp !== undefined) socket.send(agentIp, { ...sender(), kind: AgentMessageKind.Order, switchId, orderId, epoch, order })
    },
    [MapCoordinatorEffectKind.Planned]: ({ version, copies, peakBefore, peakAfter }) =>
      log(LogEvent.MapPlanned, { version, copies, peakBefore: peakBefore.toFixed(2), peakAfter: peakAfter.toFixed(2) }),
    [MapCoordinatorEffectKind.PhaseChanged]: ({ phase, step, reason }) => log(LogEvent.MapSwitchPhase, { phase, step, reason }),
    [MapCoordinatorEffectKind.SwitchEnded]: ({ result, tookMs }) => log(LogEvent.MapSwitchEnded, { result, tookMs: Math.round(tookMs) })
  }

  const task = createTask<MapCoordinatorMessage, MapCoordinatorEffect>({
    name: 'maps', core: coordinator, perform: effect => dispatch(performers, effect), onFailure: logTaskFailure(log, 'maps')
  })
  task.tickEvery(COORDINATOR_TICK_MS, () => ({ kind: MapCoordinatorMessageKind.Tick }))

  const handlers: { [Kind in AgentMessageKind]: (message: Extract<AgentMessage, { kind: Kind }>, fromIp: string) => void } = {
    [AgentMessageKind.Alive]: () => {},
    // Uses the time of receipt, as the sender's clock is not comparable with this one.
    [AgentMessageKind.Reading]: ({ reading }, fromIp) => {
      remoteRanks.recordReading(reading.view.rank, fromIp)
      const complete = collector.complete(reading)
      if (complete === undefined) return
      task.post({
        kind: MapCoordinatorMessageKind.ReadingReceived, reading: { ...complete, view: { ...complete.view, stepAtMs: clock.nowMs() } }
      })
    },
    [AgentMessageKind.Leaving]: ({ rank }) => roster.remove(rank),
    [AgentMessageKind.Order]: (message, fromIp) => { executeForCoordinator(fromIp, message).catch(logError) },
    [AgentMessageKind.UnknownBase]: ({ switchId, orderId }, fromIp) => {
      socket.send(fromIp, { ...sender(), kind: AgentMessageKind.OrderAnswer, switchId, orderId, answer: OrderAnswer.BaseUnknown })
    },
    [AgentMessageKind.OrderAnswer]: ({ switchId, orderId, answer }) => {
      task.post({ kind: MapCoordinatorMessageKind.OrderAnswered, switchId, orderId, answer })
    }
  }

  const onMessage = (message: AgentMessage, fromIp: string) => {
    if (!roster.record(message.group, message.rank, fromIp)) return
    const handle = handlers[message.kind] as (message: AgentMessage, fromIp: string) => void
    handle(message, fromIp)
  }

  const socket = openAgentSocket({ ip, port: agentPort, onMessage, onFault: logPeerFault, onBindFailed })

  const updateRole = (ownRank: number) => {
    coordinatorRank = roster.coordinator(ownRank)
    const isLowest = coordinatorRank === ownRank
    if (isStopping || isLowest === isCoordinator) return
    isCoordinator = isLowest
    log(LogEvent.CoordinatorChanged, { rank: ownRank, isCoordinator })
    task.post({ kind: MapCoordinatorMessageKind.RoleChanged, isCoordinator })
  }

  const reportSlowdown = (slowdownFactor: number) => {
    const worker = storeView.workers.all().find(({ address }) => ipOf(address) === ip)
    const notice = worker === undefined ? undefined : slowdownNotices.onReading(worker.workerId, slowdownFactor)
    if (notice === undefined) return
    // The entries of the zone learn of it directly, as they send their requests here first and may be cut off from the others.
    for (const address of new Set([...entryAddresses, ...locator.zoneEntries()])) socket.sendToEntry(address, notice)
  }

  const publishReading = (reading: RankReading) => {
    const ownRank = reading.view.rank
    updateRole(ownRank)
    task.post({ kind: MapCoordinatorMessageKind.ReadingReceived, reading })
    const coordinatorIp = coordinatorRank === undefined ? undefined : roster.ipOf(coordinatorRank)
    reportSlowdown(reading.pace)
    if (isCoordinator || coordinatorIp === undefined) return
    const sent = publisher.publish(reading, coordinatorRank!)
    if (sent !== undefined) socket.send(coordinatorIp, { ...sender(), kind: AgentMessageKind.Reading, reading: sent })
  }

  const readOwn = async () => {
    if (isReading) return
    isReading = true
    try {
      ownReading = await port.read({ withChoices: choicesSchedule.isDue(groupCounts()) })
      if (ownReading !== undefined) publishReading(ownReading)
    } catch (error) {
      ownReading = undefined
      log(LogEvent.RankUnreadable, { reason: error instanceof Error ? error.message : String(error) })
    } finally {
      isReading = false
    }
  }

  /** Agents of other groups are left out; one whose group is not known learns this one's from the message. */
  const sendToAllAgents = (kind: AgentMessageKind.Alive | AgentMessageKind.Leaving) => {
    if (ownReading === undefined) return
    const targets = new Set(otherWorkers().map(({ address }) => ipOf(address)))
    for (const target of targets) if (roster.isMember(target) !== false) socket.send(target, { ...sender(), kind })
  }

  const sendAlive = () => {
    const intervalMs = isCoordinator ? COORDINATOR_ALIVE_INTERVAL_MS : roster.aliveIntervalMs
    if (clock.nowMs() - aliveSentMs < intervalMs) return
    aliveSentMs = clock.nowMs()
    sendToAllAgents(AgentMessageKind.Alive)
  }

  const timers = [
    setInterval(() => { readOwn().catch(logError) }, READ_INTERVAL_MS),
    setInterval(sendAlive, COORDINATOR_ALIVE_INTERVAL_MS),
    setInterval(() => { if (isCoordinator) remoteRanks.poll() }, READ_INTERVAL_MS),
    setInterval(locator.tick, LOCATOR_TICK_MS),
    setInterval(() => storeView.tick(), WORKERS_TICK_MS)
  ]

  return {
    stop: async () => {
      isStopping = true
      task.post({ kind: MapCoordinatorMessageKind.RoleChanged, isCoordinator: false })
      const startedMs = clock.nowMs()
      while (coordinator.isSwitching && clock.nowMs() - startedMs < STOP_WAIT_MAX_MS) {
        await new Promise(resolve => setTimeout(resolve, STOP_POLL_MS))
      }
      sendToAllAgents(AgentMessageKind.Leaving)
      timers.forEach(clearInterval)
      task.stop()
      storeView.stop()
      socket.close()
    }
  }
}
