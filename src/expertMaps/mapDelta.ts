import type { ReplicaMap } from './replicaTypes.js'

/**
 * A map as its differences from another one: the map that sender and receiver both know, or else the one that assigns the
 * experts to the ranks in turn. A map of many ranks then fits into one datagram, and takes little of a slow link.
 */
export interface MapDelta {
  ranks: number
  /** Number of experts of each set. */
  experts: number[]
  /** Placements that are only in the map, by set, as ascending codes; each is the difference from the one before. */
  added: number[][]
  /** Placements that the map lacks, in the same form. */
  removed: number[][]
}

const toDifferences = (codes: readonly number[]): number[] => codes.map((code, at) => at === 0 ? code : code - codes[at - 1]!)

const fromDifferences = (differences: readonly number[]): number[] => {
  let code = 0
  return differences.map(difference => { code += difference; return code })
}

const inTurn = (experts: number, ranks: number): Set<number> =>
  new Set(Array.from({ length: experts }, (_, expert) => (expert % ranks) * experts + expert))

const codesOf = (set: ReplicaMap[number], experts: number): Set<number> =>
  new Set(set.flatMap((list, rank) => list.map(expert => rank * experts + expert)))

const expertsIn = (set: ReplicaMap[number] = []): number => set.reduce((count, list) => list.reduce((max, expert) => Math.max(max, expert + 1), count), 0)

const ascending = (codes: Iterable<number>) => [...codes].sort((a, b) => a - b)

/**
 * Returns the differences of a map from a base, or from the assignment in turn.
 *
 * @example
 * toMapDelta([[[0, 1], [1]]]) // rank 0 holds expert 1 besides its own
 */
export const toMapDelta = (map: ReplicaMap, base?: ReplicaMap): MapDelta => {
  const ranks = map[0]?.length ?? 0
  const experts = map.map((set, at) => Math.max(expertsIn(set), expertsIn(base?.[at])))
  const placed = map.map((set, at) => codesOf(set, experts[at]!))
  const bases = experts.map((count, at) => base === undefined ? inTurn(count, ranks) : codesOf(base[at] ?? [], count))
  return {
    ranks,
    experts,
    added: placed.map((codes, at) => toDifferences(ascending(codes).filter(code => !bases[at]!.has(code)))),
    removed: placed.map((codes, at) => toDifferences(ascending(bases[at]!).filter(code => !codes.has(code))))
  }
}

/**
 * Returns the map with the given differences from the base; the experts of each rank are in ascending order.
 *
 * @example
 * fromMapDelta(toMapDelta(map, base), base)
 */
export const fromMapDelta = ({ ranks, experts, added, removed }: MapDelta, base?: ReplicaMap): ReplicaMap => experts.map((count, set) => {
  const codes = base === undefined ? inTurn(count, ranks) : codesOf(base[set] ?? [], count)
  for (const code of fromDifferences(removed[set] ?? [])) codes.delete(code)
  for (const code of fromDifferences(added[set] ?? [])) codes.add(code)
  const map: number[][] = Array.from({ length: ranks }, () => [])
  for (const code of ascending(codes)) map[Math.floor(code / count)]?.push(code % count)
  return map
})
