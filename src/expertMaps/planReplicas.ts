import { findRelief, type Relief } from './findRelief.js'
import { createReplicaSet, type PlacementChange, type ReplicaSet } from './replicaSet.js'
import type { ExpertLoads, ReplicaLimits, ReplicaMap, ReplicaPlan } from './replicaTypes.js'

/** Reduction of a set's peak, as a fraction of its mean, that justifies one copy. */
const COPY_GAIN_MIN = 0.015
/** Changes of one set, per rank, after which a plan for it ends. */
const CHANGES_PER_RANK_MAX = 3

/** Time that a rank may spend on copies for one map: forward passes take longer meanwhile, and demand shifts within seconds. */
const COPY_TIME_MAX_MS = 250

/** Changes of one set in their order, and the set's state after each. */
interface PlannedStep {
  changes: readonly PlacementChange[]
  copies: number
  peak: number
}

interface SetPlan {
  set: ReplicaSet
  start: readonly (readonly number[])[]
  peakBefore: number
  steps: PlannedStep[]
  next: Relief | undefined
}

const peakOf = ({ rankLoads }: ReplicaSet) => Math.max(...rankLoads)

const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0)

/** The steps up to the one after which further copies no longer pay. */
const worthwhileSteps = ({ set, peakBefore, steps }: SetPlan): readonly PlannedStep[] => {
  const copyCost = COPY_GAIN_MIN * set.meanLoad
  const costs = [peakBefore, ...steps.map(({ peak, copies }) => peak + copies * copyCost)]
  return steps.slice(0, costs.indexOf(Math.min(...costs)))
}

/** The experts of each rank after the steps that pay. */
const finish = (plan: SetPlan, loads: readonly number[], paces: readonly number[]): ReplicaSet => {
  const set = createReplicaSet({ experts: plan.start, loads, paces })
  for (const { changes } of worthwhileSteps(plan)) set.apply(changes)
  return set
}

/**
 * Returns how many experts a rank may copy for one map, at least one.
 *
 * @example
 * copiesInTime(76) // 3
 */
export const copiesInTime = (copyMs: number | undefined): number =>
  copyMs === undefined ? 1 : Math.max(1, Math.floor(COPY_TIME_MAX_MS / Math.max(1, copyMs)))

/**
 * Plans the next map of a group: hot experts get more holders, or move, within the limits on copies. Replicas whose slots
 * are not needed are kept, because demand often returns to the same experts. A slow rank is assigned less load.
 *
 * @example
 * planReplicas(map, loads, [1, 1, 2.5], { placementsMax: 11, copiesMax: 4, copiesPerRankMax: 2 }).peakAfter
 */
export const planReplicas = (
  base: ReplicaMap, loads: ExpertLoads, paces: readonly number[], { placementsMax, copiesMax, copiesPerRankMax }: ReplicaLimits
): ReplicaPlan => {
  const plans = base.map((start, at): SetPlan => {
    const set = createReplicaSet({ experts: start, loads: loads[at] ?? [], paces })
    return { set, start, peakBefore: peakOf(set), steps: [], next: undefined }
  })

  const copiesOf = (rank: number) => sum(plans.map(({ set }) => set.copiesByRank[rank]!))

  const findNext = ({ set, steps }: SetPlan): Relief | undefined => {
    if (steps.length >= CHANGES_PER_RANK_MAX * paces.length) return undefined
    return findRelief(set, {
      placementsMax,
      areCopiesScarce: copiesPerRankMax === 1,
      mayCopy: rank => set.copiesByRank[rank]! < copiesMax && copiesOf(rank) < copiesPerRankMax
    })
  }

  const needsFullRank = ({ set, next }: SetPlan): boolean => next !== undefined && next.copies > 0 &&
    next.changes.some(({ expert, rank }) => !set.heldAtStart(expert, rank) && copiesOf(rank) >= copiesPerRankMax)

  for (const plan of plans) plan.next = findNext(plan)
  for (;;) {
    // Ranks may copy few experts, so the sets that gain most by a copy go first.
    const [best] = plans.filter(({ next }) => next !== undefined).sort((a, b) => b.next!.gain / Math.max(1, b.next!.copies) - a.next!.gain / Math.max(1, a.next!.copies))
    if (best === undefined) break
    const { set, steps, next } = best
    set.apply(next!.changes)
    steps.push({ changes: next!.changes, copies: sum(set.copiesByRank), peak: peakOf(set) })
    best.next = findNext(best)
    for (const plan of plans) if (needsFullRank(plan)) plan.next = findNext(plan)
  }

  const finished = plans.map((plan, at) => finish(plan, loads[at] ?? [], paces))
  const meanTotal = sum(finished.map(({ meanLoad }) => meanLoad))
  const relative = (peak: number) => meanTotal === 0 ? 1 : peak / meanTotal
  return {
    map: finished.map(({ experts }) => experts.map(list => [...list].sort((a, b) => a - b))),
    copies: sum(finished.map(({ copiesByRank }) => sum(copiesByRank))),
    peakBefore: relative(sum(plans.map(({ peakBefore }) => peakBefore))),
    peakAfter: relative(sum(finished.map(peakOf)))
  }
}
