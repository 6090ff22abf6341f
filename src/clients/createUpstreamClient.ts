import { Pool } from 'undici'
import { z } from 'zod'
import { BaobabdriftError, ResultCode } from '../core/index.js'
import { isFieldValue } from '../upstreams/index.js'
import type { WorkerNotice } from '../workerLimits/index.js'
import { createJsonClient } from './httpJson.js'
import { statesEnd } from './statesEnd.js'
import { readUpstreamNotice } from './upstreamNotice.js'

/** A request from the agent to its upstream. */
export interface UpstreamCall {
  method: string
  path: string
  contentType?: string
  headers: Record<string, string>
  body: Uint8Array
  isEventStream: boolean
  timeoutMs: number
}

/** Receives the parts of a response in order; `onEnd` is called exactly once. */
export interface UpstreamListener {
  /** Called before `onHead` with what the upstream says about itself. */
  onNotice? (notice: WorkerNotice): void
  onHead (status: number, contentType: string): void
  onBytes (bytes: Uint8Array): void
  /** Resolves when more bytes may be read; undefined if that is now. */
  whenReady? (): Promise<void> | undefined
  /** `hasStarted` is false only if the upstream provably received nothing. */
  onEnd (code: ResultCode, hasStarted: boolean): void
}

/** Receives a response, and decides whether one that states no end is complete. */
export interface UpstreamCallListener extends UpstreamListener {
  /**
   * Called when a response without framing has ended with its connection, as that of a crashed upstream ends, too.
   * Resolves with whether the run of the upstream that gave the response still lives.
   */
  confirmEnd (): Promise<boolean>
}

/** Load that an upstream reports. */
export interface UpstreamLoad {
  sequence: number
  madeAtMs: number
  queuedTokens: number
  runningRequests: number
  waitingRequests?: number | undefined
  /** Maximum number of concurrent requests; undefined or 0 if unlimited. */
  runningMax?: number | undefined
  /** Measured throughput per second: prompt tokens of an engine, requests of a service. */
  tokensPerS: number
  cacheEventSequence?: number | undefined
  cacheBlocksMax?: number | undefined
}

/** One change to the prefix cache of an engine. Sequence numbers may have gaps. */
export interface CacheEvent {
  sequence: number
  isStored: boolean
  blocks: string[]
}

export interface UpstreamClient {
  /** Starts a call; the returned function cancels it. */
  run (call: UpstreamCall, listener: UpstreamCallListener): () => void
  /** Rejects if there is no response, or one that is no load. */
  load (): Promise<UpstreamLoad>
  cacheEvents (afterSequence: number): Promise<CacheEvent[]>
  close (): Promise<void>
}

const amountSchema = z.number().nonnegative()
const optionalAmountSchema = amountSchema.nullish().transform(value => value ?? undefined)
const optionalCounterSchema = z.number().int().nonnegative().nullish().transform(value => value ?? undefined)

const loadSchema = z.object({
  sequence: z.number(),
  madeAtMs: z.number(),
  queuedTokens: amountSchema,
  runningRequests: amountSchema,
  waitingRequests: optionalAmountSchema,
  runningMax: optionalAmountSchema,
  tokensPerS: amountSchema,
  cacheEventSequence: optionalCounterSchema,
  cacheBlocksMax: optionalAmountSchema
})

const LOAD_TIMEOUT_MS = 1_000
const CONNECTIONS_MAX = 256
/** An event stream is complete only if this is its last event; within another line it is a text of the model. */
const EVENT_STREAM_END = /[\r\n]data: \[DONE\]\s*$/
const TAIL_BYTES = 32
const DEFAULT_CONTENT_TYPE = 'application/octet-stream'
const RESPONSE_BYTES_MAX = 64 * 1024 * 1024
/** Errors of the connection attempt itself, or of the request before it, after which no byte of the request was sent. */
const NEVER_CONNECTED_CODES: ReadonlySet<unknown> = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH', 'UND_ERR_INVALID_ARG'])
const TIMEOUT_CODES: ReadonlySet<unknown> = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT'])

