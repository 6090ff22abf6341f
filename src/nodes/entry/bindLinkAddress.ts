import { createSocket, type Socket } from 'node:dgram'
import { once } from 'node:events'
import { isAddressInUse } from '../../core/index.js'

/** A port that is free over TCP may be used over UDP, so another one is tried this often. */
const PORT_ATTEMPTS = 20

interface Listener { readonly port: number, close (): Promise<void> }

export interface BindLinkAddressOptions<Server extends Listener> {
  host: string
  /** 0 selects a port that is free over TCP and over UDP. */
  port: number
  /** Starts the server of links. */
  listen: () => Promise<Server>
}

const bindDatagrams = async (host: string, port: number): Promise<Socket> => {
  const socket = createSocket(host.includes(':') ? 'udp6' : 'udp4')
  try {
    socket.bind(port, host)
    await once(socket, 'listening')
  } catch (error) {
    socket.close()
    throw error
  }
  return socket
}

/**
 * Binds the link address of an entry: links use it over TCP, gossip over UDP.
 *
 * @throws the error of the listener if the address is in use
 * @example
 * const { server, socket } = await bindLinkAddress({ host: '127.0.0.1', port: 0, listen: () => listenForLinks(options) })
 */
export const bindLinkAddress = async <Server extends Listener>(
  { host, port, listen }: BindLinkAddressOptions<Server>
): Promise<{ server: Server, socket: Socket }> => {
  for (let attempt = 1; ; attempt++) {
    const server = await listen()
    try {
      return { server, socket: await bindDatagrams(host, server.port) }
    } catch (error) {
      await server.close()
      if (port !== 0 || attempt >= PORT_ATTEMPTS || !isAddressInUse(error)) throw error
    }
  }
}
