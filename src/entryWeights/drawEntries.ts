import type { Random } from '../core/index.js'
import { LIST_ADDRESSES_MIN } from './constants.js'

/** Absorbs rounding where equal weights add up to a whole number of entries. */
const ROUNDING = 1e-9

export interface DrawOptions<Entry> {
  random: Random
  entries: readonly Entry[]
  weightOf: (entry: Entry) => number
  countMax: number
}

/**
 * Number of entries in a list. A caller picks one of its list with equal chances, so the shares follow the weights only if
 * no entry would have to be in more than every list: the heaviest one bounds the number.
 */
const listLength = (weights: readonly number[], countMax: number): number => {
  const sum = weights.reduce((total, weight) => total + weight, 0)
  const exact = Math.floor(sum / Math.max(...weights) + ROUNDING)
  return Math.min(countMax, weights.length, Math.max(LIST_ADDRESSES_MIN, exact))
}

/**
 * Chance of each entry to be in a list of `count`: in proportion to its weight, and 1 where that would be more. What such
 * entries cannot take is shared by the others.
 */
export const inclusionChances = (weights: readonly number[], count: number): number[] => {
  const certain = new Set<number>()
  for (;;) {
    const sum = weights.reduce((total, weight, at) => certain.has(at) ? total : total + weight, 0)
    const perWeight = (count - certain.size) / sum
    const added = weights.flatMap((weight, at) => !certain.has(at) && weight * perWeight > 1 + ROUNDING ? [at] : [])
    if (added.length === 0) return weights.map((weight, at) => certain.has(at) ? 1 : weight * perWeight)
    for (const at of added) certain.add(at)
  }
}

/**
 * Draws a list of different entries in random order, so that a caller that picks one of its list with equal chances reaches
 * each entry in proportion to its weight. With equal weights, it is a uniform draw of up to `countMax`.
 *
 * Systematic sampling: the chances are laid end to end in random order, and the list has the entries at equal distances of 1
 * from a random start. It gives each entry exactly its chance and every list the same length.
 *
 * @example
 * drawEntries({ random, entries, weightOf: entry => entry.capacity, countMax: 64 })
 */
export const drawEntries = <Entry>({ random, entries, weightOf, countMax }: DrawOptions<Entry>): Entry[] => {
  const shuffled = random.shuffle(entries)
  const weights = shuffled.map(weightOf)
  const count = shuffled.length === 0 ? 0 : listLength(weights, countMax)
  if (count === shuffled.length) return shuffled
  const chances = inclusionChances(weights, count)
  const start = random.next()
  const drawn: Entry[] = []
  let reached = 0
  for (const [at, entry] of shuffled.entries()) {
    reached += chances[at]!
    if (reached + ROUNDING >= start + drawn.length && drawn.length < count) drawn.push(entry)
  }
  // Neighbours in the order are drawn together more seldom than others, which must not show in the order of the list.
  return random.shuffle(drawn)
}