const codeOfError = (error: unknown): ResultCode => {
  if (error instanceof BaobabdriftError) return error.code
  return TIMEOUT_CODES.has((error as { code?: unknown }).code) ? ResultCode.DeadlineExceeded : ResultCode.UpstreamDied
}

const FINAL_STATUS_MIN = 200
const STATUS_MAX = 599

/**
 * Returns the content type of a response, with one character for each byte.
 *
 * @throws BaobabdriftError if the head cannot be passed on
 */
const readHead = (status: number, contentType: string | string[] | undefined): string => {
  const value = String(contentType ?? DEFAULT_CONTENT_TYPE)
  if (status >= FINAL_STATUS_MIN && status <= STATUS_MAX && isFieldValue(value)) return value
  throw new BaobabdriftError(ResultCode.UpstreamRefused, 'the head of the response is malformed')
}

/** Responses with these statuses, and those to HEAD, end with their head whatever their headers say. */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304])

const hasNoBody = (method: string, status: number) => method === 'HEAD' || BODYLESS_STATUSES.has(status)

const textOf = (value: string | string[] | undefined): string | undefined => Array.isArray(value) ? value.join(',') : value

const isFramed = (headers: Record<string, string | string[] | undefined>): boolean =>
  statesEnd({ contentLength: textOf(headers['content-length']), transferEncoding: textOf(headers['transfer-encoding']) })

const isSuccess = (status: number) => status >= 200 && status < 300

/**
 * Creates a client for the upstream of an agent, which is an engine or a service.
 *
 * @example
 * const cancel = createUpstreamClient('http://127.0.0.1:7301').run(call, listener)
 */
export const createUpstreamClient = (baseUrl: string): UpstreamClient => {
  const pool = new Pool(baseUrl, { connections: CONNECTIONS_MAX, pipelining: 1 })
  const json = createJsonClient(baseUrl, LOAD_TIMEOUT_MS)

  const run = (call: UpstreamCall, listener: UpstreamCallListener) => {
    const abort = new AbortController()
    let isEnded = false
    const end = (code: ResultCode, hasStarted = true) => {
      if (isEnded) return
      isEnded = true
      listener.onEnd(code, hasStarted)
    }

    const relay = async () => {
      const { statusCode, headers, body } = await pool.request({
        method: call.method as 'POST',
        path: call.path,
        headers: { ...call.headers, ...(call.contentType === undefined ? {} : { 'content-type': call.contentType }) },
        body: call.body.length === 0 ? null : call.body,
        signal: abort.signal,
        headersTimeout: call.timeoutMs,
        bodyTimeout: call.timeoutMs
      })
      listener.onNotice?.(readUpstreamNotice(statusCode, headers))
      listener.onHead(statusCode, readHead(statusCode, headers['content-type']))
      // The first line begins like any other.
      let tail = '\n'
      let totalBytes = 0
      for await (const bytes of body as AsyncIterable<Buffer>) {
        totalBytes += bytes.length
        if (totalBytes > RESPONSE_BYTES_MAX) throw new BaobabdriftError(ResultCode.UpstreamRefused, 'response is too large')
        listener.onBytes(bytes)
        const ready = listener.whenReady?.()
        if (ready !== undefined) await ready
        if (call.isEventStream) tail = (tail + bytes.subarray(-TAIL_BYTES).toString('latin1')).slice(-TAIL_BYTES)
      }
      const hasStatedEnd = hasNoBody(call.method, statusCode) || isFramed(headers)
      const mustHaveEnd = call.isEventStream && isSuccess(statusCode)
      const hasEnd = EVENT_STREAM_END.test(tail)
      const isComplete = hasEnd || (!mustHaveEnd && (hasStatedEnd || await listener.confirmEnd()))
      end(isComplete ? ResultCode.Ok : ResultCode.UpstreamDied)
    }

    relay().catch(error => {
      end(codeOfError(error), !NEVER_CONNECTED_CODES.has(error?.code))
    })
    return () => abort.abort()
  }

  return {
    run,
    load: async () => loadSchema.parse(await json.call('GET', '/load')),
    cacheEvents: afterSequence => json.call('GET', `/cache-events?after=${afterSequence}`),
    close: async () => {
      await Promise.all([pool.destroy(), json.close()])
    }
  }
}
