import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { FrameError, ResultCode } from '../core/index.js'
import { FrameKind } from '../links/index.js'
import { RESUME_BUFFER_CHUNKS_MAX } from './constants.js'
import { AssemblyKind, createResponseAssembler } from './createResponseAssembler.js'
import { createResponseBuffer, toChunkFrame, toEndFrame } from './createResponseBuffer.js'
import { type ChunkFrame, type EndFrame, parseChunkFrame } from './frames.js'

const SEED = 20261204
const head = { status: 200, contentType: 'text/event-stream' }

const bufferResponse = (requestId: string, texts: string[]) => {
  const buffer = createResponseBuffer(requestId)
  const chunks = [buffer.addHead(head), ...texts.map(text => buffer.addBytes(Buffer.from(text)))]
    .map(chunk => toChunkFrame(requestId, 0, chunk))
  return { chunks, end: toEndFrame(requestId, 0, buffer.end(ResultCode.Ok)) }
}

const assemble = (requestId: string, frames: Array<ChunkFrame | EndFrame>) => {
  const assembler = createResponseAssembler(requestId)
  let text = ''
  let last = AssemblyKind.Waiting
  for (const frame of frames) {
    const assembly = 'sequence' in frame ? assembler.acceptChunk(frame) : assembler.acceptEnd(frame as EndFrame)
    text += Buffer.concat(assembly.bytes).toString()
    if (assembly.kind !== AssemblyKind.Waiting) last = assembly.kind
  }
  return { text, last }
}

describe('response assembly', () => {
  it('delivers the complete response for any frame order and with duplicate frames', () => {
    fc.assert(fc.property(
      fc.array(fc.string({ minLength: 1 }), { maxLength: 20 }),
      fc.infiniteStream(fc.nat(1_000)),
      (texts, order) => {
        const { chunks, end } = bufferResponse('e-1', texts)
        const frames = [...chunks, ...chunks, end]
          .map(frame => ({ frame, at: order.next().value! }))
          .sort((a, b) => a.at - b.at)
          .map(({ frame }) => frame)
        expect(assemble('e-1', frames)).toEqual({ text: texts.join(''), last: AssemblyKind.Complete })
      }
    ), { seed: SEED, numRuns: 300 })
  })

  it.each<[string, (own: ReturnType<typeof bufferResponse>, other: ReturnType<typeof bufferResponse>) => Array<ChunkFrame | EndFrame>]>([
    ['its last chunk is missing', ({ chunks, end }) => [...chunks.slice(0, -1), end]],
    ['its last chunk is replaced by one of another response', ({ chunks, end }, other) => [...chunks.slice(0, -1), other.chunks.at(-1)!, end]],
    ['all frames belong to another response', (_own, other) => [...other.chunks, other.end]],
    ['the end frame announces fewer chunks', ({ chunks, end }) => [...chunks, { ...end, chunkCount: end.chunkCount - 1 }]],
    ['there is no end frame', ({ chunks }) => chunks]
  ])('never completes a response if %s', (_fault, framesOf) => {
    const own = bufferResponse('e-1', ['a', 'b', 'c'])
    const other = bufferResponse('e-2', ['a', 'b', 'd'])
    expect(assemble('e-1', framesOf(own, other)).last).not.toBe(AssemblyKind.Complete)
  })

  // Guards against a caller that gets an empty response with status 200, which no upstream has sent.
  it('never completes a response without a head', () => {
    const empty = createResponseBuffer('e-1')
    const bodyOnly = createResponseBuffer('e-1')
    const chunk = toChunkFrame('e-1', 0, bodyOnly.addBytes(Buffer.from('a')))
    expect(assemble('e-1', [toEndFrame('e-1', 0, empty.end(ResultCode.Ok))]).last).toBe(AssemblyKind.Corrupt)
    expect(assemble('e-1', [chunk, toEndFrame('e-1', 0, bodyOnly.end(ResultCode.Ok))]).last).toBe(AssemblyKind.Corrupt)
  })

  it('refuses to read from a chunk that was already dropped', () => {
    const buffer = createResponseBuffer('e-1', 10)
    buffer.addHead(head)
    for (let i = 0; i < 4; i++) buffer.addBytes(Buffer.alloc(4))
    expect(buffer.readFrom(0)).toBeUndefined()
    expect(buffer.readFrom(4)).toHaveLength(1)
    expect(buffer.keptBytes).toBeLessThanOrEqual(10)
  })

  // Guards against an agent that runs out of memory by the objects of chunks of one byte.
  it('keeps a bounded number of chunks for resumes, however small they are', () => {
    const CHUNKS = 3 * RESUME_BUFFER_CHUNKS_MAX
    const buffer = createResponseBuffer('e-1')
    for (let i = 0; i < CHUNKS; i++) buffer.addBytes(Buffer.alloc(1))
    expect(buffer.readFrom(CHUNKS - RESUME_BUFFER_CHUNKS_MAX)).toHaveLength(RESUME_BUFFER_CHUNKS_MAX)
    expect(buffer.readFrom(CHUNKS - RESUME_BUFFER_CHUNKS_MAX - 1)).toBeUndefined()
    expect(buffer.keptBytes).toBe(RESUME_BUFFER_CHUNKS_MAX)
  })
})

describe('chunk frames', () => {
  const chunk = { kind: FrameKind.Chunk, requestId: 'e-1', attempt: 0, sequence: 3, bytes: new Uint8Array(2) }

  it.each<[string, Record<string, unknown>, boolean]>([
    ['a plain chunk', {}, true],
    ['a chunk with a head', { head, bytes: undefined }, true],
    ['a malformed head', { head: { status: 'ok' } }, false],
    ['an empty id', { requestId: '' }, false],
    ['a negative sequence', { sequence: -1 }, false],
    ['a fractional attempt', { attempt: 0.5 }, false],
    ['text in place of bytes', { bytes: 'text' }, false]
  ])('accepts or refuses %s', (_case, change, isValid) => {
    const parse = () => parseChunkFrame({ ...chunk, ...change })
    if (isValid) expect(parse()).toMatchObject({ requestId: 'e-1' })
    else expect(parse).toThrow(FrameError)
  })
})
