import { createSocket } from 'node:dgram'
import { createTask, dispatch, type HandlerTable, OverflowPolicy } from '../core/index.js'
import { type PeerReports, createPeerReports, type PeerReportsOptions } from './createPeerReports.js'
import { parseAddress } from './parseAddress.js'
import { type SlowdownNotice, type PeerEffect, PeerEffectKind, type PeerMessage, PeerMessageKind, type PeerLoad, PEER_TICK_MS, type PeerReport } from './peerTypes.js'

/** Effects that are reported to other tasks; the task itself performs the sending of reports. */
export type PeerEvent = Exclude<PeerEffect, { kind: PeerEffectKind.SendReport }>

export interface PeerReportTaskOptions extends PeerReportsOptions {
  onEvent: (event: PeerEvent) => void
  /** Called for a datagram that could not be sent or decoded, and for socket errors. */
  onFault: (reason: string) => void
}

export interface PeerReportTask {
  readonly reports: PeerReports
  post (message: PeerMessage): void
  stop (): void
}

const isRecordOfNumbers = (value: unknown): value is Record<string, number> =>
  typeof value === 'object' && value !== null && Object.values(value).every(entry => typeof entry === 'number')

const arePauses = (value: unknown): boolean =>
  typeof value === 'object' && value !== null && Object.values(value).every(isRecordOfNumbers)

const isLoad = ({ incarnation, sequence, running, pauses }: PeerLoad) =>
  typeof incarnation === 'string' && Number.isFinite(sequence) && isRecordOfNumbers(running) && arePauses(pauses)

const areTextLists = (value: unknown): boolean =>
  typeof value === 'object' && value !== null && Object.values(value).every(list =>
    Array.isArray(list) && list.every(text => typeof text === 'string'))

const isReport = ({ nodeId, zone, frontAddress, isReady, configurationVersion, storeOffsets, crashes, paces, peerAddresses = [] }: PeerReport) =>
  [nodeId, zone, frontAddress, ...peerAddresses].every(text => typeof text === 'string') &&
  typeof isReady === 'boolean' && Number.isFinite(configurationVersion) && isRecordOfNumbers(storeOffsets) && areTextLists(crashes) && isRecordOfNumbers(paces)

const isSlowdownNotice = (message: PeerReport | SlowdownNotice): message is SlowdownNotice =>
  'workerId' in message && typeof message.workerId === 'string' && Number.isFinite(message.pace)

/** Decodes a datagram. Any process that reaches the port can send one, so incomplete reports are rejected. */
const decodeReport = (bytes: Buffer, fromAddress: string): PeerMessage => {
  const report = JSON.parse(bytes.toString('utf8')) as PeerReport | SlowdownNotice
  if (isSlowdownNotice(report)) return { kind: PeerMessageKind.SlowdownReceived, notice: { workerId: report.workerId, pace: report.pace } }
  if (!isLoad(report)) throw new TypeError('report has a missing or invalid field')
  if (report.nodeId === undefined) return { kind: PeerMessageKind.LoadReceived, load: report, fromAddress }
  if (!isReport(report)) throw new TypeError('report has a missing or invalid field')
  return { kind: PeerMessageKind.ReportReceived, report, fromAddress }
}

/**
 * Binds a UDP socket to the address of this process and exchanges reports.
 *
 * @example
 * const task = startPeerReportTask({ clock, random, ownAddress, seeds, describeSelf, onEvent, onFault })
 */
export const startPeerReportTask = ({ onEvent, onFault, ...options }: PeerReportTaskOptions): PeerReportTask => {
  const reports = createPeerReports(options)
  const socket = createSocket('udp4')
  const bindAddress = parseAddress(options.ownAddress)
  if (bindAddress === undefined) throw new TypeError(`not an IP address and port: ${options.ownAddress}`)

  const sendReport = (addresses: readonly string[], report: PeerReport | PeerLoad) => {
    const bytes = Buffer.from(JSON.stringify(report))
    for (const address of addresses) {
      const target = parseAddress(address)
      if (target !== undefined) socket.send(bytes, target.port, target.host, error => { if (error !== null) onFault(`send to ${address}: ${error.message}`) })
    }
  }

  const performers: HandlerTable<PeerEffect, void> = {
    [PeerEffectKind.SendReport]: ({ addresses, report }) => sendReport(addresses, report),
    [PeerEffectKind.PeerUpdated]: onEvent,
    [PeerEffectKind.PeerLost]: onEvent,
    [PeerEffectKind.SlowdownReported]: onEvent
  }

  const task = createTask<PeerMessage, PeerEffect>({
    name: 'peers', core: reports, perform: effect => dispatch(performers, effect), overflow: OverflowPolicy.DropOldest
  })

  socket.on('message', (bytes, { address, port }) => {
    try {
      task.post(decodeReport(bytes, `${address}:${port}`))
    } catch (error) {
      onFault(`datagram from ${address}:${port}: ${error instanceof Error ? error.message : String(error)}`)
    }
  })
  socket.on('error', error => onFault(error.message))
  socket.bind(bindAddress.port, bindAddress.host)
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
