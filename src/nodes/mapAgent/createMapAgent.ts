import { type Clock, createTask, dispatch, type HandlerTable, type Random, type TimestampMs } from '../../core/index.js'
import {
  createMapCoordinator, type MapCoordinatorEffect, MapCoordinatorEffectKind, type MapCoordinatorMessage,
  MapCoordinatorMessageKind, OrderAnswer, type RankOrder, RankOrderKind, type RankReading, type ReplicaLimits
} from '../../expertMaps/index.js'
import type { Worker } from '../../membership/index.js'
import { type EventLog, LogEvent } from '../../observe/index.js'
import { createFleetKnowledge, type StorePort } from '../knowledge/index.js'
import { openAgentSocket } from './agentSocket.js'
import { createSlowdownNotices } from './slowdownNotices.js'
import { createRemoteRanks } from './remoteRanks.js'
import { type AgentMessage, AgentMessageKind, type RankPort } from './types.js'

export interface MapAgentOptions {
  /** Service of the worker on this host. */
  service: string
  /** Port of all agents; each listens on the address of its worker. */
  agentPort: number
  ip: string
  /** `ip:port` of a few entries to which a slow worker is reported; may be out of date. */
  entryAddresses: readonly string[]
  clock: Clock
  random: Random
  store: StorePort
  rank: RankPort
  /** Returns the port to the rank of a worker on another host. */
  rankPortOf: (worker: Worker) => RankPort
  log: EventLog
}

export interface MapAgent {
  /** Resolves once a map switch that this process coordinates has ended, or after STOP_WAIT_MAX_MS. */
  stop (): Promise<void>
}

const READ_INTERVAL_MS = 100
const ALIVE_INTERVAL_MS = 600
/** A coordinator lost during a map switch stalls every stream of the group, so it is detected sooner than other agents. */
const COORDINATOR_ALIVE_INTERVAL_MS = 200
const COORDINATOR_SILENCE_MS = 700
const COORDINATOR_TICK_MS = 30
/** An agent that has been silent for this time is considered down. */
const AGENT_SILENCE_MS = 1_500
/** Copies of one rank run one after the other, and forward passes take longer while they run. */
const COPIES_PER_RANK_MAX = 1
const WORKERS_TICK_MS = 1_000
/** A map switch takes a few forward passes; a coordinator that holds the group longer than this is replaced. */
const STOP_WAIT_MAX_MS = 1_500
const STOP_POLL_MS = 20

type OrderToSend = Extract<MapCoordinatorEffect, { kind: MapCoordinatorEffectKind.SendOrder }>

const ipOf = (address: string) => address.slice(0, address.lastIndexOf(':'))

const toAnswer = (accepted: boolean | undefined): OrderAnswer =>
  accepted === undefined ? OrderAnswer.None : accepted ? OrderAnswer.Accepted : OrderAnswer.Rejected

/**
 * Starts the agent of one rank. It reads its own worker and sends it orders, which costs nothing on the same
 * host; the agent of the lowest live rank is the coordinator, which plans and switches the maps of the group.
 *
 * @example
 * const agent = startMapAgent({ service, agentPort: 7340, ip, clock, random, store, rank, log })
 */
