import type { PoolRow } from '../../configuration/index.js'
import { type Clock, createLog, createTask, dispatch, type HandlerTable, hash32, type Incarnation, createRandom, type Task } from '../../core/index.js'
import {
  CoordinatorMessageKind, type CoordinatorEffect, CoordinatorEffectKind, type CoordinatorMessage, createSwitchCoordinator,
  createSwitchRank, type ExpertMap, type GroupMember, type GroupShape, groupRosterSchema, isRankBound, type RankEffect,
  RankEffectKind, type RankMessage, RankMessageKind, switchFrameSchema, type SwitchMessage, SwitchOutcome, WeightEffectKind
} from '../../expertMaps/index.js'
import { type Frame, FrameKind, parseFrame } from '../../links/index.js'
import { type Metrics, MetricName } from '../../observe/index.js'
import { fetchWeights, type RankClient, WeightStoreBusyError } from '../../clients/index.js'
import type { AgentSettings } from '../settings.js'
import { createMapPlanning, type MapPlanning } from './mapPlanning.js'

const log = createLog('maps')

const TICK_MS = 100
const ENGINE_RETRY_MS = 500

export interface MapsTaskOptions {
  clock: Clock
  incarnation: Incarnation
  settings: NonNullable<AgentSettings['group']>
  client: RankClient
  weightStoreUrl: string | undefined
  metrics: Metrics
  sendTo: (address: string, frame: Frame) => void
  /** Called with one line for each decision of the planner, and for each switch that did not complete. */
  onExplanation: (line: string) => void
}

/** Runs the expert map of one rank and, while this rank is the coordinator, the map switches of its group. */
export interface MapsTask {
  /** The first row starts the task with the group's shape; later rows change the planning weights only. */
  setRow (row: PoolRow): void
  onSwitchFrame (frame: Frame): void
  onRoster (frame: Frame): void
  stop (): void
}

interface RunningGroup {
  shape: GroupShape
  rankTask: Task<RankMessage>
  coordinatorTask: Task<CoordinatorMessage>
  planning: MapPlanning
}

/**
 * Creates the expert map task of an agent whose engine is a rank of a group.
 *
 * @example
 * const maps = createMapsTask({ clock, incarnation, settings: settings.group, client, ... })
 * maps.setRow(row)
 */
