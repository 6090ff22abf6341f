import { z } from 'zod'
import { createJsonClient } from './httpJson.js'
import { type EngineState, engineStateAnswerSchema, OrderResult } from '../orders/index.js'

const ORDER_TIMEOUT_MS = 600_000
/** A single connection keeps orders and state queries in sequence, and a lost request implies that it closed. */
const ORDER_CONNECTIONS = 1

const orderAnswerSchema = z.object({ accepted: z.boolean() })

/** Client for the order interface of an engine. */
export interface OrderClient {
  /** Rejects if the response is lost or is no answer to an order; the order may have been executed. */
  order (token: number, order: unknown): Promise<OrderResult>
  readState (): Promise<{ state: EngineState, isBusy: boolean }>
  close (): Promise<void>
}

/**
 * Creates a client for the order interface of an engine; it uses one connection.
 *
 * @example
 * const client = createOrderClient('http://127.0.0.1:7301')
 * await client.order(token, { kind: OrderKind.LoadModel, model: 'quote-model' })
 */
export const createOrderClient = (baseUrl: string): OrderClient => {
  const json = createJsonClient(baseUrl, ORDER_TIMEOUT_MS, ORDER_CONNECTIONS)
  return {
    order: async (token, order) => {
      const { accepted } = orderAnswerSchema.parse(await json.call('POST', '/orders', { fence: token, order }))
      return accepted ? OrderResult.Done : OrderResult.RefusedStale
    },
    readState: async () => engineStateAnswerSchema.parse(await json.call('GET', '/state')),
    close: () => json.close()
  }
}
