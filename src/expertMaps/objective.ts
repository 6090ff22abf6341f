import { COPY_SLOWDOWN_RATIO, PEER_COPY_BYTES_PER_MS, PLACEMENT_HORIZONS, PLAN_HORIZON_MS } from './constants.js'
import { copiesBetween, itemCountOf, rankLoads } from './expertMap.js'
import type { ExpertMap, GroupShape, PlanWeights } from './types.js'

/** Objective function of a plan, shared by the planner and the benches. */
export interface Objective {
  /** Step time of the slowest rank relative to a perfect split by speed; equals slowest over mean at equal speeds. */
  skew: number
  /** Copied weights as a fraction of the weights of the group. */
  movedRatio: number
  /** Step time lost while copies are in progress, as a fraction of PLAN_HORIZON_MS. */
  waitRatio: number
  value: number
}

/** Step time of a perfect split by speed, in tokens at the speed of a median rank. */
export const idealTimeOf = (loads: ArrayLike<number>, speeds: ArrayLike<number>): number => {
  let load = 0
  for (let item = 0; item < loads.length; item++) load += loads[item]!
  let speed = 0
  for (let rank = 0; rank < speeds.length; rank++) speed += speeds[rank]!
  return load / speed
}

/** Cost of one copy in units of the objective. */
export const copyCost = (shape: GroupShape, { moveWeight, movesAtOnceMax }: PlanWeights): number => {
  const waitMs = shape.expertBytes / PEER_COPY_BYTES_PER_MS / movesAtOnceMax * COPY_SLOWDOWN_RATIO
  return moveWeight * (1 / itemCountOf(shape) + waitMs / PLAN_HORIZON_MS) / PLACEMENT_HORIZONS
}

/**
 * Evaluates a change from one map to another.
 *
 * @example
 * objectiveOf({ shape, weights, base, map: base, loads, speeds }).movedRatio // 0
 */
export const objectiveOf = ({ shape, weights, base, map, loads, speeds }: {
  shape: GroupShape
  weights: PlanWeights
  base: ExpertMap
  map: ExpertMap
  loads: ArrayLike<number>
  speeds: ArrayLike<number>
}): Objective => {
  const idealTime = idealTimeOf(loads, speeds)
  const slowest = rankLoads(map, loads, shape.ranks).reduce((max, load, rank) => Math.max(max, load / speeds[rank]!), 0)
  const skew = idealTime === 0 ? 1 : slowest / idealTime
  const copies = copiesBetween(base, map).length
  const movedRatio = copies / itemCountOf(shape)
  const waitMs = copies * shape.expertBytes / PEER_COPY_BYTES_PER_MS / weights.movesAtOnceMax * COPY_SLOWDOWN_RATIO
  const waitRatio = waitMs / PLAN_HORIZON_MS
  const value = weights.skewWeight * skew + weights.moveWeight * (movedRatio + waitRatio) / PLACEMENT_HORIZONS
  return { skew, movedRatio, waitRatio, value }
}
