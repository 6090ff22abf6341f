import fastify from 'fastify'
import type { LogPage, LogRecord } from '../core/index.js'
import { listenOnLoopback, type StandInServer } from './listenOnLoopback.js'

/** Faults that a test can inject. */
export interface LogFaults {
  /** Responds to every request with 503. */
  isUnavailable: boolean
  /** Appends take effect, but the connection closes before the response. */
  dropsAppendResponses: boolean
  /** Delay before every response. */
  delayMs: number
}

export interface LogStandIn extends StandInServer {
  faults: LogFaults
  /** Drops the records of a stream below an offset, as if their retention time had passed. */
  expireBelow (stream: string, offset: number): void
  records (stream: string): readonly LogRecord[]
  readonly appendCount: number
}

interface Stream {
  firstOffset: number
  records: LogRecord[]
}

const BODY_LIMIT_BYTES = 4 * 1024 * 1024
const PAGE_RECORDS_MAX = 1_000

/**
 * Starts a stand-in for the platform's append-only log: streams of records with offsets and limited retention, and
 * injected outages, delays and lost responses.
 *
 * @example
 * const log = await startLogStandIn({ retentionMs: 3_600_000 })
 * log.faults.isUnavailable = true
 */
export const startLogStandIn = async (
  { port = 0, retentionMs = Number.POSITIVE_INFINITY }: { port?: number, retentionMs?: number } = {}
): Promise<LogStandIn> => {
  const streams = new Map<string, Stream>()
  const faults: LogFaults = { isUnavailable: false, dropsAppendResponses: false, delayMs: 0 }
  let appendCount = 0
  const app = fastify({ bodyLimit: BODY_LIMIT_BYTES, forceCloseConnections: true })

  const streamOf = (name: string): Stream => {
    const existing = streams.get(name)
    if (existing !== undefined) return existing
    const created = { firstOffset: 1, records: [] }
    streams.set(name, created)
    return created
  }

  const applyRetention = (stream: Stream) => {
    const oldestMs = Date.now() - retentionMs
    while (stream.records.length > 0 && stream.records[0]!.timeMs < oldestMs) {
      stream.records.shift()
      stream.firstOffset += 1
    }
  }

  app.addHook('onRequest', async (_request, reply) => {
    if (faults.delayMs > 0) await new Promise(resolve => setTimeout(resolve, faults.delayMs))
    if (faults.isUnavailable) await reply.code(503).send({ error: 'log is out' })
  })

  app.post<{ Params: { stream: string }, Body: { body: unknown } }>('/streams/:stream/records', async (request, reply) => {
    const stream = streamOf(request.params.stream)
    const offset = stream.firstOffset + stream.records.length
    stream.records.push({ offset, timeMs: Date.now(), body: request.body.body })
    appendCount += 1
    if (faults.dropsAppendResponses) {
      request.raw.socket.destroy()
      return reply.hijack()
    }
    return reply.code(201).send({ offset })
  })

  app.get<{ Params: { stream: string }, Querystring: { from?: string, max?: string } }>(
    '/streams/:stream/records',
    async (request): Promise<LogPage> => {
      const stream = streamOf(request.params.stream)
      applyRetention(stream)
      const from = Math.max(Number(request.query.from ?? 1), stream.firstOffset)
      const max = Math.min(Number(request.query.max ?? PAGE_RECORDS_MAX), PAGE_RECORDS_MAX)
      const start = from - stream.firstOffset
      return {
        records: stream.records.slice(start, start + max),
        firstOffset: stream.firstOffset,
        nextOffset: stream.firstOffset + stream.records.length
      }
    }
  )

  const server = await listenOnLoopback(app, port)
  return {
    ...server,
    faults,
    expireBelow: (name, offset) => {
      const stream = streamOf(name)
      const count = Math.min(stream.records.length, Math.max(0, offset - stream.firstOffset))
      stream.records.splice(0, count)
      stream.firstOffset += count
    },
    records: name => streamOf(name).records,
    get appendCount () { return appendCount }
  }
}
