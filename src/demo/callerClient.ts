import { Agent, request } from 'undici'
import { createHash } from 'node:crypto'
import type { Clock, Random } from '../core/index.js'

/** What a caller saw of one request. */
export interface CallerResult {
  status: number
  code: number
  outcome: string
  body: string
  firstByteMs: number
  totalMs: number
  /** Wait that the entry asks for. */
  retryAfterMs: number
  /** Whether the response ended as docs/callers.md describes a whole one. */
  isWhole: boolean
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

/** A program of a customer: it asks for addresses, keeps them for their lifetime and sends requests. */
export interface CallerClient {
  /** Fetches addresses through a known one. */
  refreshAddresses (throughAddress: string, customer: string): Promise<string[]>
  /** Fetches addresses again if their lifetime is more than half over. */
  keepFresh (customer: string): Promise<void>
  addresses (): readonly string[]
  send (address: string, callerRequest: CallerRequest): Promise<CallerResult>
  pickAddress (): string
  close (): Promise<void>
}

const OK = 200
const CONNECTION_LOST = { retryAfterMs: 0, status: 0, code: 0, outcome: 'unknown', isWhole: false }

/** Short digest of a response for comparisons. */
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
  let known: string[] = []
  let refreshAtMs = 0
  let refreshing: Promise<unknown> | undefined

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
      const isStreamWhole = isEventStream !== true || text.trimEnd().endsWith('data: [DONE]')
      return {
        status: response.statusCode,
        code,
        outcome: String(response.headers['x-outcome'] ?? (isStreamWhole ? 'ran' : 'unknown')),
        body: text,
        firstByteMs,
        totalMs: clock.nowMs() - startedMs,
        retryAfterMs: Number(response.headers['retry-after'] ?? 0) * 1_000,
        isWhole: response.statusCode < 300 && isStreamWhole
      }
    } catch {
      return { ...CONNECTION_LOST, body: text, firstByteMs, totalMs: clock.nowMs() - startedMs }
    }
  }

  const refreshAddresses = async (throughAddress: string, customer: string): Promise<string[]> => {
    const { body, status } = await send(throughAddress, { method: 'GET', path: '/v1/addresses', customer })
    if (status !== OK) return known
    const answer = JSON.parse(body) as { addresses: string[], lifetimeMs: number }
    known = answer.addresses
    refreshAtMs = clock.nowMs() + answer.lifetimeMs / 2
    return known
  }

  const refreshThroughAny = async (customer: string) => {
    for (const address of random.shuffle(known)) {
      await refreshAddresses(address, customer)
      if (clock.nowMs() < refreshAtMs) return
    }
  }

  return {
    refreshAddresses,
    keepFresh: async customer => {
      if (clock.nowMs() < refreshAtMs) return
      refreshing ??= refreshThroughAny(customer).finally(() => { refreshing = undefined })
      await refreshing
    },
    addresses: () => known,
    send,
    pickAddress: () => random.pick(known),
    close: () => dispatcher.destroy()
  }
}
