import { type Clock, createLog, createTask, dispatch, type HandlerTable, type Incarnation, type Task } from '../../core/index.js'
import {
  createLoadAccount, createPlanner, type ExpertMap, type GroupShape, LoadEffectKind, LoadMessageKind,
  type PlanEffect, PlanEffectKind, type PlanMessage, PlanMessageKind, type PlanWeights, type RankReport
} from '../../expertMaps/index.js'
import { type Metrics, MetricName } from '../../observe/index.js'
import type { StepResult } from '../../clients/index.js'

const log = createLog('maps')

export interface MapPlanningOptions {
  clock: Clock
  reportIntervalMs: number
  planIntervalMs: number
  shape: GroupShape
  weights: PlanWeights
  rank: number
  incarnation: Incarnation
  /** Rank that plans the expert map for the group. */
  leaderRank: () => number
  sendReport: (toRank: number, report: RankReport) => void
  onPlanned: (base: ExpertMap, map: ExpertMap) => void
  onExplanation: (line: string) => void
  metrics: Metrics
}

/** Sends the load reports of this rank and, while it is the leader, plans the expert map of its group. */
export interface MapPlanning {
  setMap (map: ExpertMap): void
  setWeights (weights: PlanWeights): void
  recordStep (result: StepResult, map: ExpertMap): void
  /** Records a report of this or another rank. */
  recordReport (report: RankReport): void
  stop (): void
}

/**
 * Creates the load reporting and map planning of one rank.
 *
 * @example
 * const planning = createMapPlanning({ shape, weights: row, rank: 0, ... })
 * planning.recordStep(result, map)
 */
export const createMapPlanning = ({
  clock, reportIntervalMs, planIntervalMs, shape, weights, rank, incarnation, leaderRank, sendReport, onPlanned, onExplanation, metrics
}: MapPlanningOptions): MapPlanning => {
  const account = createLoadAccount({ shape })
  let currentMap: ExpertMap | undefined
  let pending: RankReport | undefined
  let isPlanning = false

  const performers: HandlerTable<PlanEffect, void> = {
    // Yields to the event loop between slices, so that requests are served while a plan is computed.
    [PlanEffectKind.ContinueRequested]: () => { setImmediate(() => planner.post({ kind: PlanMessageKind.Advance })) },
    [PlanEffectKind.MapKept]: ({ explanation }) => {
      isPlanning = false
      log('%s', explanation)
      onExplanation(explanation)
    },
    [PlanEffectKind.MapPlanned]: ({ base, map, explanation }) => {
      isPlanning = false
      log('%s', explanation)
      onExplanation(explanation)
      onPlanned(base, map)
    }
  }

  const planner: Task<PlanMessage> = createTask({
    name: 'maps', core: createPlanner({ shape, weights, clock }), perform: effect => dispatch(performers, effect)
  })

  const recordReport = (report: RankReport) => { account.handle({ kind: LoadMessageKind.RankReported, report }) }

  const flushReport = () => {
    const report = pending
    pending = undefined
    if (report === undefined) return
    const leader = leaderRank()
    if (leader === rank) recordReport(report)
    else sendReport(leader, report)
  }

  const plan = () => {
    if (isPlanning || currentMap === undefined || leaderRank() !== rank) return
    for (const effect of account.handle({ kind: LoadMessageKind.SnapshotRequested })) {
      if (effect.kind !== LoadEffectKind.SnapshotReady) continue
      isPlanning = true
      planner.post({ kind: PlanMessageKind.PlanRequested, map: currentMap, snapshot: effect.snapshot })
    }
  }

  const addStep = (report: RankReport, { step, durationMs, tokens }: StepResult): RankReport => ({
    ...report,
    step,
    steps: report.steps + 1,
    durationMs: report.durationMs + durationMs,
    tokens: report.tokens.map((sum, i) => sum + (tokens[i] ?? 0))
  })

  const recordStep = (result: StepResult, map: ExpertMap) => {
    if (pending !== undefined && pending.mapHash !== map.id.hash) flushReport()
    const { step, durationMs, tokens } = result
    pending = pending === undefined
      ? { rank, incarnation, step, steps: 1, durationMs, mapHash: map.id.hash, tokens: [...tokens] }
      : addStep(pending, result)
    metrics.record(MetricName.StepDurationMs, durationMs)
  }

  const timers = [setInterval(flushReport, reportIntervalMs), setInterval(plan, planIntervalMs)]
  timers.forEach(timer => timer.unref())

  return {
    setMap: map => {
      currentMap = map
      account.handle({ kind: LoadMessageKind.MapAdopted, map })
    },
    setWeights: changed => { planner.post({ kind: PlanMessageKind.WeightsChanged, weights: changed }) },
    recordStep,
    recordReport,
    stop: () => {
      timers.forEach(clearInterval)
      planner.stop()
    }
  }
}
