import { createRunningHash } from '../core/index.js'
import { EARLY_CHUNKS_MAX } from './constants.js'

/** Puts the chunks of one answer into order. */
export interface AnswerAssembly {
  /** First sequence number that is missing. */
  readonly nextSequence: number
  /** Takes a chunk and returns those that are now in order. */
  add (sequence: number, bytes: Uint8Array): Uint8Array[]
  /** Whether the chunks taken so far are exactly the complete answer. */
  matches (count: number, hash: string): boolean
}

/**
 * Creates the assembly of one answer.
 *
 * @example
 * const assembly = createAnswerAssembly()
 * assembly.add(1, second) // []
 * assembly.add(0, first) // [first, second]
 */
export const createAnswerAssembly = (): AnswerAssembly => {
  const hash = createRunningHash()
  const early = new Map<number, Uint8Array>()
  let nextSequence = 0

  return {
    get nextSequence () { return nextSequence },
    add: (sequence, bytes) => {
      if (sequence < nextSequence) return []
      if (sequence > nextSequence) {
        if (early.size < EARLY_CHUNKS_MAX) early.set(sequence, bytes)
        return []
      }
      const inOrder: Uint8Array[] = []
      for (let chunk: Uint8Array | undefined = bytes; chunk !== undefined; chunk = early.get(nextSequence)) {
        early.delete(nextSequence)
        hash.update(chunk)
        inOrder.push(chunk)
        nextSequence += 1
      }
      return inOrder
    },
    matches: (count, expectedHash) => nextSequence === count && hash.digest() === expectedHash
  }
}
