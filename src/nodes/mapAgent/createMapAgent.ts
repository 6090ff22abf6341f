import { type Clock, createTask, dispatch, type HandlerTable, type Random, type TimestampMs } from '../../core/index.js'
import {
  createMapCoordinator, type MapCoordinatorEffect, MapCoordinatorEffectKind, type MapCoordinatorMessage,
  MapCoordinatorMessageKind, OrderAnswer, type RankOrder, RankOrderKind, type RankReading, type ReplicaLimits
} from '../../expertMaps/index.js'
import type { Worker } from '../../membership/index.js'
import { type EventLog, LogEvent } from '../../observe/index.js'
import { createFleetKnowledge, type StorePort } from '../knowledge/index.js'
import { openAgentSocket } from './agentSocket.js'
import { createPaceNotices } from './paceNotices.js'
import { createRemoteRanks } from './remoteRanks.js'
import { type AgentMessage, AgentMessageKind, type RankPort } from './types.js'

export interface MapAgentOptions {
  /** Service of the worker on this machine. */
  service: string
  /** Port of all agents; each listens on the address of its worker. */
  agentPort: number
  ip: string
  /** `ip:port` of a few entries, which are told of a slow worker; they may be out of date. */
  entryAddresses: readonly string[]
  clock: Clock
  random: Random
  store: StorePort
  rank: RankPort
  /** The rank of a worker on another machine. */
  rankAt: (worker: Worker) => RankPort
  log: EventLog
}

export interface MapAgent {
  /** Ends once a switch of this process is over, or after STOP_WAIT_MAX_MS. */
  stop (): Promise<void>
}

const READ_INTERVAL_MS = 100
const ALIVE_INTERVAL_MS = 600
/** While a switch holds the group, a lost coordinator costs every stream; so it is missed sooner than others. */
const COORDINATOR_ALIVE_INTERVAL_MS = 200
const COORDINATOR_SILENCE_MS = 700
const COORDINATOR_TICK_MS = 30
/** An agent that is silent for this time takes no part. */
const AGENT_SILENCE_MS = 1_500
/** Copies of one rank run one after the other, and passes take longer meanwhile. */
const COPIES_PER_RANK_MAX = 1
const WORKERS_TICK_MS = 1_000
/** A switch takes a few passes; whoever leaves the group held longer than this is replaced. */
const STOP_WAIT_MAX_MS = 1_500
const STOP_POLL_MS = 20

type OrderToSend = Extract<MapCoordinatorEffect, { kind: MapCoordinatorEffectKind.SendOrder }>

const ipOf = (address: string) => address.slice(0, address.lastIndexOf(':'))

const toAnswer = (accepted: boolean | undefined): OrderAnswer =>
  accepted === undefined ? OrderAnswer.None : accepted ? OrderAnswer.Accepted : OrderAnswer.Rejected

/**
 * Starts the agent of one rank. It reads its own worker and gives it orders, which is free from the same
 * machine; the agent of the lowest live rank plans and switches the maps of the group.
 *
 * @example
 * const agent = startMapAgent({ service, agentPort: 7340, ip, clock, random, store, rank, log })
 */
