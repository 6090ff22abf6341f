import { SHARE_UNITS } from './constants.js'
import { type PlanState, shareOn } from './planState.js'
import type { ItemIndex, Replica } from './types.js'

/** How one search step moved load off the slowest rank. */
export enum PlanStepKind {
  Shift = 'shift',
  Copy = 'copy',
  Swap = 'swap',
  Retire = 'retire'
}

/** Minimum load that a step must move, as a fraction of the rank's load in a perfect split. */
const RELIEF_MIN_RATIO = 0.001
/**
 * Moving a whole expert may exceed the wanted relief by this factor, because it frees the slot that a replica
 * would keep.
 */
const OVERSHOOT_RATIO = 1.1
/**
 * Below this fraction of the wanted relief, a replica of a hotter expert is preferred, as it saves further
 * copies.
 */
const WHOLE_MOVE_RATIO = 0.7

const sortByRank = (replicas: Replica[]): Replica[] =>
  replicas.filter(({ share }) => share > 0).sort((a, b) => a.rank - b.rank)

/**
 * Moves a share of an item's tokens between two ranks; `to` becomes a host, and a host left without tokens is
 * dropped.
 */
const shiftShare = (replicas: readonly Replica[], from: number, to: number, share: number): Replica[] => {
  const available = Math.round(shareOn(replicas, from) * SHARE_UNITS)
  const units = Math.min(available, Math.max(1, Math.round(share * SHARE_UNITS)))
  const next = replicas.map(replica => replica.rank === from
    ? { rank: from, share: (available - units) / SHARE_UNITS }
    : replica)
  const target = next.findIndex(({ rank }) => rank === to)
  const added = units / SHARE_UNITS
  if (target < 0) return sortByRank([...next, { rank: to, share: added }])
  next[target] = { rank: to, share: (Math.round(next[target]!.share * SHARE_UNITS) + units) / SHARE_UNITS }
  return sortByRank(next)
}

/** Tokens to move from a slow to a fast rank without taking `to` above the limit or `from` below it. */
const wantedRelief = (state: PlanState, from: number, to: number): number => Math.min(
  state.rankLoads[from]! - state.limitTime * state.speeds[from]!,
  state.limitTime * state.speeds[to]! - state.rankLoads[to]!
)

const reliefMin = (state: PlanState, from: number) => RELIEF_MIN_RATIO * state.idealTime * state.speeds[from]!

const moveTokens = (state: PlanState, item: ItemIndex, from: number, to: number, tokens: number) => {
  state.set(item, shiftShare(state.replicas[item]!, from, to, tokens / state.loads[item]!))
}

/** Shifts tokens between ranks that already host the expert, without a copy. */
const tryShift = (state: PlanState, from: number): boolean => {
  let best = { item: -1, to: -1, relief: reliefMin(state, from) }
  for (const item of state.hosted[from]!) {
    const replicas = state.replicas[item]!
    if (replicas.length < 2) continue
    for (const { rank: to } of replicas) {
      if (to === from) continue
      const relief = Math.min(wantedRelief(state, from, to), state.tokensOn(item, from))
      if (relief > best.relief) best = { item, to, relief }
    }
  }
  if (best.item < 0) return false
  moveTokens(state, best.item, from, best.to, best.relief)
  return true
}

const leastLoaded = (state: PlanState, accepts: (rank: number) => boolean): number => {
  let found = -1
  let headroom = 0
  for (let rank = 0; rank < state.speeds.length; rank++) {
    const free = state.limitTime * state.speeds[rank]! - state.rankLoads[rank]!
    if (free <= headroom || !accepts(rank)) continue
    found = rank
    headroom = free
  }
  return found
}

