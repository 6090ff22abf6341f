import { STAGING_SLOTS_MIN } from './constants.js'
import { slotsPerRank } from './expertMap.js'
import { idealTimeOf } from './objective.js'
import type { Copy, ExpertMap, GroupShape, ItemIndex, Replica } from './types.js'

/** Replicas of one item before a change, kept to undo it. */
interface UndoEntry {
  item: ItemIndex
  before: readonly Replica[]
}

/** A map under construction, with the loads, step times and memory use of its ranks. */
export interface PlanState {
  readonly loads: Float64Array
  readonly speeds: Float64Array
  readonly rankLoads: Float64Array
  readonly idealTime: number
  readonly replicas: Array<readonly Replica[]>
  /** Step time up to which ranks accept more load; starts at the perfect split. */
  limitTime: number
  /** Items by rank, unordered. */
  readonly hosted: ItemIndex[][]
  /** Number of copies that the change from the base map needs. */
  readonly copies: number
  /** Number of changes so far, as a position for `undoTo`. */
  readonly position: number
  /** Adds one item of the base map to the loads and slots of its ranks. */
  index (item: ItemIndex): void
  timeOf (rank: number): number
  slowestRank (): number
  /** Tokens that a rank computes for an item. */
  tokensOn (item: ItemIndex, rank: number): number
  /** Whether a rank can stage one more item in addition to all items that it hosts before or after the switch. */
  canStage (rank: number): boolean
  /** Whether the rank can host one more item and still has free slots to stage later changes. */
  hasFreeSlot (rank: number): boolean
  set (item: ItemIndex, replicas: readonly Replica[]): void
  undoTo (position: number): void
  /** Copies that the changes so far need, by item. */
  listCopies (): Copy[]
}

/**
 * Share of a rank, or 0. Uses a plain loop: the search calls it for every hosted expert, and closures would
 * cause most of its garbage.
 */
export const shareOn = (replicas: readonly Replica[], rank: number): number => {
  for (let i = 0; i < replicas.length; i++) {
    if (replicas[i]!.rank === rank) return replicas[i]!.share
  }
  return 0
}

const isHostedBy = (replicas: readonly Replica[], rank: number): boolean => shareOn(replicas, rank) > 0

/** Creates the state of one plan; every item must be indexed before the search. */
export const createPlanState = (
  { shape, base, loads, speeds }: { shape: GroupShape, base: ExpertMap, loads: Float64Array, speeds: Float64Array }
): PlanState => {
  const baseItems: Array<readonly Replica[]> = base.layers.flat()
  const replicas = [...baseItems]
  const rankTotals = new Float64Array(shape.ranks)
  const hosted: ItemIndex[][] = Array.from({ length: shape.ranks }, () => [])
  /** Number of items hosted before or after the switch; old weights stay loaded until the new map is in use. */
  const occupiedSlots = new Int32Array(shape.ranks)
  const slots = slotsPerRank(shape)
  const undoLog: UndoEntry[] = []
  const idealTime = idealTimeOf(loads, speeds)
  let copies = 0

  const remove = (item: ItemIndex, { rank, share }: Replica) => {
    rankTotals[rank]! -= share * loads[item]!
    const items = hosted[rank]!
    const at = items.indexOf(item)
    items[at] = items[items.length - 1]!
    items.pop()
    if (isHostedBy(baseItems[item]!, rank)) return
    occupiedSlots[rank]! -= 1
    copies -= 1
  }

  const add = (item: ItemIndex, { rank, share }: Replica) => {
    rankTotals[rank]! += share * loads[item]!
    hosted[rank]!.push(item)
    if (isHostedBy(baseItems[item]!, rank)) return
    occupiedSlots[rank]! += 1
    copies += 1
  }

  const replace = (item: ItemIndex, next: readonly Replica[]) => {
    for (const replica of replicas[item]!) remove(item, replica)
    for (const replica of next) add(item, replica)
    replicas[item] = next
  }

  const timeOf = (rank: number) => rankTotals[rank]! / speeds[rank]!

  return {
    loads,
    speeds,
    rankLoads: rankTotals,
    idealTime,
    limitTime: idealTime,
    replicas,
    hosted,
    get copies () { return copies },
    get position () { return undoLog.length },
    index: item => {
      for (const { rank, share } of baseItems[item]!) {
        rankTotals[rank]! += share * loads[item]!
        hosted[rank]!.push(item)
        occupiedSlots[rank]! += 1
      }
    },
    timeOf,
    slowestRank: () => {
      let slowest = 0
      for (let rank = 1; rank < shape.ranks; rank++) if (timeOf(rank) > timeOf(slowest)) slowest = rank
      return slowest
    },
    tokensOn: (item, rank) => shareOn(replicas[item]!, rank) * loads[item]!,
    canStage: rank => occupiedSlots[rank]! < slots,
    hasFreeSlot: rank => hosted[rank]!.length < slots - STAGING_SLOTS_MIN,
    set: (item, next) => {
      undoLog.push({ item, before: replicas[item]! })
      replace(item, next)
    },
    undoTo: position => {
      while (undoLog.length > position) {
        const { item, before } = undoLog.pop()!
        replace(item, before)
      }
    },
    listCopies: () => [...new Set(undoLog.map(({ item }) => item))].sort((a, b) => a - b).flatMap(item =>
      replicas[item]!.filter(({ rank }) => !isHostedBy(baseItems[item]!, rank)).map(({ rank }) => ({ item, toRank: rank })))
  }
}
