import type { ExpertLoads, ReplicaLimits, ReplicaMap, ReplicaPlan } from './replicaTypes.js'

/** A rank this close to the mean is not worth another copy. */
const BALANCED_PEAK = 1.06
/** Smallest fall of a set's peak, in parts of its mean, that is worth a copy. */
const COPY_GAIN_MIN = 0.02
/** Hottest experts of the busiest rank, and least loaded ranks, that are tried. */
const EXPERTS_TRIED = 4
const TARGETS_TRIED = 4

/** One change of a set: a copy to a rank, an expert dropped from a rank, or both. */
interface Move {
  copy?: { expert: number, rank: number }
  drop?: { expert: number, rank: number }
  peak: number
}

interface SetState {
  /** `holders[expert]` */
  holders: Set<number>[]
  loads: readonly number[]
  rankLoads: number[]
  mean: number
}

const shareOf = ({ loads, holders }: SetState, expert: number) => (loads[expert] ?? 0) / Math.max(1, holders[expert]!.size)

const sumRankLoads = (state: Pick<SetState, 'holders' | 'loads'>, ranks: number): number[] => {
  const rankLoads: number[] = Array(ranks).fill(0)
  state.holders.forEach((holders, expert) => {
    for (const rank of holders) rankLoads[rank]! += (state.loads[expert] ?? 0) / holders.size
  })
  return rankLoads
}

const createSetState = (ranksOfSet: readonly (readonly number[])[], loads: readonly number[]): SetState => {
  const holders = loads.map(() => new Set<number>())
  ranksOfSet.forEach((experts, rank) => experts.forEach(expert => holders[expert]?.add(rank)))
  const rankLoads = sumRankLoads({ holders, loads }, ranksOfSet.length)
  return { holders, loads, rankLoads, mean: rankLoads.reduce((sum, load) => sum + load, 0) / ranksOfSet.length }
}

const peakOf = (rankLoads: readonly number[]) => Math.max(...rankLoads)

const heldBy = ({ holders }: SetState, rank: number): number[] =>
  holders.flatMap((ranks, expert) => ranks.has(rank) ? [expert] : [])

const apply = (state: SetState, { copy, drop }: Move) => {
  if (copy !== undefined) state.holders[copy.expert]!.add(copy.rank)
  if (drop !== undefined) state.holders[drop.expert]!.delete(drop.rank)
  state.rankLoads = sumRankLoads(state, state.rankLoads.length)
}

/** Peak after a move, from the ranks that it touches. */
const peakAfter = (state: SetState, { copy, drop }: Omit<Move, 'peak'>): number => {
  const rankLoads = [...state.rankLoads]
  const change = (expert: number, from: number, to: number) => {
    const load = state.loads[expert] ?? 0
    for (const rank of state.holders[expert]!) rankLoads[rank]! += load / to - load / from
  }
  if (copy !== undefined) {
    const count = state.holders[copy.expert]!.size
    change(copy.expert, count, count + 1)
    rankLoads[copy.rank]! += (state.loads[copy.expert] ?? 0) / (count + 1)
  }
  if (drop !== undefined) {
    const count = state.holders[drop.expert]!.size
    rankLoads[drop.rank]! -= (state.loads[drop.expert] ?? 0) / count
    for (const rank of state.holders[drop.expert]!) {
      if (rank !== drop.rank) rankLoads[rank]! += (state.loads[drop.expert] ?? 0) * (1 / (count - 1) - 1 / count)
    }
  }
  return peakOf(rankLoads)
}

/** The replica whose loss costs the other holders least. */
const cheapestDrop = (state: SetState, rank: number): number | undefined => heldBy(state, rank)
  .filter(expert => state.holders[expert]!.size > 1)
  .sort((a, b) => shareOf(state, a) - shareOf(state, b))[0]

