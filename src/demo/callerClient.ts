import { Agent, request } from 'undici'
import { createHash } from 'node:crypto'
import type { Clock, Random } from '../core/index.js'

/** Result of one request as the caller observed it. */
export interface CallerResult {
  status: number
  code: number
  outcome: string
  body: string
  firstByteMs: number
  totalMs: number
  /** Delay from the `retry-after` header, 0 without one. */
  retryAfterMs: number
  /** Whether the request succeeded with a complete response, as docs/callers.md defines it. */
  isComplete: boolean
}

export interface CallerRequest {
  method: 'GET' | 'POST'
  path: string
  customer: string
  body?: unknown
  idempotencyKey?: string
  isEventStream?: boolean
  traceparent?: string
}

/** A customer's program: fetches entry addresses, caches them for their lifetime and sends requests. */
export interface CallerClient {
  /** Fetches addresses from the entry at a known address. */
  refreshAddresses (throughAddress: string, customer: string): Promise<string[]>
  /** Fetches addresses again if half of their lifetime has passed. */
  refreshIfStale (customer: string): Promise<void>
  addresses (): readonly string[]
  send (address: string, callerRequest: CallerRequest): Promise<CallerResult>
  pickAddress (): string
  close (): Promise<void>
}

const OK = 200
const CONNECTION_LOST = { retryAfterMs: 0, status: 0, code: 0, outcome: 'unknown', isComplete: false }

/** Short digest of a response body, for comparisons. */
export const digestOf = (body: string): string => createHash('sha256').update(body).digest('hex').slice(0, 8)

/**
 * Creates a caller.
 *
 * @example
 * const caller = createCallerClient({ clock, random })
 * await caller.refreshAddresses('127.0.0.1:8101', 'ama-roofing')
 * const result = await caller.send(caller.pickAddress(), { method: 'GET', path: '/stock/ridge-cap', customer: 'ama-roofing' })
 */
export const createCallerClient = ({ clock, random }: { clock: Clock, random: Random }): CallerClient => {
  const dispatcher = new Agent({ connections: 64, pipelining: 1 })
  let knownAddresses: string[] = []
  let refreshAtMs = 0
  let pendingRefresh: Promise<unknown> | undefined

  const send = async (address: string, callerRequest: CallerRequest): Promise<CallerResult> => {
    const { method, path, customer, body, idempotencyKey, isEventStream, traceparent } = callerRequest
    const startedMs = clock.nowMs()
    let firstByteMs = 0
    let text = ''
    try {
      const response = await request(`http://${address}${path}`, {
        method,
        dispatcher,
        headers: {
          'x-customer': customer,
          'content-type': 'application/json',
          ...(idempotencyKey === undefined ? {} : { 'idempotency-key': idempotencyKey }),
          ...(traceparent === undefined ? {} : { traceparent })
        },
        ...(body === undefined ? {} : { body: JSON.stringify(body) })
      })
      for await (const bytes of response.body) {
        if (text === '') firstByteMs = clock.nowMs() - startedMs
        text += String(bytes)
      }
      const code = Number(response.headers['x-result-code'] ?? 0)
      const isStreamComplete = isEventStream !== true || text.trimEnd().endsWith('data: [DONE]')
      return {
        status: response.statusCode,
        code,
        outcome: String(response.headers['x-outcome'] ?? (isStreamComplete ? 'ran' : 'unknown')),
        body: text,
        firstByteMs,
        totalMs: clock.nowMs() - startedMs,
        retryAfterMs: Number(response.headers['retry-after'] ?? 0) * 1_000,
        isComplete: response.statusCode < 300 && isStreamComplete
      }
    } catch {
      return { ...CONNECTION_LOST, body: text, firstByteMs, totalMs: clock.nowMs() - startedMs }
    }
  }

  const refreshAddresses = async (throughAddress: string, customer: string): Promise<string[]> => {
    const { body, status } = await send(throughAddress, { method: 'GET', path: '/v1/addresses', customer })
    if (status !== OK) return knownAddresses
    const addressList = JSON.parse(body) as { addresses: string[], lifetimeMs: number }
    knownAddresses = addressList.addresses
    refreshAtMs = clock.nowMs() + addressList.lifetimeMs / 2
    return knownAddresses
  }

  const refreshThroughAny = async (customer: string) => {
    for (const address of random.shuffle(knownAddresses)) {
      await refreshAddresses(address, customer)
      if (clock.nowMs() < refreshAtMs) return
    }
  }

  return {
    refreshAddresses,
    refreshIfStale: async customer => {
      if (clock.nowMs() < refreshAtMs) return
      pendingRefresh ??= refreshThroughAny(customer).finally(() => { pendingRefresh = undefined })
      await pendingRefresh
    },
    addresses: () => knownAddresses,
    send,
    pickAddress: () => random.pick(knownAddresses),
    close: () => dispatcher.destroy()
  }
}
