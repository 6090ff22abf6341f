import { type PlacementChange, PlacementChangeKind, type ReplicaSet } from './replicaSet.js'

/** Number of hottest experts on the busiest rank, and of least loaded ranks, considered for a change. */
const CANDIDATE_EXPERTS_MAX = 4
const CANDIDATE_TARGETS_MAX = 6
/** Peak load relative to the mean up to which a set counts as balanced. */
const BALANCED_PEAK_RATIO = 1.06
/** Minimum reduction of the load of the busiest rank, as a fraction of the mean. */
const RELIEF_MIN = 0.01
/** Minimum reduction of the peak, as a fraction of the mean, where copies are scarce. */
const PEAK_GAIN_MIN = 0.02
/** Reduction of the busiest rank's load, as a fraction of the mean, that outweighs one more copy. */
const COPY_WEIGHT = 0.02

/** Changes that take load off the busiest rank of a set. */
export interface Relief {
  changes: readonly PlacementChange[]
  copies: number
  /** By how much the busiest rank's load exceeds the highest load of all affected ranks after the changes. */
  gain: number
}

export interface ReliefOptions {
  placementsMax: number
  /** Whether a rank may copy one more expert. */
  mayCopy: (rank: number) => boolean
  /** Whether copies are so slow that each has to lower the peak by itself, and that replicas are kept for later demand. */
  areCopiesScarce: boolean
}

const copy = (expert: number, rank: number): PlacementChange => ({ kind: PlacementChangeKind.Copy, expert, rank })
const drop = (expert: number, rank: number): PlacementChange => ({ kind: PlacementChangeKind.Drop, expert, rank })

const ranksByLoad = ({ rankLoads }: ReplicaSet): number[] =>
  rankLoads.map((_, rank) => rank).sort((a, b) => rankLoads[a]! - rankLoads[b]!)

/**
 * Finds the best changes that relieve the busiest rank: a hot expert gets another holder or moves to one, in exchange for
 * an expert of that rank if it is full. Changes are rated by the ranks that they affect, not by the peak of the set:
 * where several ranks are about as busy as the busiest one, each has to be relieved before the peak falls. Scarce copies
 * are spent only where they lower the peak at once.
 *
 * @example
 * findRelief(set, { placementsMax: 3, mayCopy: () => true, areCopiesScarce: false })?.changes
 */
export const findRelief = (set: ReplicaSet, { placementsMax, mayCopy, areCopiesScarce }: ReliefOptions): Relief | undefined => {
  const { rankLoads, meanLoad, experts, holdersOf } = set
  const order = ranksByLoad(set)
  const busiest = order.at(-1)
  if (busiest === undefined) return undefined
  const peak = rankLoads[busiest]!
  if (meanLoad === 0 || peak <= BALANCED_PEAK_RATIO * meanLoad) return undefined

  let best: Relief | undefined
  const gainMin = (areCopiesScarce ? PEAK_GAIN_MIN : RELIEF_MIN) * meanLoad

  /** Highest load after changes: of the affected ranks, or of all ranks where copies are scarce. */
  const highestAfter = (loadsAfter: Map<number, number>): number => {
    const highest = Math.max(...loadsAfter.values())
    if (!areCopiesScarce) return highest
    const unaffected = order.findLast(rank => !loadsAfter.has(rank))
    return unaffected === undefined ? highest : Math.max(highest, rankLoads[unaffected]!)
  }

  const consider = (changes: readonly PlacementChange[]) => {
    const gain = peak - highestAfter(set.loadsAfter(changes))
    const copies = changes.filter(({ kind, expert, rank }) => kind === PlacementChangeKind.Copy && !set.heldAtStart(expert, rank)).length
    const value = gain - COPY_WEIGHT * meanLoad * copies
    const bestValue = best === undefined ? -Infinity : best.gain - COPY_WEIGHT * meanLoad * best.copies
    if (gain > gainMin && value > bestValue) best = { changes, copies, gain }
  }

  const canCopy = (expert: number, rank: number) => set.heldAtStart(expert, rank) || mayCopy(rank)

  /** Considers to copy an expert to a full rank, which drops one of its own or exchanges it with the busiest rank. */
  const considerExchanges = (expert: number, target: number) => {
    for (const other of experts[target]!) {
      const isSpare = holdersOf(other).length > 1
      const exchanged = [copy(expert, target), drop(other, target), drop(expert, busiest)]
      if (isSpare) consider([copy(expert, target), drop(other, target)])
      if (areCopiesScarce) continue
      if (isSpare) consider(exchanged)
      else if (canCopy(other, busiest)) consider([...exchanged, copy(other, busiest)])
    }
  }

  const considerTarget = (expert: number, target: number) => {
    if (experts[target]!.length >= placementsMax) return considerExchanges(expert, target)
    consider([copy(expert, target)])
    if (!areCopiesScarce) consider([copy(expert, target), drop(expert, busiest)])
  }

  const hottest = [...experts[busiest]!].sort((a, b) => set.shareOf(b) - set.shareOf(a)).slice(0, CANDIDATE_EXPERTS_MAX)
  for (const expert of hottest) {
    if (holdersOf(expert).length > 1) consider([drop(expert, busiest)])
    order
      .filter(rank => rank !== busiest && !holdersOf(expert).includes(rank) && canCopy(expert, rank))
      .slice(0, CANDIDATE_TARGETS_MAX)
      .forEach(target => considerTarget(expert, target))
  }
  return best
}
