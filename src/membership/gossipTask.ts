import type { Socket } from 'node:dgram'
import { createLog, createTask, dispatch, type HandlerTable, OverflowPolicy, type Task } from '../core/index.js'
import type { FleetKey } from '../links/index.js'
import { GOSSIP_TICK_MS } from './constants.js'
import { createDatagramCodec, type DatagramCodec } from './datagramCodec.js'
import { createGossip, type GossipOptions } from './createGossip.js'
import { parseAddress } from './parseAddress.js'
import { type Datagram, type GossipEffect, GossipEffectKind, type GossipMessage, GossipMessageKind } from './types.js'

/** Effects that are reported to other tasks; the task itself performs the sending of datagrams. */
export type GossipReport = Exclude<GossipEffect, { kind: GossipEffectKind.SendDatagram }>

export interface GossipCounts {
  receivedCount: number
  /** Datagrams that were malformed, truncated, oversize or not authenticated. */
  droppedCount: number
  /** Datagrams rejected because the mailbox was full. */
  overflowCount: number
  sentCount: number
  sendFailedCount: number
  sentBytes: number
  receivedBytes: number
}

export interface GossipTaskOptions extends GossipOptions {
  /** Accepted keys; the first one signs. */
  keys: readonly FleetKey[]
  onReport: (report: GossipReport) => void
  /** Bound to the address of this process; the task closes it at the end. */
  socket: Socket
}

export interface GossipTask {
  post: Task<GossipMessage>['post']
  /** Replaces the accepted keys during a key rotation. */
  setKeys (keys: readonly FleetKey[]): void
  readonly counts: Readonly<GossipCounts>
  stop (): Promise<void>
}

const formatAddress = (host: string, port: number) => host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`

const log = createLog('membership')

/**
 * Runs the gossip core over the UDP socket of this process.
 *
 * @example
 * const task = startGossipTask({ self, socket, keys, seeds, freeCapacityRequests: 40, clock, random, onReport })
 * task.post({ kind: GossipMessageKind.FreeCapacityChanged, freeCapacityRequests: 12 })
 */
export const startGossipTask = ({ keys, onReport, socket, ...options }: GossipTaskOptions): GossipTask => {
  const core = createGossip(options)
  let codec: DatagramCodec = createDatagramCodec(keys)
  const counts: GossipCounts = {
    receivedCount: 0, droppedCount: 0, overflowCount: 0, sentCount: 0, sendFailedCount: 0, sentBytes: 0, receivedBytes: 0
  }

  const onSent = (error: Error | null) => {
    if (error === null) return
    counts.sendFailedCount += 1
    log('sending a datagram failed: %s', error.message)
  }

  const sendDatagram = (address: string, datagram: Datagram) => {
    const target = parseAddress(address)
    if (target === undefined) {
      counts.sendFailedCount += 1
      return
    }
    const bytes = codec.encode(datagram)
    counts.sentCount += 1
    counts.sentBytes += bytes.length
    socket.send(bytes, target.port, target.host, onSent)
  }

  const performers: HandlerTable<GossipEffect, void> = {
    [GossipEffectKind.SendDatagram]: ({ address, datagram }) => sendDatagram(address, datagram),
    [GossipEffectKind.MemberUpdated]: onReport,
    [GossipEffectKind.MemberForgotten]: onReport,
    [GossipEffectKind.BroadcastDelivered]: onReport,
    [GossipEffectKind.BroadcastRefused]: onReport,
    [GossipEffectKind.AgentRefused]: onReport,
    [GossipEffectKind.Superseded]: onReport
  }

  const task = createTask<GossipMessage, GossipEffect>({
    name: 'membership',
    core,
    perform: effect => dispatch(performers, effect),
    overflow: OverflowPolicy.RejectNew
  })

  const decode = (bytes: Buffer): Datagram | undefined => {
    try {
      return codec.decode(bytes)
    } catch (error) {
      counts.droppedCount += 1
      log('dropped a datagram: %s', error instanceof Error ? error.message : String(error))
      return undefined
    }
  }

  socket.on('message', (bytes, { address, port }) => {
    counts.receivedCount += 1
    counts.receivedBytes += bytes.length
    const datagram = decode(bytes)
    if (datagram === undefined) return
    const sourceAddress = formatAddress(address, port)
    if (!task.post({ kind: GossipMessageKind.DatagramReceived, datagram, sourceAddress })) counts.overflowCount += 1
  })

  socket.on('error', error => log('UDP socket error: %s', error.message))
  task.tickEvery(GOSSIP_TICK_MS, () => ({ kind: GossipMessageKind.Tick }))

  return {
    post: task.post,
    setKeys: newKeys => { codec = createDatagramCodec(newKeys) },
    counts,
    stop: () => {
      task.stop()
      return new Promise(resolve => { socket.close(() => resolve()) })
    }
  }
}
