import { Agent, createServer, request } from 'node:http'
import type { AddressInfo } from 'node:net'
import { once } from 'node:events'

/**
 * Starts the naive baseline of the per-core figures: a server that pipes bytes between caller and upstream,
 * without limits, routing, completeness checks or stream resumption.
 *
 * @example
 * const { url } = await startNaiveRelay('http://127.0.0.1:7301')
 */
export const startNaiveRelay = async (upstreamUrl: string): Promise<{ url: string }> => {
  const agent = new Agent({ keepAlive: true })
  const server = createServer((incoming, outgoing) => {
    const upstream = request(`${upstreamUrl}${incoming.url}`, { method: incoming.method, headers: incoming.headers, agent })
    upstream.on('response', response => {
      outgoing.writeHead(response.statusCode ?? 502, response.headers)
      response.pipe(outgoing)
    })
    upstream.on('error', () => outgoing.destroy())
    incoming.on('error', () => upstream.destroy())
    incoming.pipe(upstream)
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}` }
}
