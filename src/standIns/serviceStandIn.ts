import fastify, { type FastifyReply, type FastifyRequest } from 'fastify'
import { UpstreamResponseHeader } from '../clients/index.js'
import { listenOnLoopback, type StandInServer } from './listenOnLoopback.js'

export interface ServiceStandIn extends StandInServer {
  /** Number of bookings of each order id; more than one means that a request ran twice. */
  readonly runsByOrder: ReadonlyMap<string, number>
  readonly lookupCount: number
  /** When each lookup arrived. */
  readonly lookupTimesMs: number[]
  faults: {
    /** Requests per second that the service names in its responses; it does not enforce them. */
    limitPerS: number | undefined
    /** The service says in its responses that it is about to stop; it goes on serving. */
    isLeaving: boolean
    /** Lookups are turned away with 503 and this `Retry-After`. */
    retryAfterS: number | undefined
    /** Orders take effect, but the connection closes before the response. */
    dropsResponses: boolean
    delayMs: number
  }
}

/**
 * Starts a stand-in for a plain booking service. `POST /orders {orderId}` and `POST /bookings {orderId}` are not
 * idempotent: a request that is sent twice books twice. `GET /stock/:item` and `GET /shelters/:item` are idempotent.
 *
 * @example
 * const service = await startServiceStandIn()
 * service.runsByOrder.get('order-7') // 1
 */
export const startServiceStandIn = async ({ port = 0 }: { port?: number } = {}): Promise<ServiceStandIn> => {
  const runsByOrder = new Map<string, number>()
  const faults: ServiceStandIn['faults'] = { limitPerS: undefined, isLeaving: false, retryAfterS: undefined, dropsResponses: false, delayMs: 0 }
  const lookupTimesMs: number[] = []
  let running = 0
  let sequence = 0
  const app = fastify({ forceCloseConnections: true })

  const delay = async () => {
    if (faults.delayMs > 0) await new Promise(resolve => setTimeout(resolve, faults.delayMs))
  }

  const book = async (request: FastifyRequest<{ Body: { orderId: string } }>, reply: FastifyReply) => {
    running += 1
    try {
      const { orderId } = request.body
      const runs = (runsByOrder.get(orderId) ?? 0) + 1
      runsByOrder.set(orderId, runs)
      await delay()
      if (faults.dropsResponses) {
        request.raw.socket.destroy()
        return reply.hijack()
      }
      return reply.code(201).send({ orderId, booked: true, run: runs })
    } finally {
      running -= 1
    }
  }

  const lookUp = async ({ params: { item } }: FastifyRequest<{ Params: { item: string } }>, reply: FastifyReply) => {
    lookupTimesMs.push(performance.now())
    await delay()
    if (faults.retryAfterS !== undefined) return reply.code(503).header(UpstreamResponseHeader.RetryAfter, String(faults.retryAfterS)).send({})
    return { item, available: 12 }
  }

  app.addHook('onSend', async (request, reply) => {
    if (request.url === '/load') return
    if (faults.limitPerS !== undefined) reply.header(UpstreamResponseHeader.RateLimit, String(faults.limitPerS))
    if (faults.isLeaving) reply.header(UpstreamResponseHeader.Leaving, '1')
  })
  app.post('/orders', book)
  app.post('/bookings', book)
  app.get('/stock/:item', lookUp)
  app.get('/shelters/:item', lookUp)

  app.get('/load', async () => ({
    sequence: ++sequence, madeAtMs: Date.now(), queuedTokens: 0, runningRequests: running, tokensPerS: 1_000
  }))

  const server = await listenOnLoopback(app, port)
  return { ...server, runsByOrder, get lookupCount () { return lookupTimesMs.length }, lookupTimesMs, faults }
}
