import { createRunningHash } from '../core/index.js'
import { REORDER_CHUNKS_MAX } from './constants.js'

/** Reorders the chunks of one response. */
export interface ChunkAssembler {
  /** Sequence number of the first missing chunk. */
  readonly nextSequence: number
  /** Accepts a chunk and returns the chunks that are now in order. */
  add (sequence: number, bytes: Uint8Array): Uint8Array[]
  /** Whether the chunks returned so far are exactly the complete response. */
  matches (count: number, hash: string): boolean
}

/**
 * Creates the assembler of one response.
 *
 * @example
 * const assembler = createChunkAssembler()
 * assembler.add(1, second) // []
 * assembler.add(0, first) // [first, second]
 */
export const createChunkAssembler = (): ChunkAssembler => {
  const hash = createRunningHash()
  const outOfOrder = new Map<number, Uint8Array>()
  let nextSequence = 0

  return {
    get nextSequence () { return nextSequence },
    add: (sequence, bytes) => {
      if (sequence < nextSequence) return []
      if (sequence > nextSequence) {
        if (outOfOrder.size < REORDER_CHUNKS_MAX) outOfOrder.set(sequence, bytes)
        return []
      }
      const inOrder: Uint8Array[] = []
      for (let chunk: Uint8Array | undefined = bytes; chunk !== undefined; chunk = outOfOrder.get(nextSequence)) {
        outOfOrder.delete(nextSequence)
        hash.update(chunk)
        inOrder.push(chunk)
        nextSequence += 1
      }
      return inOrder
    },
    matches: (count, expectedHash) => nextSequence === count && hash.digest() === expectedHash
  }
}
