import { ResultCode } from '../core/index.js'
import { REORDER_CHUNKS_MAX } from './constants.js'
import type { ChunkFrame, EndFrame, ResponseHead } from './frames.js'
import { createResponseHash } from './responseHash.js'

/** Result of accepting one frame. */
export enum AssemblyKind {
  /** Nothing to deliver yet, or a duplicate was dropped. */
  Waiting = 'waiting',
  Delivered = 'delivered',
  Complete = 'complete',
  /** The upstream or agent ended the response with an error code. */
  Failed = 'failed',
  /** The chunk count or the hash differs: the response must not be delivered as complete. */
  Corrupt = 'corrupt'
}

export interface Assembly {
  kind: AssemblyKind
  head?: ResponseHead
  /** Body bytes in order, ready for the caller. */
  bytes: Uint8Array[]
  code: ResultCode
}

/** Reorders the frames of one attempt and verifies the complete response. */
export interface ResponseAssembler {
  acceptChunk (frame: ChunkFrame): Assembly
  acceptEnd (frame: EndFrame): Assembly
  /** Sequence number at which a resume must continue. */
  readonly nextSequence: number
  readonly droppedCount: number
  /** Whether a frame is missing before one that has already arrived. */
  readonly hasGap: boolean
}

/**
 * Creates the assembler of one attempt. Frames may arrive late, duplicated or out of order; a response
 * completes only if it has a head, and its chunk count and hash match those in the end frame.
 *
 * @example
 * const assembler = createResponseAssembler('entry1-0')
 * assembler.acceptChunk({ kind: FrameKind.Chunk, requestId: 'entry1-0', attempt: 0, sequence: 0, head })
 */
export const createResponseAssembler = (requestId: string): ResponseAssembler => {
  const hash = createResponseHash(requestId)
  const outOfOrder = new Map<number, ChunkFrame>()
  let nextSequence = 0
  let end: EndFrame | undefined
  let droppedCount = 0
  let hasHead = false

  const deliverReady = (): Assembly => {
    const assembly: Assembly = { kind: AssemblyKind.Waiting, bytes: [], code: ResultCode.Ok }
    for (let chunk = outOfOrder.get(nextSequence); chunk !== undefined; chunk = outOfOrder.get(nextSequence)) {
      outOfOrder.delete(nextSequence)
      nextSequence += 1
      assembly.kind = AssemblyKind.Delivered
      if (chunk.head !== undefined) {
        hash.addHead(chunk.head)
        assembly.head = chunk.head
        hasHead = true
      }
      if (chunk.bytes !== undefined) {
        hash.addBytes(chunk.bytes)
        assembly.bytes.push(chunk.bytes)
      }
    }
    return checkCompletion(assembly)
  }

  const checkCompletion = (assembly: Assembly): Assembly => {
    if (end === undefined) return assembly
    if (end.code !== ResultCode.Ok) return { ...assembly, kind: AssemblyKind.Failed, code: end.code }
    if (nextSequence < end.chunkCount) return assembly
    const isIntact = hasHead && nextSequence === end.chunkCount && outOfOrder.size === 0 && hash.digest() === end.hash
    if (!isIntact) return { ...assembly, kind: AssemblyKind.Corrupt, code: ResultCode.AnswerLost }
    return { ...assembly, kind: AssemblyKind.Complete }
  }

  const dropFrame = (): Assembly => {
    droppedCount += 1
    return { kind: AssemblyKind.Waiting, bytes: [], code: ResultCode.Ok }
  }

  return {
    acceptChunk: frame => {
      const isDuplicate = frame.sequence < nextSequence || outOfOrder.has(frame.sequence)
      if (isDuplicate || frame.sequence >= nextSequence + REORDER_CHUNKS_MAX) return dropFrame()
      outOfOrder.set(frame.sequence, frame)
      return deliverReady()
    },
    acceptEnd: frame => {
      end = frame
      return deliverReady()
    },
    get nextSequence () { return nextSequence },
    get droppedCount () { return droppedCount },
    get hasGap () { return outOfOrder.size > 0 || (end !== undefined && nextSequence < end.chunkCount) }
  }
}
