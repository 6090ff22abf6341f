import { createServer, type AddressInfo } from 'node:net'
import type { Clock } from '../core/index.js'
import { LinkSide } from './handshake.js'
import { type LinkEvent, type LinkHandle, runLinkTask } from './linkTask.js'
import type { FleetKey, PeerIdentity } from './types.js'

export interface LinkServerOptions {
  host: string
  /** 0 selects a free port. */
  port: number
  /** Called for each connection, as the process knows its own address only after it listens. */
  self: () => PeerIdentity
  keys: () => readonly FleetKey[]
  clock: Clock
  emit: (event: LinkEvent) => void
}

export interface LinkServer {
  readonly port: number
  close (): Promise<void>
}

/**
 * Accepts links from other processes of the fleet.
 *
 * @example
 * const server = await listenForLinks({ host: '127.0.0.1', port: 0, self, keys, clock, emit: task.post })
 */
export const listenForLinks = async ({ host, port, self, keys, clock, emit }: LinkServerOptions): Promise<LinkServer> => {
  const openLinks = new Set<LinkHandle>()
  const server = createServer(socket => {
    const link = runLinkTask({ socket, side: LinkSide.Acceptor, self: self(), keys, clock, emit })
    openLinks.add(link)
    socket.on('close', () => openLinks.delete(link))
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return {
    port: (server.address() as AddressInfo).port,
    close: async () => {
      openLinks.forEach(link => link.close())
      await new Promise<void>(resolve => server.close(() => resolve()))
    }
  }
}
