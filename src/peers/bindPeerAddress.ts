import { createSocket, type Socket } from 'node:dgram'
import { once } from 'node:events'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { isAddressInUse } from '../core/index.js'
import { parseAddress } from '../membership/index.js'

/** A port that is free over TCP may be used over UDP, so another one is tried this often. */
const PORT_ATTEMPTS = 20

/** The control address of an entry, held over UDP and over TCP. */
export interface PeerBinding {
  /** `ip:port` with the port that is bound. */
  address: string
  /** For reports among entries. */
  socket: Socket
  /** For the calls by which entries pass on the store's records. */
  server: Server
}

const bindBoth = async (host: string, port: number): Promise<PeerBinding> => {
  const server = createServer().listen(port, host)
  await once(server, 'listening')
  const { port: boundPort } = server.address() as AddressInfo
  const socket = createSocket('udp4')
  try {
    socket.bind(boundPort, host)
    await once(socket, 'listening')
  } catch (error) {
    server.close()
    socket.close()
    throw error
  }
  return { address: `${host}:${boundPort}`, socket, server }
}

/**
 * Binds the control address of an entry. Port 0 selects a port that is free over UDP and over TCP.
 *
 * @throws TypeError if the address is not an IP address with a port, and the error of the listener if it is in use
 * @example
 * const { address, socket, server } = await bindPeerAddress('127.0.0.1:0')
 */
export const bindPeerAddress = async (address: string): Promise<PeerBinding> => {
  const anyPort = address.endsWith(':0')
  // `parseAddress` refuses port 0, as no message can be sent to it.
  const parsed = parseAddress(anyPort ? address.replace(/0$/, '1') : address)
  if (parsed === undefined) throw new TypeError(`not an IP address and port: ${address}`)
  if (!anyPort) return bindBoth(parsed.host, parsed.port)
  for (let attempt = 1; ; attempt++) {
    try {
      return await bindBoth(parsed.host, 0)
    } catch (error) {
      if (attempt >= PORT_ATTEMPTS || !isAddressInUse(error)) throw error
    }
  }
}
