import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** A seeded source of random numbers; the same seed gives the same sequence. */
export interface Random {
  /** Uniform in [0, 1). */
  next (): number
  /** Uniform integer in [min, max], both included. */
  int (min: number, max: number): number
  /** Uniform choice; throws a RangeError on an empty list. */
  pick<T> (items: readonly T[]): T
  /** Exponentially distributed with the given mean, in the unit of the mean. */
  exponential (mean: number): number
  /** A shuffled copy. */
  shuffle<T> (items: readonly T[]): T[]
}

/** Spreads neighbouring seeds over all bits; the generator's first numbers would hardly differ without it. */
const mixSeed = (seed: number): number => {
  let mixed = Math.imul(seed ^ (seed >>> 16), 0x21f0aaad)
  mixed = Math.imul(mixed ^ (mixed >>> 15), 0x735a2d97)
  return mixed ^ (mixed >>> 15)
}

/**
 * Returns a random source for one component.
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
    if (items.length === 0) throw new RangeError('cannot pick from an empty list')
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
