import {
  PLAN_COPIES_MAX, PLAN_ITEMS_PER_UNIT, PLAN_LIMIT_RATIOS, PLAN_LIMIT_STEP_RATIO, PLAN_STEPS_MAX, PLAN_UNITS_PER_SLICE, SKEW_GOAL_RATIO, SKEW_START_RATIO
} from './constants.js'
import { createMap, itemCountOf } from './expertMap.js'
import { copyCost } from './objective.js'
import { createPlanState, type PlanState } from './planState.js'
import { relieve, retireReplica } from './planSteps.js'
import type { Copy, ExpertMap, GroupShape, PlanWeights, Replica } from './types.js'

export interface PlanInput {
  shape: GroupShape
  weights: PlanWeights
  base: ExpertMap
  loads: Float64Array
  speeds: Float64Array
  /** Called once the skew of the base map is known; false ends the plan without a search. */
  shouldSearch: (skew: number) => boolean
}

export interface PlanOutcome {
  skewBefore: number
  skewAfter: number
  copies: Copy[]
  /** Gain in skew and cost of the copies, both in units of the objective. */
  gain: number
  cost: number
  /** Slots freed by dropping replicas, without a copy. */
  retiredCount: number
  /** Whether the search found no step at some point, because no rank had a free slot or a suitable expert. */
  isStuck: boolean
  /** Absent if nothing changes. */
  map?: ExpertMap
}

const predictedSkew = (state: PlanState): number =>
  state.idealTime === 0 ? 1 : state.timeOf(state.slowestRank()) / state.idealTime

const toLayers = (replicas: ReadonlyArray<readonly Replica[]>, experts: number): Replica[][][] => {
  const layers: Replica[][][] = []
  for (let at = 0; at < replicas.length; at += experts) layers.push(replicas.slice(at, at + experts) as Replica[][])
  return layers
}

/** Units yielded for work that is long enough to take a slice of its own. */
const WHOLE_SLICE = PLAN_UNITS_PER_SLICE
const ONE_UNIT = 1

interface Descent {
  limitRatio: number
  isStuck: boolean
  /** Position in the undo log at which the objective was lowest. */
  position: number
  value: number
}

/**
 * Repeatedly moves load off the slowest rank, up to a limit on the load of the ranks that receive it.
 * The limit rises when no rank can take more load below it, for example while a straggler sheds a lot.
 */
function * descend (
  state: PlanState, { shape, weights }: PlanInput, limitRatio: number
): Generator<number, Descent> {
  const costPerCopy = copyCost(shape, weights)
  const best: Descent =
    { limitRatio, isStuck: false, position: state.position, value: weights.skewWeight * predictedSkew(state) + costPerCopy * state.copies }
  state.limitTime = state.idealTime * limitRatio
  for (let step = 0; step < PLAN_STEPS_MAX && state.copies < PLAN_COPIES_MAX; step++) {
    const from = state.slowestRank()
    if (state.timeOf(from) <= state.limitTime * SKEW_GOAL_RATIO) break
    if (relieve(state, from) === undefined) {
      best.isStuck = predictedSkew(state) > SKEW_START_RATIO
      state.limitTime *= PLAN_LIMIT_STEP_RATIO
    }
    const value = weights.skewWeight * predictedSkew(state) + costPerCopy * state.copies
    if (value < best.value) Object.assign(best, { position: state.position, value })
    yield ONE_UNIT
  }
  return best
}

/**
 * Searches for a better map, starting from the current one. Yields the units of work done since the
 * last yield, so that the calling code decides how many of them run in one slice.
 *
 * Each descent is rolled back to the point where the objective was lowest, so a high `moveWeight`
 * leads to fewer changes. Several limits are tried: a low one yields a more even load, a high one
 * needs fewer copies.
 */
export function * searchPlan (input: PlanInput): Generator<number, PlanOutcome> {
  const { shape, weights, base, loads, speeds, shouldSearch } = input
  const state = createPlanState({ shape, base, loads, speeds })
  yield WHOLE_SLICE
  const itemCount = itemCountOf(shape)
  for (let item = 0; item < itemCount; item++) {
    state.index(item)
    if (item % PLAN_ITEMS_PER_UNIT === PLAN_ITEMS_PER_UNIT - 1) yield ONE_UNIT
  }
  const skewBefore = predictedSkew(state)
  const unchanged: PlanOutcome =
    { skewBefore, skewAfter: skewBefore, copies: [], gain: 0, cost: 0, retiredCount: 0, isStuck: false }
  if (!shouldSearch(skewBefore)) return unchanged

  let retiredCount = 0
  for (let rank = 0; rank < shape.ranks; rank++) {
    if (retireReplica(state, rank)) retiredCount += 1
    yield ONE_UNIT
  }

  const start = state.position
  let best = { limitRatio: 1, isStuck: false, position: start, value: weights.skewWeight * predictedSkew(state) }
  for (const limitRatio of PLAN_LIMIT_RATIOS) {
    const found = yield * descend(state, input, limitRatio)
    if (found.value < best.value) best = found
    state.undoTo(start)
  }
  if (best.position > start) yield * descend(state, input, best.limitRatio)
  state.undoTo(best.position)
  if (state.position === 0) return { ...unchanged, isStuck: best.isStuck }
  yield WHOLE_SLICE
  const map = createMap(base.id.version + 1, toLayers(state.replicas, shape.experts))
  yield WHOLE_SLICE
  const copies = state.listCopies()
  const skewAfter = predictedSkew(state)
  return {
    skewBefore,
    skewAfter,
    copies,
    gain: weights.skewWeight * (skewBefore - skewAfter),
    cost: copyCost(shape, weights) * copies.length,
    retiredCount,
    isStuck: best.isStuck,
    map
  }
}
