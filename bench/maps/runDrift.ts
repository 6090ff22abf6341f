import { createManualClock, createRandom } from '../../src/core/index.js'
import {
  type Copy, COPY_SLOWDOWN_RATIO, copiesBetween, createInitialMap, createLoadAccount, createPlanner, encodeChanges, type ExpertMap,
  type GroupShape, HOLD_MARGIN_STEPS, itemCountOf, LoadEffectKind, LoadMessageKind, type LoadSnapshot, objectiveOf,
  PEER_COPY_BYTES_PER_MS, type PlanEffect, PlanEffectKind, PLAN_INTERVAL_MS, PlanMessageKind, type PlanWeights, replicasOf, REPORT_INTERVAL_MS, STAGE_BYTES_PER_S,
  skewOf
} from '../../src/expertMaps/index.js'
import { repackGreedily } from './baselines.js'
import { createTraffic, type DriftProfile, speedsAt, timelineOf } from './drift.js'
import { objectiveLowerBound } from './lowerBound.js'

/** Steps per second at about 64 ms each; one simulated step stands for all steps of its second. */
const STEPS_PER_S = 16
const REPORT_INTERVAL_S = REPORT_INTERVAL_MS / 1000
const PLAN_INTERVAL_S = PLAN_INTERVAL_MS / 1000
const HOLD_MARGIN_S = HOLD_MARGIN_STEPS / STEPS_PER_S
/** Time after a change of conditions that is excluded from the settled phase. */
const SETTLING_S = 120

export interface SkewByPhase {
  settled: number[]
  drifting: number[]
}

export interface DriftResult {
  planned: SkewByPhase
  staticMap: SkewByPhase
  greedy: SkewByPhase
  /** Copies of each plan divided by those of a greedy repack from the same map. */
  movedRatios: number[]
  /** Objective of each planned map divided by its lower bound. */
  objectiveRatios: number[]
  /** The same ratios without the constant cost of a skew of 1, which no map can avoid. */
  excessRatios: number[]
  stepTimeWithMoves: number
  stepTimeWithoutMoves: number
  /** Skew averaged over the complete run; with `copies` it gives the objective of the run. */
  meanSkew: number
  copies: number
  greedyCopies: number
  plans: number
  explanations: string[]
  /** Planned changes in order, for a replay with the switch protocol. */
  changes: Array<{ timeS: number, base: ExpertMap, map: ExpertMap }>
}

interface Staging {
  map: ExpertMap
  copies: Copy[]
  durationS: number
  doneS: number
}

interface ReplicaArrays {
  items: number[]
  ranks: number[]
  shares: number[]
}

const replicaArraysByMap = new WeakMap<ExpertMap, ReplicaArrays>()

/**
 * Returns the replicas of a map as flat arrays, cached because every simulated step iterates over all of
 * them.
 */
const replicaArraysOf = (map: ExpertMap): ReplicaArrays => {
  const cached = replicaArraysByMap.get(map)
  if (cached !== undefined) return cached
  const arrays: ReplicaArrays = { items: [], ranks: [], shares: [] }
  map.layers.flat().forEach((replicas, item) => {
    for (const { rank, share } of replicas) {
      arrays.items.push(item)
      arrays.ranks.push(rank)
      arrays.shares.push(share)
    }
  })
  replicaArraysByMap.set(map, arrays)
  return arrays
}

/**
 * Simulates one group under a drift profile with load accounting and planner, next to a static map and greedy
 * repacks.
 */
