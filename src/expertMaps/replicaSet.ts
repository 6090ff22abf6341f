/** The placement of one set's experts while a plan changes it. */

export enum PlacementChangeKind {
  Copy = 'copy',
  Drop = 'drop'
}

/** An expert that a rank copies, or no longer holds. */
export interface PlacementChange {
  kind: PlacementChangeKind
  expert: number
  rank: number
}

export interface ReplicaSet {
  /** Load of each rank, multiplied by its slowdown factor. */
  readonly rankLoads: readonly number[]
  /** Load of each rank if all loads were spread evenly. */
  readonly meanLoad: number
  /** Experts that each rank holds. */
  readonly experts: readonly (readonly number[])[]
  /** Copies by rank that the changes so far need. */
  readonly copiesByRank: readonly number[]
  holdersOf (expert: number): readonly number[]
  /** Load that one holder of the expert carries for it. */
  shareOf (expert: number): number
  /** Whether the rank held the expert before any change, so that it needs no copy. */
  heldAtStart (expert: number, rank: number): boolean
  /** Loads of the ranks that the changes affect, after them. */
  loadsAfter (changes: readonly PlacementChange[]): Map<number, number>
  apply (changes: readonly PlacementChange[]): void
}

export interface ReplicaSetOptions {
  experts: readonly (readonly number[])[]
  /** Load by expert. */
  loads: readonly number[]
  /** Slowdown factor by rank: time per unit of load relative to a healthy rank. */
  paces: readonly number[]
}

const holdersAfter: Record<PlacementChangeKind, (holders: readonly number[], rank: number) => number[]> = {
  [PlacementChangeKind.Copy]: (holders, rank) => [...holders, rank],
  [PlacementChangeKind.Drop]: (holders, rank) => holders.filter(holder => holder !== rank)
}

/**
 * Creates the placement of one set.
 *
 * @example
 * createReplicaSet({ experts: [[0, 1], [2]], loads: [6, 2, 2], paces: [1, 1] }).rankLoads // [8, 2]
 */
export const createReplicaSet = ({ experts: initial, loads, paces }: ReplicaSetOptions): ReplicaSet => {
  const experts = initial.map(list => [...list])
  const initialExperts = initial.map(list => new Set(list))
  const holders: number[][] = loads.map(() => [])
  experts.forEach((list, rank) => list.forEach(expert => holders[expert]?.push(rank)))
  const copiesByRank = paces.map(() => 0)
  const rankLoads = paces.map(() => 0)
  const meanLoad = loads.reduce((sum, load) => sum + load, 0) / Math.max(1, experts.length)

  const shareOf = (expert: number) => (loads[expert] ?? 0) / Math.max(1, holders[expert]!.length)

  holders.forEach((ranks, expert) => {
    for (const rank of ranks) rankLoads[rank]! += paces[rank]! * shareOf(expert)
  })

  const loadsAfter = (changes: readonly PlacementChange[]): Map<number, number> => {
    const changedHolders = new Map<number, number[]>()
    for (const { kind, expert, rank } of changes) {
      changedHolders.set(expert, holdersAfter[kind](changedHolders.get(expert) ?? holders[expert]!, rank))
    }
    const after = new Map<number, number>()
    const add = (ranks: readonly number[], load: number) => {
      for (const rank of ranks) after.set(rank, (after.get(rank) ?? rankLoads[rank]!) + paces[rank]! * load / ranks.length)
    }
    for (const [expert, ranks] of changedHolders) {
      add(holders[expert]!, -(loads[expert] ?? 0))
      add(ranks, loads[expert] ?? 0)
    }
    return after
  }

  const applyOne: Record<PlacementChangeKind, (expert: number, rank: number) => void> = {
    [PlacementChangeKind.Copy]: (expert, rank) => {
      experts[rank]!.push(expert)
      if (!initialExperts[rank]!.has(expert)) copiesByRank[rank]! += 1
    },
    [PlacementChangeKind.Drop]: (expert, rank) => {
      experts[rank] = experts[rank]!.filter(held => held !== expert)
      if (!initialExperts[rank]!.has(expert)) copiesByRank[rank]! -= 1
    }
  }

  return {
    rankLoads,
    meanLoad,
    experts,
    copiesByRank,
    holdersOf: expert => holders[expert]!,
    shareOf,
    heldAtStart: (expert, rank) => initialExperts[rank]!.has(expert),
    loadsAfter,
    apply: changes => {
      for (const [rank, load] of loadsAfter(changes)) rankLoads[rank] = load
      for (const { kind, expert, rank } of changes) {
        holders[expert] = holdersAfter[kind](holders[expert]!, rank)
        applyOne[kind](expert, rank)
      }
    }
  }
}
