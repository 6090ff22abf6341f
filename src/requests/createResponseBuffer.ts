import { ResultCode } from '../core/index.js'
import { FrameKind } from '../links/index.js'
import { RESUME_BUFFER_CHUNKS_MAX, RESUME_BUFFER_MAX_BYTES } from './constants.js'
import type { ChunkFrame, EndFrame, ResponseHead } from './frames.js'
import { createResponseHash } from './responseHash.js'

/** A chunk or end frame without the ids of its attempt. */
export type BufferedChunk = Pick<ChunkFrame, 'sequence' | 'head' | 'bytes'>
export type BufferedEnd = Pick<EndFrame, 'code' | 'chunkCount' | 'hash'>

/** Buffers the chunks of one response for resumes, up to a limit of bytes and one of chunks. */
export interface ResponseBuffer {
  addHead (head: ResponseHead): BufferedChunk
  addBytes (bytes: Uint8Array): BufferedChunk
  end (code: ResultCode): BufferedEnd
  /** Chunks from `sequence` on, or undefined if one of them was already dropped. */
  readFrom (sequence: number): BufferedChunk[] | undefined
  readonly ended: BufferedEnd | undefined
  readonly keptBytes: number
  /** Whether no chunk has been dropped. */
  readonly hasAllChunks: boolean
}

/**
 * Creates the buffer of one response. The oldest chunks are dropped beyond the limits; a resume
 * that needs them fails rather than skipping them.
 *
 * @example
 * const buffer = createResponseBuffer('entry1-0')
 * buffer.addHead({ status: 200, contentType: 'text/event-stream' }).sequence // 0
 */
export const createResponseBuffer = (requestId: string, bytesMax = RESUME_BUFFER_MAX_BYTES): ResponseBuffer => {
  const hash = createResponseHash(requestId)
  const chunks: BufferedChunk[] = []
  let firstSequence = 0
  let keptBytes = 0
  let ended: BufferedEnd | undefined

  const nextSequence = () => firstSequence + chunks.length

  const add = (chunk: BufferedChunk): BufferedChunk => {
    chunks.push(chunk)
    keptBytes += chunk.bytes?.length ?? 0
    while ((keptBytes > bytesMax && chunks.length > 1) || chunks.length > RESUME_BUFFER_CHUNKS_MAX) {
      keptBytes -= chunks.shift()?.bytes?.length ?? 0
      firstSequence += 1
    }
    return chunk
  }

  return {
    addHead: head => {
      hash.addHead(head)
      return add({ sequence: nextSequence(), head })
    },
    addBytes: bytes => {
      hash.addBytes(bytes)
      return add({ sequence: nextSequence(), bytes })
    },
    end: code => {
      ended = { code, chunkCount: nextSequence(), hash: hash.digest() }
      return ended
    },
    readFrom: sequence => sequence < firstSequence ? undefined : chunks.slice(sequence - firstSequence),
    get ended () { return ended },
    get keptBytes () { return keptBytes },
    get hasAllChunks () { return firstSequence === 0 }
  }
}

/** Adds the ids of an attempt to a buffered chunk. */
export const toChunkFrame = (requestId: string, attempt: number, chunk: BufferedChunk): ChunkFrame =>
  ({ kind: FrameKind.Chunk, requestId, attempt, ...chunk })

/** Adds the ids of an attempt to a buffered end. */
export const toEndFrame = (requestId: string, attempt: number, end: BufferedEnd): EndFrame =>
  ({ kind: FrameKind.End, requestId, attempt, ...end })
