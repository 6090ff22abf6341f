import { type Clock, type Core, dispatch, type HandlerTable, type Random, type TimestampMs } from '../core/index.js'
import {
  PEER_CHANGE_DELAY_MS, type PeerEffect, PeerEffectKind, PEER_FANOUT_MAX, PEER_FORGET_MS, PEER_HEARTBEAT_MS,
  PEER_LIST_INTERVAL_MS, type PeerLoad, type PeerMessage, PeerMessageKind, type PeerReport, PEER_SILENCE_MS, SelfChange,
  type SelfDescription
} from './peerTypes.js'

interface Peer {
  address: string
  report: PeerReport | undefined
  lastReportMs: TimestampMs
  isAlive: boolean
  /** The previous incarnation of the peer; its late reports are ignored. */
  endedIncarnation: string | undefined
}

export interface PeerReportsOptions {
  clock: Clock
  random: Random
  ownAddress: string
  seeds: readonly string[]
  describeSelf: () => SelfDescription
}

/** State of the other entries, including the requests that they have in flight. */
export interface PeerReports extends Core<PeerMessage, PeerEffect> {
  alive (): PeerReport[]
  /** Addresses of live peers that are ready. */
  readyAddresses (): string[]
  /** Requests in flight at a worker from all live peers. */
  runningAt (workerId: string): number
}

/**
 * Exchanges short reports among the entries: at once when something changes, and as a heartbeat.
 * Entries discover each other through the seeds and through the addresses in reports.
 *
 * @example
 * const peers = createPeerReports({ clock, random, ownAddress, seeds, describeSelf })
 * peers.handle({ kind: PeerMessageKind.Tick })
 */
