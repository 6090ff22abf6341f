import { copyCost, type ExpertMap, type GroupShape, idealTimeOf, type PlanWeights } from '../../src/expertMaps/index.js'

/**
 * Returns a lower bound of the planner's objective: no map can have a lower value.
 *
 * Given a limit on the time of the slowest rank, each rank above the limit must shed the load above it. Load
 * of experts with several hosts is shed without a copy. Beyond that, one copy of an expert relieves only the
 * single host of that expert, by at most the expert's entire load. So the number of copies that a rank needs
 * is at least the number of its hottest single-hosted experts whose loads together cover the rest. Memory,
 * receivers and the load that they take on are ignored, so the bound is below the true optimum. The result is
 * the minimum over all limits from the perfect split upwards; the minimum lies at a limit where the number of
 * copies changes.
 */
export const objectiveLowerBound = ({ shape, weights, base, loads, speeds }: {
  shape: GroupShape
  weights: PlanWeights
  base: ExpertMap
  loads: ArrayLike<number>
  speeds: ArrayLike<number>
}): number => {
  const idealTime = idealTimeOf(loads, speeds)
  const costPerCopy = copyCost(shape, weights)
  const singleHostedLoads: number[][] = Array.from({ length: shape.ranks }, () => [])
  const replicatedLoads = new Float64Array(shape.ranks)
  const totalLoads = new Float64Array(shape.ranks)
  base.layers.flat().forEach((replicas, item) => {
    for (const { rank, share } of replicas) {
      totalLoads[rank]! += share * loads[item]!
      if (replicas.length === 1) singleHostedLoads[rank]!.push(loads[item]!)
      else replicatedLoads[rank]! += share * loads[item]!
    }
  })
  /** Limits at which some rank needs one copy less. */
  const limits = [idealTime]
  const limitsByRank = singleHostedLoads.map((items, rank) => {
    let remainingLoad = totalLoads[rank]! - replicatedLoads[rank]!
    const times = [remainingLoad / speeds[rank]!]
    for (const load of items.sort((a, b) => b - a)) {
      remainingLoad -= load
      times.push(remainingLoad / speeds[rank]!)
      if (remainingLoad / speeds[rank]! < idealTime) break
    }
    limits.push(...times.filter(time => time > idealTime))
    return times
  })
  const sorted = limits.sort((a, b) => a - b)
  let lowestObjective = Number.POSITIVE_INFINITY
  for (const limit of sorted) {
    if (weights.skewWeight * limit / idealTime >= lowestObjective) break
    let copies = 0
    for (const times of limitsByRank) {
      for (const time of times) {
        if (time <= limit) break
        copies += 1
      }
    }
    lowestObjective = Math.min(lowestObjective, weights.skewWeight * limit / idealTime + costPerCopy * copies)
  }
  return lowestObjective
}
