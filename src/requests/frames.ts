import { z } from 'zod'
import { ResultCode } from '../core/index.js'
import { FrameKind, type Frame, parseFrame } from '../links/index.js'

const id = z.string().min(1).max(256)
const counter = z.number().int().nonnegative()
const bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array)

/** A caller's request in the form in which the upstream receives it. */
export const upstreamRequestSchema = z.object({
  method: z.string().max(16),
  path: z.string().max(8192),
  contentType: z.string().max(256).optional(),
  customer: id,
  priority: z.string().max(32),
  /** Whether the response is an event stream that ends with `data: [DONE]`. */
  isEventStream: z.boolean(),
  idempotencyKey: z.string().max(64).optional(),
  body: bytes
})

export const responseHeadSchema = z.object({
  status: z.number().int().min(100).max(599),
  contentType: z.string().max(256)
})

const bindingSchema = z.object({
  key: id,
  offset: z.number().int().positive(),
  agentIncarnation: id,
  fingerprint: id
})

export const runFrameSchema = z.object({
  kind: z.literal(FrameKind.Run),
  requestId: id,
  attempt: counter,
  remainingMs: z.number().nonnegative(),
  fingerprint: id,
  /** Whether the upstream must not run other requests at the same time. */
  isSuspect: z.boolean(),
  /** Whether the run may be cancelled and retried on another upstream. */
  isRepeatable: z.boolean(),
  /** Estimated prompt and output tokens; 0 unless the request is for a model. */
  estimatedTokens: z.number().nonnegative(),
  traceparent: z.string().max(256).optional(),
  binding: bindingSchema.optional(),
  request: upstreamRequestSchema
})

export const chunkFrameSchema = z.object({
  kind: z.literal(FrameKind.Chunk),
  requestId: id,
  attempt: counter,
  sequence: counter,
  head: responseHeadSchema.optional(),
  bytes: bytes.optional()
})

export const endFrameSchema = z.object({
  kind: z.literal(FrameKind.End),
  requestId: id,
  attempt: counter,
  code: z.enum(ResultCode),
  chunkCount: counter,
  hash: z.string().max(64)
})

export const refusedFrameSchema = z.object({
  kind: z.literal(FrameKind.Refused),
  requestId: id,
  attempt: counter,
  code: z.enum(ResultCode)
})

export const cancelFrameSchema = z.object({ kind: z.literal(FrameKind.Cancel), requestId: id, attempt: counter })

export const resumeFrameSchema = z.object({
  kind: z.literal(FrameKind.Resume),
  requestId: id,
  attempt: counter,
  nextSequence: counter
})

const isCounter = (value: unknown): value is number => Number.isInteger(value) && (value as number) >= 0
const isId = (value: unknown): boolean => typeof value === 'string' && value.length > 0 && value.length <= 256

/**
 * Validates a chunk frame. Nearly all frames on a busy link are chunks, so chunks without a head are
 * checked by hand, which costs a fraction of the schema validation.
 *
 * @throws FrameError if the frame is malformed
 */
export const parseChunkFrame = (frame: Frame): ChunkFrame => {
  const { requestId, attempt, sequence, bytes: body } = frame
  const isPlain = frame.head === undefined && isId(requestId) && isCounter(attempt) && isCounter(sequence) && body instanceof Uint8Array
  return isPlain ? frame as unknown as ChunkFrame : parseFrame(chunkFrameSchema, frame)
}

export type UpstreamRequest = z.infer<typeof upstreamRequestSchema>
export type ResponseHead = z.infer<typeof responseHeadSchema>
export type RunFrame = z.infer<typeof runFrameSchema>
export type ChunkFrame = z.infer<typeof chunkFrameSchema>
export type EndFrame = z.infer<typeof endFrameSchema>
export type RefusedFrame = z.infer<typeof refusedFrameSchema>
export type CancelFrame = z.infer<typeof cancelFrameSchema>
export type ResumeFrame = z.infer<typeof resumeFrameSchema>
export type ResponseFrame = ChunkFrame | EndFrame | RefusedFrame

const amount = z.number().nonnegative()

/**
 * Load report of an agent, encoded as a tuple: reports are most of the control traffic of an idle fleet,
 * and field names would double their size.
 */
const reportValuesSchema = z.tuple([
  counter, amount, amount, amount, amount, amount, amount, amount, amount, counter.nullable(), counter.nullable(), z.boolean(), amount
])

/** Load of an upstream. Carries an age instead of a timestamp, because the clocks of two hosts differ. */
export interface AgentLoadReport {
  sequence: number
  ageMs: number
  queuedTokens: number
  runningRequests: number
  waitingRequests: number
  /** 0 if unlimited. */
  runningMax: number
  tokensPerS: number
  acceptedTokens: number
  finishedPerS: number
  cacheEventSequence: number | undefined
  cacheBlocksMax: number | undefined
  isUp: boolean
  /** Time for which the upstream takes no further request; 0 if it takes one now. */
  closedForMs: number
}

const reportFrameSchema = z.object({ kind: z.literal(FrameKind.Report), values: reportValuesSchema })

const roundToHundredths = (value: number) => Math.round(value * 100) / 100

/** Encodes a load report as a frame. */
export const toReportFrame = (load: AgentLoadReport): Frame => ({
  kind: FrameKind.Report,
  values: [
    load.sequence, Math.round(load.ageMs), Math.round(load.queuedTokens), load.runningRequests, load.waitingRequests,
    load.runningMax, Math.round(load.tokensPerS), Math.round(load.acceptedTokens), roundToHundredths(load.finishedPerS),
    load.cacheEventSequence ?? null, load.cacheBlocksMax ?? null, load.isUp, Math.ceil(load.closedForMs)
  ]
})

/**
 * Decodes a load report.
 *
 * @throws FrameError if the frame is malformed
 */
export const parseReportFrame = (frame: Frame): AgentLoadReport => {
  const [
    sequence, ageMs, queuedTokens, runningRequests, waitingRequests, runningMax, tokensPerS, acceptedTokens, finishedPerS,
    cacheEventSequence, cacheBlocksMax, isUp, closedForMs
  ] = parseFrame(reportFrameSchema, frame).values
  return {
    sequence,
    ageMs,
    queuedTokens,
    runningRequests,
    waitingRequests,
    runningMax,
    tokensPerS,
    acceptedTokens,
    finishedPerS,
    cacheEventSequence: cacheEventSequence ?? undefined,
    cacheBlocksMax: cacheBlocksMax ?? undefined,
    isUp,
    closedForMs
  }
}

export const cacheEventsFrameSchema = z.object({
  kind: z.literal(FrameKind.CacheEvents),
  events: z.array(z.object({ sequence: counter, isStored: z.boolean(), blocks: z.array(z.string().max(64)) }))
})

export type CacheEventsFrame = z.infer<typeof cacheEventsFrameSchema>
