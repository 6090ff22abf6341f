import { createSocket } from 'node:dgram'
import { type SlowdownNotice, parseAddress } from '../../membership/index.js'
import { AgentMessageKind, type AgentMessage } from './types.js'

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
}

const KINDS: ReadonlySet<unknown> = new Set(Object.values(AgentMessageKind))

const decode = (bytes: Buffer): AgentMessage => {
  const message = JSON.parse(bytes.toString('utf8')) as AgentMessage
  const isValid = KINDS.has(message.kind) && Number.isInteger(message.rank) && typeof message.group === 'string'
  if (!isValid) throw new TypeError('message has an unknown kind, or no valid rank or group')
  return message
}

/**
 * Binds the UDP socket over which agents exchange messages.
 *
 * @example
 * const socket = openAgentSocket({ ip: '10.1.0.43', port: 7340, onMessage, onFault })
 */
export const openAgentSocket = ({ ip, port, onMessage, onFault }: AgentSocketOptions): AgentSocket => {
  const socket = createSocket('udp4')
  socket.on('message', (bytes, { address }) => {
    try {
      onMessage(decode(bytes), address)
    } catch (error) {
      onFault(`datagram from ${address}: ${error instanceof Error ? error.message : String(error)}`)
    }
  })
  socket.on('error', error => onFault(error.message))
  socket.bind(port, ip)
  const sendTo = (host: string, targetPort: number, content: AgentMessage | SlowdownNotice) => {
    socket.send(JSON.stringify(content), targetPort, host, error => {
      if (error !== null) onFault(`send to ${host} failed: ${error.message}`)
    })
  }

  return {
    send: (target, message) => sendTo(target, port, message),
    sendToEntry: (address, notice) => {
      const target = parseAddress(address)
      if (target !== undefined) sendTo(target.host, target.port, notice)
    },
    close: () => { socket.close() }
  }
}
