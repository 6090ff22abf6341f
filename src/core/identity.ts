import type { Random } from './random.js'

/** Identifies one run of a process; new at each start and never reused. */
export type Incarnation = string

const INCARNATION_DIGITS = 16

/**
 * Creates the identity of this run of a process.
 *
 * @example
 * const incarnation = createIncarnation(createRandom(seed))
 */
export const createIncarnation = (random: Random): Incarnation =>
  Array.from({ length: INCARNATION_DIGITS }, () => random.int(0, 15).toString(16)).join('')

/** Returns a generator of request ids, which consist of the incarnation and a counter and are never reused. */
export const createRequestIds = (incarnation: Incarnation): (() => string) => {
  let counter = 0
  return () => `${incarnation}-${(counter++).toString(36)}`
}
