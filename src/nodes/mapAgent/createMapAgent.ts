import { type Clock, createTask, dispatch, type HandlerTable, type Random, type TimestampMs } from '../../core/index.js'
import {
  createMapCoordinator, type MapCoordinatorEffect, MapCoordinatorEffectKind, type MapCoordinatorMessage,
  MapCoordinatorMessageKind, OrderAnswer, type RankOrder, type RankReading, type ReplicaLimits
} from '../../expertMaps/index.js'
import { type EventLog, LogEvent } from '../../observe/index.js'
import { createFleetKnowledge, type StorePort } from '../knowledge/index.js'
import { openAgentSocket } from './agentSocket.js'
import { type AgentMessage, AgentMessageKind, type RankPort } from './types.js'

export interface MapAgentOptions {
  /** Service of the worker on this machine. */
  service: string
  /** Port of all agents; each listens on the address of its worker. */
  agentPort: number
  ip: string
  clock: Clock
  random: Random
  store: StorePort
  rank: RankPort
  log: EventLog
}

export interface MapAgent {
  stop (): void
}

const READ_INTERVAL_MS = 100
const ALIVE_INTERVAL_MS = 600
const COORDINATOR_TICK_MS = 30
/** An agent that is silent for this time takes no part. */
const AGENT_SILENCE_MS = 1_500
/** Copies of one rank run one after the other, and passes take longer meanwhile. */
const COPIES_PER_RANK_MAX = 1
const WORKERS_TICK_MS = 1_000

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
export const startMapAgent = ({ service, agentPort, ip, clock, random, store, rank: port, log }: MapAgentOptions): MapAgent => {
  const heardAtMs = new Map<number, TimestampMs>()
  const ipByRank = new Map<number, string>()
  let own: RankReading | undefined
  let isReading = false
  let isCoordinator = false

  const knowledge = createFleetKnowledge({ clock, random, store, log, onConfiguration: () => {}, onWorkersChanged: () => {} })
  const experts = () => knowledge.configuration.findService(service)?.engine?.experts

  const limits = (): ReplicaLimits | undefined => {
    const profile = experts()
    return profile === undefined
      ? undefined
      : { placementsMax: profile.placementsMax, copiesMax: profile.copiesMax, copiesPerRankMax: COPIES_PER_RANK_MAX }
  }

  const coordinator = createMapCoordinator({
    clock, ownRank: () => own?.view.rank, limits, expertShare: () => experts()?.expertShare ?? 0
  })

  const sender = () => ({ group: own?.group ?? '', rank: own?.view.rank ?? -1 })

  const carryOut = async (epoch: number, order: RankOrder): Promise<OrderAnswer> => {
    const answer = toAnswer(await port.order(epoch, order))
    if (answer !== OrderAnswer.Accepted) log(LogEvent.OrderRefused, { order: order.kind, epoch, answer })
    return answer
  }

  const carryOutFor = async (coordinatorIp: string, message: Extract<AgentMessage, { kind: AgentMessageKind.Order }>) => {
    const { switchId, orderId, epoch, order } = message
    const answer = await carryOut(epoch, order)
    socket.send(coordinatorIp, { ...sender(), kind: AgentMessageKind.OrderAnswer, switchId, orderId, answer })
  }

  const carryOutOwn = async (switchId: number, orderId: number, epoch: number, order: RankOrder) => {
    const answer = await carryOut(epoch, order)
    task.post({ kind: MapCoordinatorMessageKind.OrderAnswered, switchId, orderId, answer })
  }

  const noteError = (error: unknown) => log(LogEvent.InternalError, { reason: error instanceof Error ? error.stack : String(error) })

  const performers: HandlerTable<MapCoordinatorEffect, void> = {
    [MapCoordinatorEffectKind.SendOrder]: ({ switchId, orderId, rank, epoch, order }) => {
      const target = ipByRank.get(rank)
      if (rank === own?.view.rank) carryOutOwn(switchId, orderId, epoch, order).catch(noteError)
      else if (target !== undefined) socket.send(target, { ...sender(), kind: AgentMessageKind.Order, switchId, orderId, epoch, order })
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
    [AgentMessageKind.Reading]: ({ reading }) => {
      task.post({
        kind: MapCoordinatorMessageKind.ReadingReceived, reading: { ...reading, view: { ...reading.view, stepAtMs: clock.nowMs() } }
      })
    },
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

  const lowestLiveRank = (ownRank: number) =>
    Math.min(ownRank, ...[...heardAtMs].filter(([, atMs]) => clock.nowMs() - atMs < AGENT_SILENCE_MS).map(([rank]) => rank))

  const updateRole = (ownRank: number) => {
    const isLowest = lowestLiveRank(ownRank) === ownRank
    if (isLowest === isCoordinator) return
    isCoordinator = isLowest
    log(LogEvent.CoordinatorChanged, { rank: ownRank, isCoordinator })
    task.post({ kind: MapCoordinatorMessageKind.RoleChanged, isCoordinator })
  }

  const report = (reading: RankReading) => {
    const ownRank = reading.view.rank
    updateRole(ownRank)
    task.post({ kind: MapCoordinatorMessageKind.ReadingReceived, reading })
    const coordinatorIp = ipByRank.get(lowestLiveRank(ownRank))
    if (!isCoordinator && coordinatorIp !== undefined) socket.send(coordinatorIp, { ...sender(), kind: AgentMessageKind.Reading, reading })
  }

  const readOwn = async () => {
    if (isReading) return
    isReading = true
    try {
      own = await port.read()
      if (own !== undefined) report(own)
    } catch (error) {
      own = undefined
      log(LogEvent.RankUnreadable, { reason: error instanceof Error ? error.message : String(error) })
    } finally {
      isReading = false
    }
  }

  const tellAlive = () => {
    if (own === undefined) return
    for (const worker of knowledge.workers.all()) {
      const target = ipOf(worker.address)
      if (worker.service === service && target !== ip) socket.send(target, { ...sender(), kind: AgentMessageKind.Alive })
    }
  }

  const timers = [
    setInterval(() => { readOwn().catch(noteError) }, READ_INTERVAL_MS),
    setInterval(tellAlive, ALIVE_INTERVAL_MS),
    setInterval(() => knowledge.tick(), WORKERS_TICK_MS)
  ]

  return {
    stop: () => {
      timers.forEach(clearInterval)
      task.stop()
      knowledge.stop()
      socket.close()
    }
  }
}
