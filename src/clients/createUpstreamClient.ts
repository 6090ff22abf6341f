import { z } from 'zod'
import { type Clock, createMonotonicClock } from '../core/index.js'
import { createConnectionPool } from '../upstreams/index.js'
import { createConnectionSlots } from './connectionSlots.js'
import { createJsonClient } from './httpJson.js'
import type { UpstreamCall, UpstreamCallListener, UpstreamClient } from './types.js'
import { createUpstreamExchange, type UpstreamExchange } from './upstreamExchange.js'

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
const CONNECT_TIMEOUT_MS = 10_000
const CONNECTIONS_MAX = 256
/** A new connection to a process on the same host costs little. */
const REUSE_AFTER_MS = 1
const RESPONSE_BYTES_MAX = 64 * 1024 * 1024
const DEFAULT_PORT = '80'

/** Returns `host:port` of a URL. */
const addressOf = (url: string): string => {
  const { hostname, port } = new URL(url)
  return `${hostname.replace(/^\[|\]$/g, '')}:${port === '' ? DEFAULT_PORT : port}`
}

/**
 * Creates a client for the upstream of an agent, which is an engine or a service.
 *
 * @example
 * const cancel = createUpstreamClient('http://127.0.0.1:7301').run(call, listener)
 */
export const createUpstreamClient = (baseUrl: string, clock: Clock = createMonotonicClock()): UpstreamClient => {
  const address = addressOf(baseUrl)
  const pool = createConnectionPool({
    address, clock, connectTimeoutMs: CONNECT_TIMEOUT_MS, bodyBytesMax: RESPONSE_BYTES_MAX, reuseAfterMs: REUSE_AFTER_MS
  })
  const slots = createConnectionSlots(CONNECTIONS_MAX)
  const exchanges = new Set<UpstreamExchange>()
  const json = createJsonClient(baseUrl, LOAD_TIMEOUT_MS)

  const run = (call: UpstreamCall, listener: UpstreamCallListener) => {
    let hasSlot = false
    const exchange = createUpstreamExchange({
      pool,
      address,
      call,
      listener: {
        ...listener,
        onEnd: (code, hasStarted) => {
          exchanges.delete(exchange)
          if (hasSlot) slots.release()
          listener.onEnd(code, hasStarted)
        }
      }
    })
    exchanges.add(exchange)
    slots.take(() => {
      // A call that was cancelled while it waited needs none.
      if (!exchanges.has(exchange)) return slots.release()
      hasSlot = true
      exchange.start()
    })
    return exchange.cancel
  }

  return {
    run,
    load: async () => loadSchema.parse(await json.call('GET', '/load')),
    cacheEvents: afterSequence => json.call('GET', `/cache-events?after=${afterSequence}`),
    close: async () => {
      for (const exchange of [...exchanges]) exchange.cancel()
      pool.close()
      await json.close()
    }
  }
}