export const runDrift = (
  { seed, shape, weights, profile }: { seed: number, shape: GroupShape, weights: PlanWeights, profile: DriftProfile }
): DriftResult => {
  const random = createRandom(seed)
  /** Separate from the generator of the traffic, so that runs with other weights see the same traffic. */
  const copyRandom = createRandom(seed + 1)
  const timeline = timelineOf(profile)
  const traffic = createTraffic(random, shape, timeline)
  const account = createLoadAccount({ shape })
  const planner = createPlanner({ shape, weights, clock: createManualClock() })
  const initial = createInitialMap(shape)
  let map = initial
  let greedyMap = initial
  let staging: Staging | undefined
  let tokenSums = new Float64Array(itemCountOf(shape))
  const durations = new Float64Array(shape.ranks)
  const copyDurationS = shape.expertBytes / PEER_COPY_BYTES_PER_MS / 1000
  const result: DriftResult = {
    planned: { settled: [], drifting: [] },
    staticMap: { settled: [], drifting: [] },
    greedy: { settled: [], drifting: [] },
    movedRatios: [],
    objectiveRatios: [],
    excessRatios: [],
    stepTimeWithMoves: 0,
    stepTimeWithoutMoves: 0,
    meanSkew: 0,
    copies: 0,
    greedyCopies: 0,
    plans: 0,
    explanations: [],
    changes: []
  }

  const phaseAt = (timeS: number): keyof SkewByPhase | undefined => {
    if (timeS >= timeline.driftStartS && timeS < timeline.driftEndS) return 'drifting'
    const changeTimesS = [0, timeline.driftEndS, timeline.stragglerStartS, timeline.stragglerEndS]
    return changeTimesS.every(changeTimeS => timeS < changeTimeS || timeS >= changeTimeS + SETTLING_S) ? 'settled' : undefined
  }

  const timesOf = (current: ExpertMap, tokens: Float64Array, speeds: Float64Array): Float64Array => {
    const { items, ranks, shares } = replicaArraysOf(current)
    const times = new Float64Array(shape.ranks)
    for (let i = 0; i < items.length; i++) times[ranks[i]!]! += shares[i]! * tokens[items[i]!]!
    for (let rank = 0; rank < shape.ranks; rank++) times[rank]! /= speeds[rank]!
    return times
  }

  /** Samples the ranks that send or receive a copy during the current step of a switch. */
  const copyingRanks = (): number[] => {
    if (staging === undefined) return []
    const { copies, durationS } = staging
    const busyShare = copies.length * copyDurationS / weights.movesAtOnceMax / durationS
    if (copyRandom.next() >= busyShare) return []
    return Array.from({ length: Math.min(weights.movesAtOnceMax, copies.length) }, () => copyRandom.pick(copies))
      .flatMap(({ item, toRank }) => [toRank, replicasOf(map, item)[0]!.rank])
  }

  const report = (timeS: number) => {
    account.handle({ kind: LoadMessageKind.MapAdopted, map })
    const { items, ranks, shares } = replicaArraysOf(map)
    const tokensByRank: number[][] = Array.from({ length: shape.ranks }, () => [])
    for (let i = 0; i < items.length; i++) tokensByRank[ranks[i]!]!.push(Math.round(tokenSums[items[i]!]! * shares[i]!))
    for (let rank = 0; rank < shape.ranks; rank++) {
      account.handle({
        kind: LoadMessageKind.RankReported,
        report: {
          rank,
          incarnation: 'a',
          step: timeS * STEPS_PER_S,
          steps: REPORT_INTERVAL_S * STEPS_PER_S,
          durationMs: durations[rank]!,
          mapHash: map.id.hash,
          tokens: tokensByRank[rank]!
        }
      })
    }
    resetReports()
  }

  const resetReports = () => {
    tokenSums = new Float64Array(tokenSums.length)
    durations.fill(0)
  }

  const snapshot = (): LoadSnapshot => {
    const effect = account.handle({ kind: LoadMessageKind.SnapshotRequested })[0]
    if (effect?.kind !== LoadEffectKind.SnapshotReady) throw new Error('load account returned no snapshot')
    return effect.snapshot
  }

  const runPlan = (current: LoadSnapshot): PlanEffect | undefined => {
    let effect = planner.handle({ kind: PlanMessageKind.PlanRequested, map, snapshot: current })[0]
    while (effect?.kind === PlanEffectKind.ContinueRequested) effect = planner.handle({ kind: PlanMessageKind.Advance })[0]
    return effect
  }

  /**
   * Duration of a switch: sending the changes at the coordinator's rate limit or the copies at the limit of
   * concurrent moves, whichever takes longer, plus the hold margin.
   */
  const switchDurationS = (next: ExpertMap, copies: number): number => {
    const stageS = encodeChanges(map, next).length * (shape.ranks - 1) / STAGE_BYTES_PER_S
    return Math.ceil(Math.max(stageS, copies * copyDurationS / weights.movesAtOnceMax) + HOLD_MARGIN_S)
  }

  const plan = (timeS: number) => {
    const current = snapshot()
    const { loads, speeds } = current
    const nextGreedy = repackGreedily(shape, greedyMap.id.version + 1, loads, speeds)
    result.greedyCopies += copiesBetween(greedyMap, nextGreedy).length
    greedyMap = nextGreedy
    if (staging !== undefined) return
    const effect = runPlan(current)
    if (effect === undefined || effect.kind === PlanEffectKind.ContinueRequested) return
    result.explanations.push(`${timeS} s: ${effect.explanation}`)
    if (effect.kind !== PlanEffectKind.MapPlanned) return
    const repack = copiesBetween(map, repackGreedily(shape, map.id.version + 1, loads, speeds)).length
    result.movedRatios.push(effect.copies.length / repack)
    const objective = objectiveOf({ shape, weights, base: map, map: effect.map, loads, speeds })
    const lowerBound = objectiveLowerBound({ shape, weights, base: map, loads, speeds })
    result.objectiveRatios.push(objective.value / lowerBound)
    result.excessRatios.push((objective.value - weights.skewWeight) / Math.max(1e-9, lowerBound - weights.skewWeight))
    result.copies += effect.copies.length
    result.plans += 1
    result.changes.push({ timeS, base: map, map: effect.map })
    const durationS = switchDurationS(effect.map, effect.copies.length)
    staging = { map: effect.map, copies: effect.copies, durationS, doneS: timeS + durationS }
  }

  const step = (timeS: number) => {
    const tokens = traffic.stepAt(timeS)
    const speeds = speedsAt(shape, timeline, timeS)
    const times = timesOf(map, tokens, speeds)
    const phase = phaseAt(timeS)
    const skew = skewOf(times)
    if (phase !== undefined) {
      result.planned[phase].push(skew)
      result.staticMap[phase].push(skewOf(timesOf(initial, tokens, speeds)))
      result.greedy[phase].push(skewOf(timesOf(greedyMap, tokens, speeds)))
    }
    result.meanSkew += skew / timeline.endS
    result.stepTimeWithoutMoves += Math.max(...times)
    for (const rank of new Set(copyingRanks())) times[rank]! *= 1 + COPY_SLOWDOWN_RATIO
    result.stepTimeWithMoves += Math.max(...times)
    for (let item = 0; item < tokenSums.length; item++) tokenSums[item]! += tokens[item]! * STEPS_PER_S
    for (let rank = 0; rank < shape.ranks; rank++) durations[rank]! += times[rank]! * STEPS_PER_S
  }

  for (let timeS = 1; timeS <= timeline.endS; timeS++) {
    step(timeS)
    if (timeS % REPORT_INTERVAL_S === 0) report(timeS)
    if (timeS % PLAN_INTERVAL_S === 0) plan(timeS)
    if (staging !== undefined && timeS >= staging.doneS) {
      // A report covers a single map, so the interval that the switch ends early is reported first.
      if (tokenSums.some(tokens => tokens > 0)) report(timeS)
      map = staging.map
      staging = undefined
      account.handle({ kind: LoadMessageKind.MapAdopted, map })
    }
  }
  return result
}