export const startMapAgent = (
  { service, agentPort, ip, entryAddresses, clock, random, store, rank: port, rankPortOf, log }: MapAgentOptions
): MapAgent => {
  const lastMessageMs = new Map<number, TimestampMs>()
  const ipByRank = new Map<number, string>()
  let ownReading: RankReading | undefined
  let isReading = false
  let isCoordinator = false
  /** Rank of the coordinator as known to this agent. */
  let coordinatorRank: number | undefined
  let isStopping = false

  const knowledge = createFleetKnowledge({ clock, random, store, log, onConfiguration: () => {}, onWorkersChanged: () => {} })
  const expertSettings = () => knowledge.configuration.findService(service)?.engine?.experts

  const limits = (): ReplicaLimits | undefined => {
    const profile = expertSettings()
    return profile === undefined
      ? undefined
      : { placementsMax: profile.placementsMax, copiesMax: profile.copiesMax, copiesPerRankMax: COPIES_PER_RANK_MAX }
  }

  const otherWorkers = () => knowledge.workers.all().filter(worker => worker.service === service && ipOf(worker.address) !== ip)

  const remoteRanks = createRemoteRanks({
    clock,
    workers: otherWorkers,
    rankPortOf,
    onReading: reading => {
      if (reading.group === ownReading?.group) task.post({ kind: MapCoordinatorMessageKind.ReadingReceived, reading })
    },
    onFault: ({ workerId }, reason) => log(LogEvent.RankUnreadable, { workerId, reason })
  })

  const slowdownNotices = createSlowdownNotices({ clock })

  const coordinator = createMapCoordinator({
    clock, random, ownRank: () => ownReading?.view.rank, limits, expertShare: () => expertSettings()?.expertShare ?? 0
  })

  const sender = () => ({ group: ownReading?.group ?? '', rank: ownReading?.view.rank ?? -1 })

  const executeOrder = async (target: RankPort, epoch: number, order: RankOrder): Promise<OrderAnswer> => {
    const answer = toAnswer(await target.order(epoch, order))
    if (answer !== OrderAnswer.Accepted) log(LogEvent.OrderRefused, { order: order.kind, epoch, answer })
    return answer
  }

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
      const agentIp = ipByRank.get(rank)
      if (direct !== undefined) executeDirectly(direct, effect).catch(logError)
      else if (agentIp !== undefined) socket.send(agentIp, { ...sender(), kind: AgentMessageKind.Order, switchId, orderId, epoch, order })
    },
    [MapCoordinatorEffectKind.Planned]: ({ version, copies, peakBefore, peakAfter }) =>
      log(LogEvent.MapPlanned, { version, copies, peakBefore: peakBefore.toFixed(2), peakAfter: peakAfter.toFixed(2) }),
    [MapCoordinatorEffectKind.PhaseChanged]: ({ phase, step, reason }) => log(LogEvent.MapSwitchPhase, { phase, step, reason }),
    [MapCoordinatorEffectKind.SwitchEnded]: ({ result, tookMs }) => log(LogEvent.MapSwitchEnded, { result, tookMs: Math.round(tookMs) })
  }

  const task = createTask<MapCoordinatorMessage, MapCoordinatorEffect>({
    name: 'maps', core: coordinator, perform: effect => dispatch(performers, effect)
  })
  task.tickEvery(COORDINATOR_TICK_MS, () => ({ kind: MapCoordinatorMessageKind.Tick }))

  const handlers: { [Kind in AgentMessageKind]: (message: Extract<AgentMessage, { kind: Kind }>, fromIp: string) => void } = {
    [AgentMessageKind.Alive]: () => {},
    // Uses the time of receipt, as the sender's clock is not comparable with this one.
    [AgentMessageKind.Reading]: ({ reading }, fromIp) => {
      remoteRanks.recordReading(reading.view.rank, fromIp)
      task.post({
        kind: MapCoordinatorMessageKind.ReadingReceived, reading: { ...reading, view: { ...reading.view, stepAtMs: clock.nowMs() } }
      })
    },
    [AgentMessageKind.Leaving]: ({ rank }) => { lastMessageMs.delete(rank) },
    [AgentMessageKind.Order]: (message, fromIp) => { executeForCoordinator(fromIp, message).catch(logError) },
    [AgentMessageKind.OrderAnswer]: ({ switchId, orderId, answer }) => {
      task.post({ kind: MapCoordinatorMessageKind.OrderAnswered, switchId, orderId, answer })
    }
  }

  const onMessage = (message: AgentMessage, fromIp: string) => {
    if (ownReading === undefined || message.group !== ownReading.group) return
    lastMessageMs.set(message.rank, clock.nowMs())
    ipByRank.set(message.rank, fromIp)
    const handle = handlers[message.kind] as (message: AgentMessage, fromIp: string) => void
    handle(message, fromIp)
  }

  const socket = openAgentSocket({ ip, port: agentPort, onMessage, onFault: reason => log(LogEvent.PeerFault, { reason }) })

  /** The coordinator counts as live again as soon as a message from it arrives. */
  const dropSilentCoordinator = () => {
    if (coordinatorRank === undefined) return
    const receivedMs = lastMessageMs.get(coordinatorRank)
    if (receivedMs !== undefined && clock.nowMs() - receivedMs >= COORDINATOR_SILENCE_MS) lastMessageMs.delete(coordinatorRank)
  }

  const lowestLiveRank = (ownRank: number) =>
    Math.min(ownRank, ...[...lastMessageMs].filter(([, atMs]) => clock.nowMs() - atMs < AGENT_SILENCE_MS).map(([rank]) => rank))

  const updateRole = (ownRank: number) => {
    dropSilentCoordinator()
    coordinatorRank = lowestLiveRank(ownRank)
    const isLowest = coordinatorRank === ownRank
    if (isStopping || isLowest === isCoordinator) return
    isCoordinator = isLowest
    log(LogEvent.CoordinatorChanged, { rank: ownRank, isCoordinator })
    task.post({ kind: MapCoordinatorMessageKind.RoleChanged, isCoordinator })
  }

  const reportSlowdown = (slowdownFactor: number) => {
    const worker = knowledge.workers.all().find(({ address }) => ipOf(address) === ip)
    const notice = worker === undefined ? undefined : slowdownNotices.onReading(worker.workerId, slowdownFactor)
    if (notice !== undefined) for (const address of entryAddresses) socket.sendToEntry(address, notice)
  }

  const publishReading = (reading: RankReading) => {
    const ownRank = reading.view.rank
    updateRole(ownRank)
    task.post({ kind: MapCoordinatorMessageKind.ReadingReceived, reading })
    const coordinatorIp = coordinatorRank === undefined ? undefined : ipByRank.get(coordinatorRank)
    reportSlowdown(reading.pace)
    if (!isCoordinator && coordinatorIp !== undefined) socket.send(coordinatorIp, { ...sender(), kind: AgentMessageKind.Reading, reading })
  }

  const readOwn = async () => {
    if (isReading) return
    isReading = true
    try {
      ownReading = await port.read({ withChoices: true })
      if (ownReading !== undefined) publishReading(ownReading)
    } catch (error) {
      ownReading = undefined
      log(LogEvent.RankUnreadable, { reason: error instanceof Error ? error.message : String(error) })
    } finally {
      isReading = false
    }
  }

  const sendToAllAgents = (kind: AgentMessageKind.Alive | AgentMessageKind.Leaving) => {
    if (ownReading === undefined) return
    for (const worker of otherWorkers()) socket.send(ipOf(worker.address), { ...sender(), kind })
  }

  const timers = [
    setInterval(() => { readOwn().catch(logError) }, READ_INTERVAL_MS),
    setInterval(() => sendToAllAgents(AgentMessageKind.Alive), ALIVE_INTERVAL_MS),
    setInterval(() => { if (isCoordinator) sendToAllAgents(AgentMessageKind.Alive) }, COORDINATOR_ALIVE_INTERVAL_MS),
    setInterval(() => { if (isCoordinator) remoteRanks.poll() }, READ_INTERVAL_MS),
    setInterval(() => knowledge.tick(), WORKERS_TICK_MS)
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
      knowledge.stop()
      socket.close()
    }
  }
}
