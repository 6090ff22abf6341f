import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** A seeded random number generator; the same seed gives the same sequence. */
export interface Random {
  /** Uniform in [0, 1). */
  next (): number
  /** Uniform integer in [min, max], both included. */
  int (min: number, max: number): number
  /** Uniformly chosen item; throws a RangeError on an empty list. */
  pick<T> (items: readonly T[]): T
  /** Exponentially distributed number with the given mean. */
  exponential (mean: number): number
  /** Returns a shuffled copy. */
  shuffle<T> (items: readonly T[]): T[]
}

/** Mixes the bits of a seed; without it, the first numbers of generators with adjacent seeds would hardly differ. */
const mixSeed = (seed: number): number => {
  let mixed = Math.imul(seed ^ (seed >>> 16), 0x21f0aaad)
  mixed = Math.imul(mixed ^ (mixed >>> 15), 0x735a2d97)
  return mixed ^ (mixed >>> 15)
}

/**
 * Returns a random number generator for one component.
 *
 * @example
 * const random = createRandom(42)
 * const delayMs = random.int(10, 20)
 */
export const createRandom = (seed: number): Random => {
  const generator = xoroshiro128plus(mixSeed(seed | 0))
  const next = () => uniformFloat64(generator)
  const int = (min: number, max: number) => uniformInt(generator, min, max)
  const pick = <T>(items: readonly T[]): T => {
    if (items.length === 0) throw new RangeError('pick: the list is empty')
    return items[int(0, items.length - 1)] as T
  }
  const shuffle = <T>(items: readonly T[]): T[] => {
    const copy = [...items]
    for (let i = copy.length - 1; i > 0; i--) {
      const j = int(0, i)
      ;[copy[i], copy[j]] = [copy[j] as T, copy[i] as T]
    }
    return copy
  }
  return { next, int, pick, shuffle, exponential: mean => -mean * Math.log(1 - next()) }
}