export const createMapsTask = ({
  clock, incarnation, settings, client, weightStoreUrl, metrics, sendTo, onExplanation
}: MapsTaskOptions): MapsTask => {
  const { name: group, rank, reportIntervalMs, planIntervalMs } = settings
  const random = createRandom(hash32(incarnation))
  let members: GroupMember[] = []
  let running: RunningGroup | undefined
  /** Incremented when a step is abandoned, so that the result of the abandoned step is ignored. */
  let stepGeneration = 0
  let activeMap: ExpertMap | undefined
  let isStopped = false

  const sendToRank = (to: number, fields: Record<string, unknown>) => {
    const member = members.find(candidate => candidate.rank === to)
    if (member !== undefined) sendTo(member.address, { kind: FrameKind.Switch, group, fromRank: rank, ...fields })
  }

  const deliverSwitchMessage = (from: number, message: SwitchMessage) => {
    if (isRankBound(message)) running?.rankTask.post({ kind: RankMessageKind.SwitchReceived, from, message })
    else running?.coordinatorTask.post({ kind: CoordinatorMessageKind.SwitchReceived, from, message })
  }

  const sendSwitchMessage = (to: number, message: SwitchMessage) => {
    if (to === rank) deliverSwitchMessage(rank, message)
    else sendToRank(to, { message })
  }

  const requestStep = (step: number) => running?.rankTask.post({ kind: RankMessageKind.StepRequested, step })

  /** Pending transfer of the map to the engine, which must have it before the first step that uses it. */
  let activation: Promise<void> = Promise.resolve()

  const isAwaited = (map: ExpertMap) => map === activeMap && !isStopped

  /** Hands a map to the engine; without it, a step would run as if the rank hosted nothing. */
  const handOver = async (map: ExpertMap) => {
    while (isAwaited(map)) {
      try {
        await client.setMap({ hash: map.id.hash, replicas: map.layers.flat() })
        return
      } catch (error) {
        log('failed to send the expert map to the engine: %s', error instanceof Error ? error.message : error)
      }
      await new Promise(resolve => { setTimeout(resolve, ENGINE_RETRY_MS).unref() })
    }
  }

  const fetchNextStep = async () => {
    const generation = stepGeneration
    try {
      const step = await client.nextStep()
      if (generation === stepGeneration) requestStep(step)
    } catch {
      setTimeout(fetchNextStep, ENGINE_RETRY_MS).unref()
    }
  }

  const runStep = async (step: number, map: ExpertMap) => {
    const generation = stepGeneration
    try {
      const result = await client.runStep(step, map.id.hash)
      if (result.isAbandoned || generation !== stepGeneration) return
      running?.planning.recordStep(result, map)
      requestStep(step + 1)
    } catch (error) {
      log('step %d failed: %s', step, error instanceof Error ? error.message : error)
      if (generation !== stepGeneration) return
      // The engine may have restarted, and then knows no map any more.
      if (activeMap !== undefined) activation = handOver(activeMap)
      setTimeout(fetchNextStep, ENGINE_RETRY_MS).unref()
    }
  }

  const finishLoad = async (item: number, load: Promise<void>) => {
    try {
      await load
      running?.rankTask.post({ kind: RankMessageKind.LoadFinished, item, isDone: true })
    } catch (error) {
      const retry = error instanceof WeightStoreBusyError ? { retryAfterMs: error.retryAfterMs } : {}
      running?.rankTask.post({ kind: RankMessageKind.LoadFinished, item, isDone: false, ...retry })
    }
  }

  const loadFromStore = async (item: number, expertBytes: number) => {
    if (weightStoreUrl !== undefined) await fetchWeights(weightStoreUrl, `${group}-${item}`, expertBytes)
    await client.loadWeights(item)
  }

  const runActivatedStep = async (step: number, map: ExpertMap) => {
    const generation = stepGeneration
    await activation
    if (generation === stepGeneration && !isStopped) await runStep(step, map)
  }

  const rankPerformers: HandlerTable<RankEffect, void> = {
    [RankEffectKind.SendToCoordinator]: ({ to, message }) => sendSwitchMessage(to, message),
    [RankEffectKind.StepAllowed]: ({ step, map }) => { runActivatedStep(step, map) },
    [RankEffectKind.ResumeAt]: ({ step }) => {
      stepGeneration += 1
      requestStep(step)
    },
    [RankEffectKind.MapActivated]: ({ map }) => {
      activeMap = map
      running?.planning.setMap(map)
      activation = handOver(map)
    },
    [RankEffectKind.CoordinatorSuspected]: effect => {
      running?.coordinatorTask.post({ kind: CoordinatorMessageKind.CoordinatorSuspected, rank: effect.rank })
    },
    [WeightEffectKind.CopyFromPeer]: ({ item, fromRank }) => { finishLoad(item, client.copyFromPeer(item, fromRank)) },
    [WeightEffectKind.LoadFromStore]: ({ item }) => { finishLoad(item, loadFromStore(item, running?.shape.expertBytes ?? 0)) },
    [WeightEffectKind.DropWeights]: ({ items }) => { client.dropWeights(items).catch(() => {}) }
  }

  const coordinatorPerformers: HandlerTable<CoordinatorEffect, void> = {
    [CoordinatorEffectKind.SendToRank]: ({ to, message }) => sendSwitchMessage(to, message),
    [CoordinatorEffectKind.SwitchEnded]: ({ outcome, map }) => {
      log('switch to map %d ended: %s', map.id.version, outcome)
      metrics.record(MetricName.MapSwitchesTotal, 1, { outcome })
      if (outcome !== SwitchOutcome.Done) onExplanation(`map ${map.id.version} was planned, the switch ended as ${outcome}`)
    }
  }

  const startGroup = (shape: GroupShape, row: PoolRow): RunningGroup => {
    const coordinatorTask: Task<CoordinatorMessage> = createTask({
      name: 'maps',
      core: createSwitchCoordinator({ shape, rank, incarnation, movesAtOnceMax: row.movesAtOnceMax, clock, random }),
      perform: effect => dispatch(coordinatorPerformers, effect)
    })
    const rankTask: Task<RankMessage> = createTask({
      name: 'maps', core: createSwitchRank({ shape, rank, incarnation, clock }), perform: effect => dispatch(rankPerformers, effect)
    })
    coordinatorTask.tickEvery(TICK_MS, () => ({ kind: CoordinatorMessageKind.Tick }))
    rankTask.tickEvery(TICK_MS, () => ({ kind: RankMessageKind.Tick }))
    const planning = createMapPlanning({
      clock,
      reportIntervalMs,
      planIntervalMs,
      shape,
      weights: row,
      rank,
      incarnation,
      leaderRank: () => Math.min(rank, ...members.map(member => member.rank)),
      sendReport: (to, report) => sendToRank(to, { report }),
      onPlanned: (base, map) => coordinatorTask.post({ kind: CoordinatorMessageKind.SwitchRequested, base, map }),
      onExplanation,
      metrics
    })
    return { shape, rankTask, coordinatorTask, planning }
  }

  return {
    setRow: row => {
      if (row.group === undefined) return
      if (running === undefined) {
        running = startGroup(row.group, row)
        fetchNextStep()
      } else running.planning.setWeights(row)
    },
    onSwitchFrame: frame => {
      const { group: frameGroup, fromRank, message, report } = parseFrame(switchFrameSchema, frame)
      if (frameGroup !== group) return
      if (message !== undefined) deliverSwitchMessage(fromRank, message)
      if (report !== undefined) running?.planning.recordReport(report)
    },
    onRoster: frame => {
      const roster = parseFrame(groupRosterSchema, frame)
      if (roster.group !== group) return
      members = roster.members
      const ranks = members.map(member => member.rank)
      if (!ranks.includes(rank)) ranks.push(rank)
      running?.rankTask.post({ kind: RankMessageKind.LiveRanksChanged, ranks })
      running?.coordinatorTask.post({ kind: CoordinatorMessageKind.LiveRanksChanged, ranks })
    },
    stop: () => {
      isStopped = true
      running?.rankTask.stop()
      running?.coordinatorTask.stop()
      running?.planning.stop()
    }
  }
}
