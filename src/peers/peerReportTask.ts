import type { Socket } from 'node:dgram'
import { createTask, dispatch, type HandlerTable, OverflowPolicy } from '../core/index.js'
import { parseAddress } from '../membership/index.js'
import { PEER_TICK_MS } from './constants.js'
import { type PeerReports, createPeerReports, type PeerReportsOptions } from './createPeerReports.js'
import { decodeDatagram, encodeDatagram } from './datagramCodec.js'
import { type DatagramContent, type PeerDatagram, type PeerEffect, PeerEffectKind, type PeerMessage, PeerMessageKind } from './types.js'

/** Effects that are reported to other tasks; the task itself performs the sending of datagrams. */
export type PeerEvent = Exclude<PeerEffect, { kind: PeerEffectKind.Send }>

export interface PeerReportTaskOptions extends PeerReportsOptions {
  /** Bound to the address of this process. */
  socket: Socket
  onEvent: (event: PeerEvent) => void
  /** Called for each datagram sent, with its size. */
  onSent: (content: DatagramContent, address: string, bytes: number) => void
  /** Called for a datagram that could not be sent or decoded, and for socket errors. */
  onFault: (reason: string) => void
}

export interface PeerReportTask {
  readonly reports: PeerReports
  post (message: PeerMessage): void
  stop (): void
}

/**
 * Exchanges reports over the UDP socket of this process, and closes it at the end.
 *
 * @example
 * const task = startPeerReportTask({ socket, clock, random, ownNodeId, ownZone, ownAddress, seeds, describeSelf, onEvent, onSent, onFault })
 */
export const startPeerReportTask = ({ socket, onEvent, onSent, onFault, ...options }: PeerReportTaskOptions): PeerReportTask => {
  const reports = createPeerReports(options)

  const send = (addresses: readonly string[], datagram: PeerDatagram) => {
    const bytes = encodeDatagram(datagram)
    for (const address of addresses) {
      const target = parseAddress(address)
      if (target === undefined) continue
      onSent(datagram.content, address, bytes.length)
      socket.send(bytes, target.port, target.host, error => { if (error !== null) onFault(`send to ${address}: ${error.message}`) })
    }
  }

  const performers: HandlerTable<PeerEffect, void> = {
    [PeerEffectKind.Send]: ({ addresses, datagram }) => send(addresses, datagram),
    [PeerEffectKind.PeerUpdated]: onEvent,
    [PeerEffectKind.PeerLost]: onEvent,
    [PeerEffectKind.ZoneUpdated]: onEvent,
    [PeerEffectKind.ZoneLost]: onEvent,
    [PeerEffectKind.SlowdownReported]: onEvent,
    [PeerEffectKind.PermitsRequested]: onEvent,
    [PeerEffectKind.PermitsAnswered]: onEvent
  }

  const task = createTask<PeerMessage, PeerEffect>({
    name: 'peers',
    core: reports,
    perform: effect => dispatch(performers, effect),
    overflow: OverflowPolicy.DropOldest,
    onFailure: ({ error }) => onFault(`a message was not handled: ${error instanceof Error ? error.stack ?? error.message : String(error)}`)
  })

  socket.on('message', (bytes, { address, port }) => {
    try {
      task.post({ kind: PeerMessageKind.DatagramReceived, datagram: decodeDatagram(bytes), fromAddress: `${address}:${port}` })
    } catch (error) {
      onFault(`datagram from ${address}:${port}: ${error instanceof Error ? error.message : String(error)}`)
    }
  })
  socket.on('error', error => onFault(error.message))
  task.tickEvery(PEER_TICK_MS, () => ({ kind: PeerMessageKind.Tick }))

  return {
    reports,
    post: message => { task.post(message) },
    stop: () => {
      task.stop()
      socket.close()
    }
  }
}