export const startMapAgent = (
  { service, agentPort, ip, entryAddresses, clock, random, store, rank: port, rankAt, log }: MapAgentOptions
): MapAgent => {
  const heardAtMs = new Map<number, TimestampMs>()
  const ipByRank = new Map<number, string>()
  let own: RankReading | undefined
  let isReading = false
  let isCoordinator = false
  /** The rank that plans, as this agent sees it. */
  let coordinatorRank: number | undefined
  let isStopping = false

  const knowledge = createFleetKnowledge({ clock, random, store, log, onConfiguration: () => {}, onWorkersChanged: () => {} })
  const experts = () => knowledge.configuration.findService(service)?.engine?.experts

  const limits = (): ReplicaLimits | undefined => {
    const profile = experts()
    return profile === undefined
      ? undefined
      : { placementsMax: profile.placementsMax, copiesMax: profile.copiesMax, copiesPerRankMax: COPIES_PER_RANK_MAX }
  }

  const otherWorkers = () => knowledge.workers.all().filter(worker => worker.service === service && ipOf(worker.address) !== ip)

  const remoteRanks = createRemoteRanks({
    clock,
    workers: otherWorkers,
    rankAt,
    onReading: reading => {
      if (reading.group === own?.group) task.post({ kind: MapCoordinatorMessageKind.ReadingReceived, reading })
    },
    onFault: ({ workerId }, reason) => log(LogEvent.RankUnreadable, { workerId, reason })
  })

  const paceNotices = createPaceNotices({ clock })

  const coordinator = createMapCoordinator({
    clock, random, ownRank: () => own?.view.rank, limits, expertShare: () => experts()?.expertShare ?? 0
  })

  const sender = () => ({ group: own?.group ?? '', rank: own?.view.rank ?? -1 })

  const carryOut = async (target: RankPort, epoch: number, order: RankOrder): Promise<OrderAnswer> => {
    const answer = toAnswer(await target.order(epoch, order))
    if (answer !== OrderAnswer.Accepted) log(LogEvent.OrderRefused, { order: order.kind, epoch, answer })
    return answer
  }

  const carryOutFor = async (coordinatorIp: string, message: Extract<AgentMessage, { kind: AgentMessageKind.Order }>) => {
    const { switchId, orderId, epoch, order } = message
    const answer = await carryOut(port, epoch, order)
    socket.send(coordinatorIp, { ...sender(), kind: AgentMessageKind.OrderAnswer, switchId, orderId, answer })
  }

  const carryOutHere = async (target: RankPort, { switchId, orderId, epoch, order }: OrderToSend) => {
    const answer = await carryOut(target, epoch, order)
    task.post({ kind: MapCoordinatorMessageKind.OrderAnswered, switchId, orderId, answer })
  }

  const noteError = (error: unknown) => log(LogEvent.InternalError, { reason: error instanceof Error ? error.stack : String(error) })

  /**
   * Orders go through the agent of the rank, which is free, unless it is silent. A hold goes from here to the holder's
   * worker, so that no third machine can stand still between the two.
   */
  const findDirect: Record<RankOrderKind, (rank: number) => RankPort | undefined> = {
    [RankOrderKind.Prepare]: remoteRanks.findSilent,
    [RankOrderKind.Hold]: remoteRanks.find,
    [RankOrderKind.Arm]: remoteRanks.findSilent,
    [RankOrderKind.Disarm]: remoteRanks.findSilent,
    [RankOrderKind.Go]: remoteRanks.findSilent
  }

  const performers: HandlerTable<MapCoordinatorEffect, void> = {
    [MapCoordinatorEffectKind.SendOrder]: effect => {
      const { switchId, orderId, rank, epoch, order } = effect
      const direct = rank === own?.view.rank ? port : findDirect[order.kind](rank)
      const agentIp = ipByRank.get(rank)
      if (direct !== undefined) carryOutHere(direct, effect).catch(noteError)
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
    // The sender's clock is not comparable with this one.
    [AgentMessageKind.Reading]: ({ reading }, fromIp) => {
      remoteRanks.noteHeard(reading.view.rank, fromIp)
      task.post({
        kind: MapCoordinatorMessageKind.ReadingReceived, reading: { ...reading, view: { ...reading.view, stepAtMs: clock.nowMs() } }
      })
    },
    [AgentMessageKind.Leaving]: ({ rank }) => { heardAtMs.delete(rank) },
    [AgentMessageKind.Order]: (message, fromIp) => { carryOutFor(fromIp, message).catch(noteError) },
    [AgentMessageKind.OrderAnswer]: ({ switchId, orderId, answer }) => {
      task.post({ kind: MapCoordinatorMessageKind.OrderAnswered, switchId, orderId, answer })
    }
  }

  const onMessage = (message: AgentMessage, fromIp: string) => {
    if (own === undefined || message.group !== own.group) return
    heardAtMs.set(message.rank, clock.nowMs())
    ipByRank.set(message.rank, fromIp)
    const handle = handlers[message.kind] as (message: AgentMessage, fromIp: string) => void
    handle(message, fromIp)
  }

  const socket = openAgentSocket({ ip, port: agentPort, onMessage, onFault: reason => log(LogEvent.PeerFault, { reason }) })

  /** It counts as live again as soon as it is heard again. */
  const forgetLostCoordinator = () => {
    if (coordinatorRank === undefined) return
    const heardMs = heardAtMs.get(coordinatorRank)
    if (heardMs !== undefined && clock.nowMs() - heardMs >= COORDINATOR_SILENCE_MS) heardAtMs.delete(coordinatorRank)
  }

  const lowestLiveRank = (ownRank: number) =>
    Math.min(ownRank, ...[...heardAtMs].filter(([, atMs]) => clock.nowMs() - atMs < AGENT_SILENCE_MS).map(([rank]) => rank))

  const updateRole = (ownRank: number) => {
    forgetLostCoordinator()
    coordinatorRank = lowestLiveRank(ownRank)
    const isLowest = coordinatorRank === ownRank
    if (isStopping || isLowest === isCoordinator) return
    isCoordinator = isLowest
    log(LogEvent.CoordinatorChanged, { rank: ownRank, isCoordinator })
    task.post({ kind: MapCoordinatorMessageKind.RoleChanged, isCoordinator })
  }

  const tellPace = (pace: number) => {
    const worker = knowledge.workers.all().find(({ address }) => ipOf(address) === ip)
    const notice = worker === undefined ? undefined : paceNotices.onReading(worker.workerId, pace)
    if (notice !== undefined) for (const address of entryAddresses) socket.tellEntry(address, notice)
  }

  const report = (reading: RankReading) => {
    const ownRank = reading.view.rank
    updateRole(ownRank)
    task.post({ kind: MapCoordinatorMessageKind.ReadingReceived, reading })
    const coordinatorIp = coordinatorRank === undefined ? undefined : ipByRank.get(coordinatorRank)
    tellPace(reading.pace)
    if (!isCoordinator && coordinatorIp !== undefined) socket.send(coordinatorIp, { ...sender(), kind: AgentMessageKind.Reading, reading })
  }

  const readOwn = async () => {
    if (isReading) return
    isReading = true
    try {
      own = await port.read({ withChoices: true })
      if (own !== undefined) report(own)
    } catch (error) {
      own = undefined
      log(LogEvent.RankUnreadable, { reason: error instanceof Error ? error.message : String(error) })
    } finally {
      isReading = false
    }
  }

  const tellAll = (kind: AgentMessageKind.Alive | AgentMessageKind.Leaving) => {
    if (own === undefined) return
    for (const worker of otherWorkers()) socket.send(ipOf(worker.address), { ...sender(), kind })
  }

  const timers = [
    setInterval(() => { readOwn().catch(noteError) }, READ_INTERVAL_MS),
    setInterval(() => tellAll(AgentMessageKind.Alive), ALIVE_INTERVAL_MS),
    setInterval(() => { if (isCoordinator) tellAll(AgentMessageKind.Alive) }, COORDINATOR_ALIVE_INTERVAL_MS),
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
      tellAll(AgentMessageKind.Leaving)
      timers.forEach(clearInterval)
      task.stop()
      knowledge.stop()
      socket.close()
    }
  }
}
