import { ResultCode } from '../core/index.js'
import { REORDER_CHUNKS_MAX } from './constants.js'
import type { ChunkFrame, EndFrame, ResponseHead } from './frames.js'
import { createResponseHash } from './responseHash.js'

/** What became of one frame. */
export enum AssemblyKind {
  /** Nothing to deliver yet, or a copy that was dropped. */
  Waiting = 'waiting',
  Delivered = 'delivered',
  Complete = 'complete',
  /** The upstream or agent ended the response with an error code. */
  Failed = 'failed',
  /** Count or hash differ: the response is damaged and must not be passed on as whole. */
  Corrupt = 'corrupt'
}

export interface Assembly {
  kind: AssemblyKind
  head?: ResponseHead
  /** Body bytes in order, ready for the caller. */
  bytes: Uint8Array[]
  code: ResultCode
}

/** Puts the frames of one attempt back in order and checks the whole response. */
export interface ResponseAssembler {
  acceptChunk (frame: ChunkFrame): Assembly
  acceptEnd (frame: EndFrame): Assembly
  /** Sequence number at which a resume must continue. */
  readonly nextSequence: number
  readonly droppedCount: number
  /** Whether frames are missing before one that has arrived. */
  readonly hasGap: boolean
}

/**
 * Creates the assembler of one attempt. Frames may arrive late, twice or out of order; only a
 * response with the announced count and hash completes.
 *
 * @example
 * const assembler = createResponseAssembler('entry1-0')
 * assembler.acceptChunk({ kind: FrameKind.Chunk, requestId: 'entry1-0', attempt: 0, sequence: 0, head })
 */
export const createResponseAssembler = (requestId: string): ResponseAssembler => {
  const hash = createResponseHash(requestId)
  const early = new Map<number, ChunkFrame>()
  let nextSequence = 0
  let end: EndFrame | undefined
  let droppedCount = 0

  const takeReady = (): Assembly => {
    const assembly: Assembly = { kind: AssemblyKind.Waiting, bytes: [], code: ResultCode.Ok }
    for (let chunk = early.get(nextSequence); chunk !== undefined; chunk = early.get(nextSequence)) {
      early.delete(nextSequence)
      nextSequence += 1
      assembly.kind = AssemblyKind.Delivered
      if (chunk.head !== undefined) {
        hash.addHead(chunk.head)
        assembly.head = chunk.head
      }
      if (chunk.bytes !== undefined) {
        hash.addBytes(chunk.bytes)
        assembly.bytes.push(chunk.bytes)
      }
    }
    return finish(assembly)
  }

  const finish = (assembly: Assembly): Assembly => {
    if (end === undefined) return assembly
    if (end.code !== ResultCode.Ok) return { ...assembly, kind: AssemblyKind.Failed, code: end.code }
    if (nextSequence < end.chunkCount) return assembly
    const isWhole = nextSequence === end.chunkCount && early.size === 0 && hash.digest() === end.hash
    if (!isWhole) return { ...assembly, kind: AssemblyKind.Corrupt, code: ResultCode.AnswerLost }
    return { ...assembly, kind: AssemblyKind.Complete }
  }

  const drop = (): Assembly => {
    droppedCount += 1
    return { kind: AssemblyKind.Waiting, bytes: [], code: ResultCode.Ok }
  }

  return {
    acceptChunk: frame => {
      const isCopy = frame.sequence < nextSequence || early.has(frame.sequence)
      if (isCopy || frame.sequence >= nextSequence + REORDER_CHUNKS_MAX) return drop()
      early.set(frame.sequence, frame)
      return takeReady()
    },
    acceptEnd: frame => {
      end = frame
      return takeReady()
    },
    get nextSequence () { return nextSequence },
    get droppedCount () { return droppedCount },
    get hasGap () { return early.size > 0 || (end !== undefined && nextSequence < end.chunkCount) }
  }
}