const findBestMove = (
  state: SetState, { placementsMax, canCopyTo }: { placementsMax: number, canCopyTo: (rank: number) => boolean }
): Move | undefined => {
  const busiest = state.rankLoads.indexOf(peakOf(state.rankLoads))
  const hottest = heldBy(state, busiest).sort((a, b) => shareOf(state, b) - shareOf(state, a)).slice(0, EXPERTS_TRIED)
  const moves: Omit<Move, 'peak'>[] = []
  for (const expert of hottest) {
    if (state.holders[expert]!.size > 1) moves.push({ drop: { expert, rank: busiest } })
    const targets = state.rankLoads
      .map((load, rank) => ({ load, rank }))
      .filter(({ rank }) => canCopyTo(rank) && !state.holders[expert]!.has(rank))
      .sort((a, b) => a.load - b.load)
      .slice(0, TARGETS_TRIED)
    for (const { rank } of targets) {
      if (heldBy(state, rank).length < placementsMax) {
        moves.push({ copy: { expert, rank } })
        continue
      }
      const dropped = cheapestDrop(state, rank)
      if (dropped !== undefined && dropped !== expert) moves.push({ copy: { expert, rank }, drop: { expert: dropped, rank } })
    }
  }
  const rated = moves.map(move => ({ ...move, peak: peakAfter(state, move) }))
  return rated.sort((a, b) => a.peak - b.peak || Number(a.copy !== undefined) - Number(b.copy !== undefined))[0]
}

const relativePeak = (states: readonly SetState[]): number => {
  const total = states.reduce((sum, { mean }) => sum + mean, 0)
  return total === 0 ? 1 : states.reduce((sum, { rankLoads }) => sum + peakOf(rankLoads), 0) / total
}

/**
 * Plans the next map of a group: hot experts get more holders, as far as the copies allowed reach. Replicas
 * that are not in the way stay, as demand that moved away often comes back.
 *
 * @example
 * planReplicas(map, loads, { placementsMax: 11, copiesMax: 4, copiesPerRankMax: 2 }).peakAfter
 */
export const planReplicas = (
  base: ReplicaMap, loads: ExpertLoads, { placementsMax, copiesMax, copiesPerRankMax }: ReplicaLimits
): ReplicaPlan => {
  const states = base.map((ranksOfSet, set) => createSetState(ranksOfSet, loads[set] ?? []))
  const ranks = base[0]?.length ?? 0
  const copiesByRank: number[] = Array(ranks).fill(0)
  const copiesBySet = states.map(() => Array<number>(ranks).fill(0))
  const peakBefore = relativePeak(states)
  let copies = 0

  const bestMoves = states.map((state, set) => ({ state, set })).map(({ state, set }) => () => {
    if (state.mean === 0 || peakOf(state.rankLoads) <= BALANCED_PEAK * state.mean) return undefined
    const canCopyTo = (rank: number) => copiesByRank[rank]! < copiesPerRankMax && copiesBySet[set]![rank]! < copiesMax
    const move = findBestMove(state, { placementsMax, canCopyTo })
    const gain = move === undefined ? 0 : peakOf(state.rankLoads) - move.peak
    return move !== undefined && gain > COPY_GAIN_MIN * state.mean ? { state, set, move, gain } : undefined
  })

  for (;;) {
    const best = bestMoves.map(find => find()).filter(found => found !== undefined).sort((a, b) => b.gain - a.gain)[0]
    if (best === undefined) break
    const { state, set, move } = best
    apply(state, move)
    if (move.copy === undefined) continue
    const isNew = !base[set]![move.copy.rank]!.includes(move.copy.expert)
    copies += Number(isNew)
    copiesByRank[move.copy.rank]! += Number(isNew)
    copiesBySet[set]![move.copy.rank]! += Number(isNew)
  }
  const map = states.map(state => Array.from({ length: ranks }, (_, rank) => heldBy(state, rank)))
  return { map, copies, peakBefore, peakAfter: relativePeak(states) }
}
