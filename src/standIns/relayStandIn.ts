import { once } from 'node:events'
import { type AddressInfo, connect, createServer, type Socket } from 'node:net'

/** A TCP relay in front of one address. */
export interface RelayStandIn {
  /** Address that peers dial, as `host:port`. */
  readonly address: string
  readonly connectionCount: number
  /** Address that connections go to; set once the process behind the relay listens. */
  setTarget (address: string): void
  /**
   * Drops all bytes of the connections that are open now, in both directions and without closing
   * them, as a middlebox does that lost their state. New connections work.
   */
  silence (): void
  close (): Promise<void>
}

/**
 * Starts a relay that can go silent without closing its connections.
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

  const pass = (from: Socket, to: Socket) => {
    sockets.add(from)
    from.on('data', bytes => { if (!silenced.has(from)) to.write(bytes) })
    from.on('error', () => from.destroy())
    from.on('close', () => {
      sockets.delete(from)
      // A silent connection passes no close on either.
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
    pass(incoming, outgoing)
    pass(outgoing, incoming)
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
