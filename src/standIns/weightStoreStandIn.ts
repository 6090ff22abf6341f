import fastify from 'fastify'
import { listenOnLoopback, type StandInServer } from './listenOnLoopback.js'

const RETRY_AFTER_MAX_S = 60

/**
 * Starts a stand-in for the weight store. `GET /weights/:name?bytes=N` is limited to a rate in bytes per second;
 * beyond it the response is 429 with `Retry-After`.
 *
 * @example
 * const store = await startWeightStoreStandIn({ bytesPerS: 1_000_000 })
 */
export const startWeightStoreStandIn = async (
  { port = 0, bytesPerS = 10_000_000 }: { port?: number, bytesPerS?: number } = {}
): Promise<StandInServer & { readonly servedBytes: number }> => {
  let budgetBytes = bytesPerS
  let refilledAtMs = Date.now()
  let servedBytes = 0
  const app = fastify({ forceCloseConnections: true })

  const refill = () => {
    const nowMs = Date.now()
    budgetBytes = Math.min(bytesPerS, budgetBytes + (nowMs - refilledAtMs) * bytesPerS / 1_000)
    refilledAtMs = nowMs
  }

  app.get<{ Params: { name: string }, Querystring: { bytes: string } }>('/weights/:name', async (request, reply) => {
    refill()
    const bytes = Number(request.query.bytes)
    if (bytes > budgetBytes) {
      const waitS = Math.min(RETRY_AFTER_MAX_S, Math.ceil((bytes - budgetBytes) / bytesPerS))
      return reply.code(429).header('retry-after', waitS).send({ error: 'rate limit' })
    }
    budgetBytes -= bytes
    servedBytes += bytes
    return { name: request.params.name, bytes }
  })

  const server = await listenOnLoopback(app, port)
  return { ...server, get servedBytes () { return servedBytes } }
}