/** Hottest item of a rank, and the hottest one that is at most `limit` tokens. */
const hottestItems = (state: PlanState, from: number, to: number, limit: number) => {
  let hottest = -1
  let fitting = -1
  let hottestTokens = 0
  let fittingTokens = 0
  for (const item of state.hosted[from]!) {
    const tokens = state.tokensOn(item, from)
    if (tokens <= fittingTokens && tokens <= hottestTokens) continue
    if (shareOn(state.replicas[item]!, to) > 0) continue
    if (tokens > hottestTokens) {
      hottest = item
      hottestTokens = tokens
    }
    if (tokens > fittingTokens && tokens <= limit) {
      fitting = item
      fittingTokens = tokens
    }
  }
  return { hottest, fitting, hottestTokens, fittingTokens }
}

/** Copies one expert to the rank with the most headroom: moves it completely if it fits, else adds a replica. */
const tryCopy = (state: PlanState, from: number): boolean => {
  const to = leastLoaded(state, rank => rank !== from && state.canStage(rank) && state.hasFreeSlot(rank))
  if (to < 0) return false
  const wanted = wantedRelief(state, from, to)
  if (wanted < reliefMin(state, from)) return false
  const { hottest, fitting, hottestTokens, fittingTokens } = hottestItems(state, from, to, wanted * OVERSHOOT_RATIO)
  if (hottest < 0) return false
  if (fitting >= 0 && fittingTokens >= Math.min(wanted * WHOLE_MOVE_RATIO, hottestTokens)) {
    moveTokens(state, fitting, from, to, fittingTokens)
  } else {
    moveTokens(state, hottest, from, to, Math.min(wanted, hottestTokens))
  }
  return true
}

/** Exchanges a hot expert for a colder one when the receiving rank has no slot for another expert. */
const trySwap = (state: PlanState, from: number): boolean => {
  if (!state.canStage(from)) return false
  const to = leastLoaded(state, rank => rank !== from && state.canStage(rank))
  if (to < 0) return false
  const wanted = wantedRelief(state, from, to)
  const { hottest, hottestTokens } = hottestItems(state, from, to, wanted)
  if (wanted < reliefMin(state, from) || hottest < 0) return false
  let best = { item: -1, distance: wanted - reliefMin(state, from) }
  for (const item of state.hosted[to]!) {
    const distance = Math.abs(hottestTokens - state.tokensOn(item, to) - wanted)
    if (distance >= best.distance || shareOn(state.replicas[item]!, from) > 0) continue
    best = { item, distance }
  }
  if (best.item < 0) return false
  const returnedTokens = state.tokensOn(best.item, to)
  moveTokens(state, hottest, from, to, hottestTokens)
  moveTokens(state, best.item, to, from, returnedTokens)
  return true
}

const STEP_TABLE: ReadonlyArray<readonly [PlanStepKind, (state: PlanState, from: number) => boolean]> = [
  [PlanStepKind.Shift, tryShift],
  [PlanStepKind.Copy, tryCopy],
  [PlanStepKind.Swap, trySwap]
]

/** Moves load off a rank by the cheapest applicable step; undefined if there is none. */
export const relieve = (state: PlanState, from: number): PlanStepKind | undefined =>
  STEP_TABLE.find(([, attempt]) => attempt(state, from))?.[0]

/**
 * Drops the coldest replica of a rank without a free slot, if another host can take its tokens
 * without exceeding the perfect split. The slot becomes free after the switch.
 */
export const retireReplica = (state: PlanState, rank: number): boolean => {
  if (state.hasFreeSlot(rank)) return false
  let best = { item: -1, to: -1, tokens: Number.POSITIVE_INFINITY }
  for (const item of state.hosted[rank]!) {
    const tokens = state.tokensOn(item, rank)
    if (state.replicas[item]!.length < 2 || tokens >= best.tokens) continue
    for (const { rank: to } of state.replicas[item]!) {
      if (to === rank || state.rankLoads[to]! + tokens > state.idealTime * state.speeds[to]!) continue
      best = { item, to, tokens }
    }
  }
  if (best.item < 0) return false
  moveTokens(state, best.item, rank, best.to, Math.max(best.tokens, state.loads[best.item]! / SHARE_UNITS))
  return true
}
