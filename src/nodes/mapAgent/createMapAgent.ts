import { createSocket } from 'node:dgram'
import { type Clock, createTask, dispatch, type HandlerTable, type Random, type TimestampMs } from '../../core/index.js'
import {
  createMapCoordinator, type MapCoordinatorEffect, MapCoordinatorEffectKind, type MapCoordinatorMessage,
  MapCoordinatorMessageKind, OrderAnswer, type RankReading, type ReplicaLimits
} from '../../expertMaps/index.js'
import { parseAddress, type Worker } from '../../membership/index.js'
import { type EventLog, LogEvent } from '../../observe/index.js'
import { createFleetKnowledge } from '../forward/fleetKnowledge.js'
import type { StorePort } from '../forward/index.js'
import type { AgentMessage, RankPort } from './types.js'

export interface MapAgentOptions {
  /** Service of the worker on this machine. */
  service: string
  /** `ip:port` of the worker on this machine. */
  workerAddress: string
  /** Agents listen on this port, each on the address of its worker. */
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

const READ_INTERVAL_MS = 200
const COORDINATOR_TICK_MS = 30
/** An agent that is silent for this time takes no part. */
const AGENT_SILENCE_MS = 1_000
/** The agents of the lowest ranks get the readings: the coordinator and the one that would follow it. */
const READERS = 2
/** Copies of one rank run one after the other, and passes take longer meanwhile. */
const COPIES_PER_RANK_MAX = 2
const READ_TIMEOUT_MS = 1_000

const ipOf = (address: string) => address.slice(0, address.lastIndexOf(':'))

/** An agent reads only what another one sent; anything else from the port is refused. */
const decodeMessage = (bytes: Buffer): AgentMessage => {
  const message = JSON.parse(bytes.toString('utf8')) as AgentMessage
  if (!Number.isInteger(message.rank) || typeof message.group !== 'string') throw new TypeError('message lacks a field')
  return message
}

/**
 * Starts the agent of one rank: it reads its own worker, where that is free, tells the agent of the lowest
 * live rank, and plans and switches the maps if it is that one.
 *
 * @example
 * const agent = startMapAgent({ service, workerAddress, agentPort: 7340, ip, clock, random, store, rank, log })
 */
export const startMapAgent = ({
  service, workerAddress, agentPort, ip, clock, random, store, rank: port, log
}: MapAgentOptions): MapAgent => {
  const socket = createSocket('udp4')
  const heardAtMs = new Map<number, TimestampMs>()
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

  /** Workers by rank, as the agents beside them have told. */
  const addressByRank = new Map<number, string>()
  const workerAt = (address: string): Worker | undefined =>
    knowledge.workers.all().find(worker => worker.service === service && ipOf(worker.address) === address)

  const sendOrder = async (effect: Extract<MapCoordinatorEffect, { kind: MapCoordinatorEffectKind.SendOrder }>) => {
    const { switchId, orderId, rank, epoch, order } = effect
    const worker = workerAt(addressByRank.get(rank) ?? '')
    const accepted = worker === undefined ? undefined : await port.order(worker.address, worker.workerId, epoch, order)
    const answer = accepted === undefined ? OrderAnswer.None : accepted ? OrderAnswer.Accepted : OrderAnswer.Rejected
    if (answer !== OrderAnswer.Accepted) log(LogEvent.OrderRefused, { rank, order: order.kind, answer })
    task.post({ kind: MapCoordinatorMessageKind.OrderAnswered, switchId, orderId, answer })
  }

  const performers: HandlerTable<MapCoordinatorEffect, void> = {
    [MapCoordinatorEffectKind.SendOrder]: effect => {
      sendOrder(effect).catch(error => log(LogEvent.InternalError, { reason: String(error) }))
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

  const send = (address: string, message: AgentMessage) => {
    const bytes = Buffer.from(JSON.stringify(message))
    socket.send(bytes, agentPort, address, error => {
      if (error !== null) log(LogEvent.PeerFault, { reason: `send to ${address}: ${error.message}` })
    })
  }

  const aliveRanks = () => [...heardAtMs].filter(([, atMs]) => clock.nowMs() - atMs < AGENT_SILENCE_MS).map(([rank]) => rank)

  const updateRole = (reading: RankReading) => {
    const isLowest = aliveRanks().every(rank => rank >= reading.view.rank)
    if (isLowest === isCoordinator) return
    isCoordinator = isLowest
    log(LogEvent.CoordinatorChanged, { rank: reading.view.rank, isCoordinator })
    task.post({ kind: MapCoordinatorMessageKind.RoleChanged, isCoordinator })
  }

  const spread = (reading: RankReading) => {
    const { group, view: { rank } } = reading
    const readers = new Set([...aliveRanks(), rank].sort((a, b) => a - b).slice(0, READERS).map(reader => addressByRank.get(reader)))
    for (const { address } of knowledge.workers.all().filter(worker => worker.service === service)) {
      const target = ipOf(address)
      if (target === ip) continue
      send(target, readers.has(target) ? { rank, group, reading } : { rank, group })
    }
  }

  const note = (message: AgentMessage, address: string) => {
    if (own !== undefined && message.group !== own.group) return
    heardAtMs.set(message.rank, clock.nowMs())
    addressByRank.set(message.rank, address)
    // Steps carry the time of the reader's clock, which is not comparable with this one.
    if (message.reading !== undefined) {
      const reading = { ...message.reading, view: { ...message.reading.view, stepAtMs: clock.nowMs() } }
      task.post({ kind: MapCoordinatorMessageKind.ReadingReceived, reading })
    }
  }

  const readOwn = async () => {
    if (isReading) return
    isReading = true
    try {
      own = await port.read()
    } catch (error) {
      own = undefined
      log(LogEvent.RankUnreadable, { workerAddress, reason: error instanceof Error ? error.message : String(error) })
    } finally {
      isReading = false
    }
    if (own === undefined) return
    note({ rank: own.view.rank, group: own.group, reading: own }, ip)
    updateRole(own)
    spread(own)
  }

  socket.on('message', (bytes, { address }) => {
    try {
      note(decodeMessage(bytes), address)
    } catch (error) {
      log(LogEvent.PeerFault, { reason: `datagram from ${address}: ${error instanceof Error ? error.message : String(error)}` })
    }
  })
  socket.on('error', error => log(LogEvent.PeerFault, { reason: error.message }))
  const bindAddress = parseAddress(`${ip}:${agentPort}`)
  socket.bind(agentPort, bindAddress?.host ?? ip)

  const timers = [
    setInterval(() => { readOwn().catch(error => log(LogEvent.InternalError, { reason: String(error) })) }, READ_INTERVAL_MS),
    setInterval(() => knowledge.tick(), READ_TIMEOUT_MS)
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
