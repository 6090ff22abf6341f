import { copyCost, type ExpertMap, type GroupShape, idealTimeOf, type PlanWeights } from '../../src/expertMaps/index.js'

/**
 * A value that no map can undercut.
 *
 * Take a limit on the time of the slowest rank. Each rank above the limit must shed the difference.
 * Shares of experts that have several hosts are shed for free. Beyond that a copy of an expert
 * relieves only its single host, by at most all of its load. A rank therefore needs at least as many
 * copies as its hottest experts fill the rest. Memory, receivers and the load that they take on are
 * ignored, so the bound is below the true optimum. The minimum over all limits from the perfect
 * split on is the bound; it lies at a limit at which the number of copies changes.
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
  /** Times at which one more copy from some rank becomes unnecessary. */
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
