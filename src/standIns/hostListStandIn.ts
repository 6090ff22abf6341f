import fastify from 'fastify'
import type { HostListEntry } from '../membership/index.js'
import { listenOnLoopback, type StandInServer } from './listenOnLoopback.js'

export interface HostListStandIn extends StandInServer {
  /** Replaces the list; responses show it after `lagMs`. */
  setHosts (hosts: readonly HostListEntry[]): void
}

/**
 * Starts a stand-in for the platform's host list. Responses show the list as it was `lagMs` ago.
 *
 * @example
 * const hostList = await startHostListStandIn({ lagMs: 5_000 })
 */
export const startHostListStandIn = async (
  { port = 0, lagMs = 5_000 }: { port?: number, lagMs?: number } = {}
): Promise<HostListStandIn> => {
  const snapshots: { setAtMs: number, hosts: readonly HostListEntry[] }[] = [{ setAtMs: 0, hosts: [] }]
  const app = fastify({ forceCloseConnections: true })
  app.get('/hosts', async () => {
    const visibleAtMs = Date.now() - lagMs
    return snapshots.findLast(({ setAtMs }) => setAtMs <= visibleAtMs)?.hosts ?? []
  })
  const server = await listenOnLoopback(app, port)
  return { ...server, setHosts: hosts => { snapshots.push({ setAtMs: Date.now(), hosts }) } }
}
