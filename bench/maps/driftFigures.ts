import {
  COPY_SLOWDOWN_RATIO, copyCost, type GroupShape, PEER_COPY_BYTES_PER_MS, PLACEMENT_HORIZONS, PLAN_HORIZON_MS, type PlanWeights
} from '../../src/expertMaps/index.js'
import { type Figure, mean } from '../harness/index.js'
import { Firm, SHAPES, WEIGHTS } from './deployments.js'
import { DriftProfile, timelineOf } from './drift.js'
import { type DriftResult, type SkewByPhase, runDrift } from './runDrift.js'

export interface DriftRun {
  firm: Firm
  profile: DriftProfile
  shape: GroupShape
  result: DriftResult
}

/** Runs every combination of group size, firm (with its own weights) and drift profile. */
export const runAllDrifts = (seed: number): DriftRun[] => SHAPES.flatMap(shape =>
  Object.values(Firm).flatMap(firm => Object.values(DriftProfile).map(profile =>
    ({ firm, profile, shape, result: runDrift({ seed, shape, weights: WEIGHTS[firm], profile }) }))))

const SKEW_TARGETS: Record<keyof SkewByPhase, number> = { settled: 1.05, drifting: 1.15 }

const formatRatio = (value: number) => value.toFixed(4)

/** Reports the drift profile with the higher skew. */
const skewFigure = (runs: readonly DriftRun[], phase: keyof SkewByPhase, seed: number): Figure => {
  const highestRun = runs.reduce((a, b) => mean(b.result.planned[phase]) > mean(a.result.planned[phase]) ? b : a)
  const { firm, profile, shape, result } = highestRun
  const staticMean = mean(result.staticMap[phase])
  const greedyMean = mean(result.greedy[phase])
  return {
    suite: 'maps',
    figure: `step_skew_ratio_${phase}_${shape.ranks}_ranks_${firm}`,
    unit: 'ratio',
    baseline: Math.min(staticMean, greedyMean),
    value: mean(result.planned[phase]),
    seed,
    target: { max: SKEW_TARGETS[phase] },
    note: `${profile}; static map ${formatRatio(staticMean)}, greedy repack ${formatRatio(greedyMean)}, which moved ` +
      `${(result.greedyCopies / Math.max(1, result.copies)).toFixed(0)} times the bytes`
  }
}

const highest = (runs: readonly DriftRun[], read: (result: DriftResult) => number): number =>
  Math.max(...runs.map(({ result }) => read(result)))

const firmFigures = (runs: readonly DriftRun[], firm: Firm, seed: number): Figure[] => {
  const firmRuns = runs.filter(run => run.firm === firm)
  const common = { suite: 'maps', unit: 'ratio', seed }
  const plans = firmRuns.reduce((sum, { result }) => sum + result.plans, 0)
  return [
    {
      ...common,
      figure: `bytes_moved_ratio_${firm}`,
      baseline: 1,
      value: highest(firmRuns, result => Math.max(...result.movedRatios)),
      target: { max: 0.2 },
      note: `highest of ${plans} plans, each against a greedy repack from the same map`
    },
    {
      ...common,
      figure: `quote_delay_from_moves_ratio_${firm}`,
      baseline: null,
      value: highest(firmRuns, result => result.stepTimeWithMoves / result.stepTimeWithoutMoves),
      target: { max: 1.02 },
      note: `highest of all groups and seasons; a copy slows its two ranks by ${COPY_SLOWDOWN_RATIO * 100}% for ` +
        `${SHAPES[0]!.expertBytes / PEER_COPY_BYTES_PER_MS} ms (assumption of the fake engine)`
    },
    {
      ...common,
      figure: `objective_over_lower_bound_${firm}`,
      baseline: null,
      value: highest(firmRuns, result => Math.max(...result.objectiveRatios)),
      target: { max: 1.1 },
      note: `highest of ${plans} plans; bound: every rank above a time limit sheds its hottest single-hosted experts ` +
        'first, receivers and memory ignored, minimum over all limits; without the unavoidable skew of 1 the mean ratio is ' +
        `${mean(firmRuns.flatMap(({ result }) => result.excessRatios.filter(ratio => ratio < 1e3))).toFixed(2)}`
    }
  ]
}

/**
 * Objective over a complete run: mean skew above 1 plus the cost of the copies of an average planning horizon.
 * Copies are averaged per horizon because the planner credits a gain in skew for one horizon.
 */
const runObjective = (weights: PlanWeights, { profile, shape, result }: DriftRun): number => {
  const horizons = timelineOf(profile).endS * 1000 / PLAN_HORIZON_MS
  return weights.skewWeight * (result.meanSkew - 1) + copyCost(shape, weights) * PLACEMENT_HORIZONS * result.copies / horizons
}

const weightsFigure = (runs: readonly DriftRun[], firm: Firm, seed: number): Figure => {
  const objectiveOfRuns = (planner: Firm) =>
    mean(runs.filter(run => run.firm === planner).map(run => runObjective(WEIGHTS[firm], run)))
  const otherFirm = firm === Firm.Fellesly ? Firm.Kpakpo : Firm.Fellesly
  const copies = (planner: Firm) => runs.filter(run => run.firm === planner).reduce((sum, { result }) => sum + result.copies, 0)
  const { skewWeight, moveWeight } = WEIGHTS[firm]
  return {
    suite: 'maps',
    figure: `${firm}_objective_own_over_other`,
    unit: 'ratio',
    baseline: 1,
    value: objectiveOfRuns(firm) / objectiveOfRuns(otherFirm),
    seed,
    target: { max: 1 },
    note: `skewWeight ${skewWeight}, moveWeight ${moveWeight}; same traffic planned with the weights of ${firm} ` +
      `(${copies(firm)} copies) and of ${otherFirm} (${copies(otherFirm)} copies)`
  }
}

/** Computes the figures of all drift runs. */
export const driftFigures = (runs: readonly DriftRun[], seed: number): Figure[] => [
  ...Object.values(Firm).flatMap(firm => SHAPES.flatMap(shape => {
    const group = runs.filter(run => run.firm === firm && run.shape === shape)
    return [skewFigure(group, 'settled', seed), skewFigure(group, 'drifting', seed)]
  })),
  ...Object.values(Firm).flatMap(firm => firmFigures(runs, firm, seed)),
  ...Object.values(Firm).map(firm => weightsFigure(runs, firm, seed))
]
