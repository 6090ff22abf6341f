import { v7 as createKey } from 'uuid'
import type { Random } from '../core/index.js'
import type { CallerClient, CallerRequest, CallerResult } from './callerClient.js'

/** Kinds of requests in the demo. */
export enum TrafficKind {
  Model = 'model requests (streams)',
  Lookup = 'lookups (idempotent)',
  Order = 'orders (at most once)'
}

export interface SentRequest {
  kind: TrafficKind
  callerRequest: CallerRequest
  results: CallerResult[]
  orderId?: string
}

const KPAKPO_CUSTOMERS = ['ama-roofing', 'st-peters-building-committee', 'ridgeline-hardware']
const FELLESLY_CUSTOMERS = ['oslo-parks', 'nordmarka-booking', 'fjord-shelters']
const PREFIXES = ['You price roof panels from sketches. ', 'You advise on sheet gauge. ', 'You list cut lengths per ridge. ']
const PREFIX_REPEATS = 12
const TOKENS_MIN = 8
const TOKENS_MAX = 24

const modelRequest = (random: Random): CallerRequest => {
  const isKpakpo = random.next() < 0.5
  const prefix = random.pick(PREFIXES).repeat(PREFIX_REPEATS)
  const prompt = `${prefix}Ridge of ${random.int(4, 30)} m, pitch ${random.int(5, 35)} degrees.`
  const common = { max_tokens: random.int(TOKENS_MIN, TOKENS_MAX), stream: true }
  return isKpakpo
    ? { method: 'POST', path: '/v1/completions', customer: random.pick(KPAKPO_CUSTOMERS), isEventStream: true, body: { model: 'quote-model', prompt, ...common } }
    : {
        method: 'POST',
        path: '/v1/chat/completions',
        customer: random.pick(FELLESLY_CUSTOMERS),
        isEventStream: true,
        body: { model: 'assistant', messages: [{ role: 'user', content: prompt }], ...common }
      }
}

const lookupRequest = (random: Random): CallerRequest => random.next() < 0.5
  ? { method: 'GET', path: `/stock/coil-${random.int(1, 9)}`, customer: random.pick(KPAKPO_CUSTOMERS) }
  : { method: 'GET', path: `/shelters/shelter-${random.int(1, 9)}`, customer: random.pick(FELLESLY_CUSTOMERS) }

const orderRequest = (random: Random, orderId: string): CallerRequest => {
  const isKpakpo = random.next() < 0.5
  return {
    method: 'POST',
    path: isKpakpo ? '/orders' : '/bookings',
    customer: random.pick(isKpakpo ? KPAKPO_CUSTOMERS : FELLESLY_CUSTOMERS),
    idempotencyKey: createKey(),
    body: { orderId }
  }
}

/** Creates a generator of random requests by kind; order ids are unique. */
export const createTraffic = (random: Random) => {
  let orderCount = 0
  const creators: Record<TrafficKind, () => SentRequest> = {
    [TrafficKind.Model]: () => ({ kind: TrafficKind.Model, callerRequest: modelRequest(random), results: [] }),
    [TrafficKind.Lookup]: () => ({ kind: TrafficKind.Lookup, callerRequest: lookupRequest(random), results: [] }),
    [TrafficKind.Order]: () => {
      const orderId = `order-${orderCount++}`
      return { kind: TrafficKind.Order, callerRequest: orderRequest(random, orderId), results: [], orderId }
    }
  }
  return { create: (kind: TrafficKind) => creators[kind]() }
}

const RETRIES_MAX = 4
const RETRY_DELAY_MS = 150
const TOO_MANY_REQUESTS = 429

/**
 * Sends a request and retries it through other addresses, as docs/callers.md recommends: if it did not
 * run, or if its outcome is unknown and it is idempotent or has an idempotency key. The first address
 * is the one at `firstAddressIndex`, modulo the number of addresses.
 */
export const sendWithRetries = async (caller: CallerClient, sent: SentRequest, firstAddressIndex: number): Promise<void> => {
  for (let attempt = 0; attempt <= RETRIES_MAX; attempt++) {
    await caller.refreshIfStale(sent.callerRequest.customer)
    const addresses = caller.addresses()
    const result = await caller.send(addresses[(firstAddressIndex + attempt) % addresses.length]!, sent.callerRequest)
    sent.results.push(result)
    if (result.isComplete) return
    // A customer limit applies at every entry, so only waiting helps. Other refusals may not apply at
    // another entry.
    const delayMs = result.status === TOO_MANY_REQUESTS ? result.retryAfterMs : RETRY_DELAY_MS
    await new Promise(resolve => setTimeout(resolve, delayMs))
  }
}