export const createPeerReports = ({ clock, random, ownAddress, seeds, describeSelf }: PeerReportsOptions): PeerReports => {
  const peers = new Map<string, Peer>()
  let sequence = 0
  /** When a pending change is sent, and whether it needs a full report. */
  let dueAtMs: TimestampMs = 0
  let isFullReportDue = true
  let lastSentMs = -PEER_HEARTBEAT_MS
  let lastListMs = -PEER_LIST_INTERVAL_MS

  const addPeer = (address: string): Peer | undefined => {
    if (address === ownAddress) return undefined
    const known = peers.get(address)
    if (known !== undefined) return known
    const peer: Peer = { address, report: undefined, lastReportMs: clock.nowMs(), isAlive: false, endedIncarnation: undefined }
    peers.set(address, peer)
    return peer
  }

  seeds.forEach(addPeer)

  const createReport = (withAddresses: boolean): PeerReport => {
    sequence += 1
    const aliveAddresses = () => [...peers.values()].filter(({ isAlive }) => isAlive).map(({ address }) => address)
    return { ...describeSelf(), sequence, ...(withAddresses ? { peerAddresses: aliveAddresses() } : {}) }
  }

  const createLoad = (): PeerLoad => {
    const { incarnation, running, pauses } = describeSelf()
    sequence += 1
    return { incarnation, sequence, running, pauses }
  }

  const pickAlivePeers = () => {
    const targets = [...peers.values()].filter(({ isAlive }) => isAlive).map(({ address }) => address)
    return targets.length <= PEER_FANOUT_MAX ? targets : random.shuffle(targets).slice(0, PEER_FANOUT_MAX)
  }

  const expire = (): PeerEffect[] => {
    const nowMs = clock.nowMs()
    const effects: PeerEffect[] = []
    for (const peer of [...peers.values()]) {
      const silentMs = nowMs - peer.lastReportMs
      if (peer.isAlive && silentMs > PEER_SILENCE_MS) {
        peer.isAlive = false
        effects.push({ kind: PeerEffectKind.PeerLost, nodeId: peer.report!.nodeId, address: peer.address })
      }
      if (!peer.isAlive && silentMs > PEER_FORGET_MS && !seeds.includes(peer.address)) peers.delete(peer.address)
    }
    return effects
  }

  const recordSend = () => {
    lastSentMs = clock.nowMs()
    dueAtMs = Infinity
    isFullReportDue = false
  }

  const onTick = (): PeerEffect[] => {
    const nowMs = clock.nowMs()
    const effects = expire()
    if (nowMs - lastListMs >= PEER_LIST_INTERVAL_MS) {
      lastListMs = nowMs
      recordSend()
      // Also sent to silent peers: a partition may have healed, or a seed may have started only now.
      effects.push({ kind: PeerEffectKind.SendReport, addresses: [...peers.keys()], report: createReport(true) })
    } else if (nowMs >= dueAtMs || nowMs - lastSentMs >= PEER_HEARTBEAT_MS) {
      const report = isFullReportDue ? createReport(false) : createLoad()
      recordSend()
      effects.push({ kind: PeerEffectKind.SendReport, addresses: pickAlivePeers(), report })
    }
    return effects
  }

  const onSelfChanged = (change: SelfChange): PeerEffect[] => {
    dueAtMs = Math.min(dueAtMs, clock.nowMs() + PEER_CHANGE_DELAY_MS[change])
    isFullReportDue ||= change === SelfChange.State
    return []
  }

  const isStale = ({ report, endedIncarnation }: Peer, { incarnation, sequence: received }: PeerLoad) =>
    incarnation === endedIncarnation || (report?.incarnation === incarnation && report.sequence >= received)

  const onReport = (report: PeerReport, fromAddress: string): PeerEffect[] => {
    const peer = addPeer(fromAddress)
    if (peer === undefined || isStale(peer, report)) return []
    const isNew = !peer.isAlive || peer.report?.incarnation !== report.incarnation
    if (peer.report !== undefined && peer.report.incarnation !== report.incarnation) peer.endedIncarnation = peer.report.incarnation
    peer.report = report
    peer.lastReportMs = clock.nowMs()
    peer.isAlive = true
    const unknown = (report.peerAddresses ?? []).filter(address => address !== ownAddress && !peers.has(address))
    unknown.forEach(addPeer)
    const recipients = isNew ? [fromAddress, ...unknown] : unknown
    const effects: PeerEffect[] = [{ kind: PeerEffectKind.PeerUpdated, report, isNew }]
    return recipients.length === 0
      ? effects
      : [...effects, { kind: PeerEffectKind.SendReport, addresses: recipients, report: createReport(true) }]
  }

  /** Merges a short report into the last full report; ignored without a full report of the same run. */
  const onLoad = (load: PeerLoad, fromAddress: string): PeerEffect[] => {
    const peer = peers.get(fromAddress)
    if (peer?.report?.incarnation !== load.incarnation) return []
    return onReport({ ...peer.report, ...load, peerAddresses: [] }, fromAddress)
  }

  const handlers: HandlerTable<PeerMessage, PeerEffect[]> = {
    [PeerMessageKind.Tick]: onTick,
    [PeerMessageKind.ReportReceived]: ({ report, fromAddress }) => onReport(report, fromAddress),
    [PeerMessageKind.LoadReceived]: ({ load, fromAddress }) => onLoad(load, fromAddress),
    [PeerMessageKind.SlowdownReceived]: ({ notice }) => [{ kind: PeerEffectKind.SlowdownReported, ...notice }],
    [PeerMessageKind.SelfChanged]: ({ change }) => onSelfChanged(change),
    [PeerMessageKind.ProcessResumed]: () => {
      // Reports from before a process pause are outdated, but missing reports during it prove no failure.
      for (const peer of peers.values()) {
        if (peer.isAlive) peer.lastReportMs = clock.nowMs()
      }
      return []
    }
  }

  const alive = () => [...peers.values()].filter(({ isAlive }) => isAlive).map(({ report }) => report!)

  return {
    handle: message => dispatch(handlers, message),
    alive,
    readyAddresses: () => [...peers.values()].filter(({ isAlive, report }) => isAlive && report!.isReady).map(({ address }) => address),
    runningAt: workerId => alive().reduce((sum, { running }) => sum + (running[workerId] ?? 0), 0)
  }
}
