import {
  createMap, type ExpertMap, type GroupShape, itemCountOf, type Replica, slotsPerRank
} from '../../src/expertMaps/index.js'

/**
 * Creates a map by a full greedy repack: places the experts from the hottest on, each on the rank with a free
 * slot that finishes it earliest. It ignores the current placement and replicates no expert.
 */
export const repackGreedily = (
  shape: GroupShape, version: number, loads: ArrayLike<number>, speeds: ArrayLike<number>
): ExpertMap => {
  const slots = slotsPerRank(shape)
  const counts = new Int32Array(shape.ranks)
  const totals = new Float64Array(shape.ranks)
  const layers: Replica[][][] = Array.from({ length: shape.layers }, () => [])
  const items = Array.from({ length: itemCountOf(shape) }, (_item, item) => item)
    .sort((a, b) => loads[b]! - loads[a]! || a - b)
  for (const item of items) {
    let bestRank = -1
    let bestTime = Number.POSITIVE_INFINITY
    for (let rank = 0; rank < shape.ranks; rank++) {
      const time = (totals[rank]! + loads[item]!) / speeds[rank]!
      if (counts[rank]! >= slots || time >= bestTime) continue
      bestRank = rank
      bestTime = time
    }
    counts[bestRank]! += 1
    totals[bestRank]! += loads[item]!
    layers[Math.floor(item / shape.experts)]![item % shape.experts] = [{ rank: bestRank, share: 1 }]
  }
  return createMap(version, layers)
}
