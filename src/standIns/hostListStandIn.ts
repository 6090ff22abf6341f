import fastify from 'fastify'
import type { HostListEntry } from '../clients/index.js'
import { listenOnLoopback, type StandInServer } from './listenOnLoopback.js'

export interface HostListStandIn extends StandInServer {
  /** Changes the list; readers see it after the lag. */
  setHosts (hosts: readonly HostListEntry[]): void
}

/**
 * Starts a stand-in of the platform's host list, which answers with the state of `lagMs` ago.
 *
 * @example
 * const hostList = await startHostListStandIn({ lagMs: 5_000 })
 */
export const startHostListStandIn = async (
  { port = 0, lagMs = 5_000 }: { port?: number, lagMs?: number } = {}
): Promise<HostListStandIn> => {
  const versions: { fromMs: number, hosts: readonly HostListEntry[] }[] = [{ fromMs: 0, hosts: [] }]
  const app = fastify({ forceCloseConnections: true })
  app.get('/hosts', async () => {
    const visibleMs = Date.now() - lagMs
    return versions.findLast(({ fromMs }) => fromMs <= visibleMs)?.hosts ?? []
  })
  const server = await listenOnLoopback(app, port)
  return { ...server, setHosts: hosts => { versions.push({ fromMs: Date.now(), hosts }) } }
}
