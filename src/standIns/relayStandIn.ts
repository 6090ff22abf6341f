import { once } from 'node:events'
import { type AddressInfo, connect, createServer, type Socket } from 'node:net'

/** A TCP relay to a single target address. */
export interface RelayStandIn {
  /** Address on which the relay listens, as `host:port`. */
  readonly address: string
  readonly connectionCount: number
  /** Sets the address to which connections are forwarded; until then they are closed. */
  setTarget (address: string): void
  /**
   * Discards all data of the currently open connections in both directions without closing them, like a middlebox
   * that has lost their state. New connections are forwarded.
   */
  silence (): void
  close (): Promise<void>
}

/**
 * Starts a relay that can stop forwarding without closing its connections.
 *
 * @example
 * const relay = await startRelayStandIn()
 * relay.setTarget(agent.linkAddress)
 * relay.silence()
 */
export const startRelayStandIn = async (): Promise<RelayStandIn> => {
  const sockets = new Set<Socket>()
  let silenced = new WeakSet<Socket>()
  let target: { host: string, port: number } | undefined
  let connectionCount = 0

  const forwardBytes = (from: Socket, to: Socket) => {
    sockets.add(from)
    from.on('data', bytes => { if (!silenced.has(from)) to.write(bytes) })
    from.on('error', () => from.destroy())
    from.on('close', () => {
      sockets.delete(from)
      // A silenced connection does not propagate the close either.
      if (!silenced.has(from)) to.destroy()
    })
  }

  const server = createServer(incoming => {
    if (target === undefined) {
      incoming.destroy()
      return
    }
    connectionCount += 1
    const outgoing = connect(target)
    forwardBytes(incoming, outgoing)
    forwardBytes(outgoing, incoming)
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    get connectionCount () { return connectionCount },
    setTarget: address => {
      const [host = '', port] = address.split(':')
      target = { host, port: Number(port) }
    },
    silence: () => sockets.forEach(socket => silenced.add(socket)),
    close: async () => {
      silenced = new WeakSet()
      sockets.forEach(socket => socket.destroy())
      await new Promise<void>(resolve => server.close(() => resolve()))
    }
  }
}
