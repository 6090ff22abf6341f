import { createSocket } from 'node:dgram'
import { parseAddress } from '../../membership/index.js'
import { DatagramContent, encodeDatagram, type SlowdownNotice } from '../../peers/index.js'
import { createAgentCodec } from './agentCodec.js'
import type { AgentMessage } from './types.js'

export interface AgentSocket {
  /** Sends to the agent at an IP address; a lost datagram is not resent. */
  send (ip: string, message: AgentMessage): void
  /** Sends to the port on which an entry receives peer reports. */
  sendToEntry (address: string, notice: SlowdownNotice): void
  close (): void
}

export interface AgentSocketOptions {
  ip: string
  /** Port of all agents. */
  port: number
  onMessage: (message: AgentMessage, fromIp: string) => void
  onFault: (reason: string) => void
  /** Called if the address cannot be bound. */
  onBindFailed: (error: Error) => void
}

/**
 * Binds the UDP socket over which agents exchange messages.
 *
 * @example
 * const socket = openAgentSocket({ ip: '10.1.0.43', port: 7340, onMessage, onFault, onBindFailed })
 */
export const openAgentSocket = ({ ip, port, onMessage, onFault, onBindFailed }: AgentSocketOptions): AgentSocket => {
  const codec = createAgentCodec()
  const socket = createSocket('udp4')
  socket.on('message', (bytes, { address }) => {
    try {
      onMessage(codec.decode(bytes), address)
    } catch (error) {
      onFault(`datagram from ${address}: ${error instanceof Error ? error.message : String(error)}`)
    }
  })
  socket.once('error', onBindFailed)
  socket.bind(port, ip, () => {
    socket.off('error', onBindFailed)
    socket.on('error', error => onFault(error.message))
  })
  const sendTo = (host: string, targetPort: number, bytes: Buffer) => {
    socket.send(bytes, targetPort, host, error => {
      if (error !== null) onFault(`send to ${host} failed: ${error.message}`)
    })
  }

  return {
    send: (target, message) => sendTo(target, port, codec.encode(message)),
    sendToEntry: (address, notice) => {
      const target = parseAddress(address)
      if (target !== undefined) sendTo(target.host, target.port, encodeDatagram({ content: DatagramContent.Slowdown, notice }))
    },
    close: () => { socket.close() }
  }
}
