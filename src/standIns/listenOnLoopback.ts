import type { AddressInfo } from 'node:net'
import type { FastifyInstance } from 'fastify'

export interface StandInServer {
  readonly url: string
  readonly port: number
  close (): Promise<void>
}

/** Starts a server on the loopback address; port 0 selects a free port. */
export const listenOnLoopback = async (app: FastifyInstance, port: number): Promise<StandInServer> => {
  await app.listen({ host: '127.0.0.1', port })
  const actualPort = (app.server.address() as AddressInfo).port
  return {
    url: `http://127.0.0.1:${actualPort}`,
    port: actualPort,
    close: async () => {
      app.server.closeAllConnections()
      await app.close()
    }
  }
}
