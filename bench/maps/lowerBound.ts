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
  const perCopy = copyCost(shape, weights)
  const single: number[][] = Array.from({ length: shape.ranks }, () => [])
  const free = new Float64Array(shape.ranks)
  const totals = new Float64Array(shape.ranks)
  base.layers.flat().forEach((replicas, item) => {
    for (const { rank, share } of replicas) {
      totals[rank]! += share * loads[item]!
      if (replicas.length === 1) single[rank]!.push(loads[item]!)
      else free[rank]! += share * loads[item]!
    }
  })
  /** Times at which one more copy from some rank becomes unnecessary. */
  const limits = [idealTime]
  const limitsByRank = single.map((items, rank) => {
    let left = totals[rank]! - free[rank]!
    const times = [left / speeds[rank]!]
    for (const load of items.sort((a, b) => b - a)) {
      left -= load
      times.push(left / speeds[rank]!)
      if (left / speeds[rank]! < idealTime) break
    }
    limits.push(...times.filter(time => time > idealTime))
    return times
  })
  const sorted = limits.sort((a, b) => a - b)
  let best = Number.POSITIVE_INFINITY
  for (const limit of sorted) {
    if (weights.skewWeight * limit / idealTime >= best) break
    let copies = 0
    for (const times of limitsByRank) {
      for (const time of times) {
        if (time <= limit) break
        copies += 1
      }
    }
    best = Math.min(best, weights.skewWeight * limit / idealTime + perCopy * copies)
  }
  return best
}
