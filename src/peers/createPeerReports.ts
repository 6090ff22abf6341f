import { type Clock, type Core, dispatch, type HandlerTable, type Random, rankByRendezvous, type TimestampMs } from '../core/index.js'
import { isSameCrashReport } from '../quarantine/index.js'
import { haveSameLimits } from '../workerLimits/index.js'
import {
  PEER_CHANGE_DELAY_MS, PEER_HEARTBEAT_MS, PEER_LIST_INTERVAL_MS, RELAYS_PER_ZONE, SelfChange
} from './constants.js'
import { createPauseGuard } from './createPauseGuard.js'
import { createPeerTable } from './createPeerTable.js'
import { withoutUpstreamTimes } from './summarizeZone.js'
import { createZoneRelay, type RelayRole } from './createZoneRelay.js'
import { createZoneTable } from './createZoneTable.js'
import { listEntries } from './listEntries.js'
import {
  DatagramContent, type EntryAddress, type FleetReport, type KnownEntry, type PeerDatagram, type PeerEffect, PeerEffectKind, type PeerLoad, type PeerMessage,
  PeerMessageKind, type PeerReport, type SelfDescription
} from './types.js'

/** Node ids of a zone's relays, the first one first. */
const rankRelays = (zone: string, nodeIds: readonly string[]): string[] => rankByRendezvous(`relay/${zone}`, nodeIds).slice(0, RELAYS_PER_ZONE)

export interface PeerReportsOptions {
  clock: Clock
  random: Random
  ownNodeId: string
  ownZone: string
  ownAddress: string
  seeds: readonly string[]
  describeSelf: () => SelfDescription
}

/** State of the other entries, including the requests that they have in flight. */
export interface PeerReports extends Core<PeerMessage, PeerEffect> {
  /** Reports of the live entries of this zone, and summaries of the other live zones. */
  reports (): FleetReport[]
  /** Reports of the live entries of this zone, with the time since each was received. */
  zonePeers (): { report: PeerReport, address: string, ageMs: number, isRecent: boolean }[]
  /** All other live entries. */
  entries (): KnownEntry[]
  /** The other entries that callers may be sent to, as far as recent reports prove. */
  callerEntries (): KnownEntry[]
  /** Number of live zones, this one included. */
  countZones (): number
  /** Number of live zones whose names come before that of this one. */
  zoneRank (): number
  /** Whether an address belongs to an entry of this zone, as far as known. */
  isInZone (address: string): boolean
  /** Requests in flight at a worker from all other live entries. */
  runningAt (workerId: string): number
}

/**
 * Exchanges reports among the entries. Entries of one zone report to each other: at once when something changes, and as
 * a heartbeat. A few entries of each zone are relays: they exchange summaries with the relays of the other zones and
 * pass them on within their own, so that the messages of an entry do not grow with the number of zones' entries.
 * Entries discover each other through the seeds and through the addresses in reports.
 *
 * @example
 * const peers = createPeerReports({ clock, random, ownNodeId, ownZone, ownAddress, seeds, describeSelf })
 * peers.handle({ kind: PeerMessageKind.Tick })
 */
export const createPeerReports = ({ clock, random, ownNodeId, ownZone, ownAddress, seeds, describeSelf }: PeerReportsOptions): PeerReports => {
  const peers = createPeerTable({ clock, ownAddress, seeds })
  const zones = createZoneTable({ clock })
  const pauseGuard = createPauseGuard({ clock })
  let sequence = 0
  /** When a pending change is sent, and whether it needs a full report. */
  let dueAtMs: TimestampMs = 0
  let isFullReportDue = true
  let lastSentMs = -PEER_HEARTBEAT_MS
  let lastListMs = -PEER_LIST_INTERVAL_MS
  /** Sum of the requests in flight by worker; computed again after each change. */
  let runningSums: Map<string, number> | undefined

  const peersOf = (zone: string) => peers.all().filter(peer => peer.zone === zone)
  const livePeers = () => peersOf(ownZone).filter(({ isAlive }) => isAlive)

  const zonePeers = () => livePeers().map(peer =>
    ({ report: peer.report!, address: peer.address, ageMs: clock.nowMs() - peer.lastReportMs, isRecent: peers.isRecent(peer) }))

  const relayRole = (): RelayRole | undefined => {
    const nodeIds = [ownNodeId, ...livePeers().map(({ report }) => report!.nodeId)]
    const index = rankRelays(ownZone, nodeIds).indexOf(ownNodeId)
    return index < 0 ? undefined : { index, isOnlyRelay: nodeIds.length === 1 }
  }

  const otherZones = () => new Set([
    ...zones.known().map(({ zone }) => zone),
    ...peers.all().flatMap(({ zone }) => zone === undefined || zone === ownZone ? [] : [zone])
  ])

  /** Addresses in another zone to which summaries are sent: its relays, or any entries while they are not known. */
  const relayAddressesOf = (zone: string): string[] => {
    const listed = zones.known().find(known => known.zone === zone)?.entries ?? []
    if (listed.length === 0) return random.shuffle(peersOf(zone)).slice(0, RELAYS_PER_ZONE).map(({ address }) => address)
    return rankRelays(zone, listed.map(({ nodeId }) => nodeId)).map(nodeId => listed.find(entry => entry.nodeId === nodeId)!.address)
  }

  const relay = createZoneRelay({
    clock,
    ownAddress,
    describeSelf,
    relayRole,
    peers: zonePeers,
    isSettling: pauseGuard.isSettling,
    targets: () => [...otherZones()].map(zone => ({ zone, addresses: relayAddressesOf(zone) }))
  })

  const createReport = (withEntries: boolean): PeerDatagram => {
    sequence += 1
    const knownEntries = (): EntryAddress[] => [
      // Entries of other zones report here only while they start and know no one else.
      ...peers.all().flatMap(({ address, zone, isAlive }) => isAlive ? [{ address, zone: zone! }] : []),
      ...zones.live().flatMap(({ zone, entries: listed }) => listed.map(({ address }) => ({ address, zone })))
    ]
    return { content: DatagramContent.Report, report: { ...describeSelf(), sequence, ...(withEntries ? { knownEntries: knownEntries() } : {}) } }
  }

  const createLoad = (): PeerDatagram => {
    const { incarnation, running, pauses, loadStep, upstreamTimes } = describeSelf()
    sequence += 1
    const optional = { ...(loadStep === undefined ? {} : { loadStep }), ...(upstreamTimes === undefined ? {} : { upstreamTimes }) }
    return { content: DatagramContent.Load, load: { incarnation, sequence, running, pauses, ...optional } }
  }

  const send = (addresses: readonly string[], datagram: PeerDatagram): PeerEffect[] =>
    addresses.length === 0 ? [] : [{ kind: PeerEffectKind.Send, addresses, datagram }]

  const expirePeers = (): PeerEffect[] => {
    const lost = peers.expire()
    if (lost.length > 0) runningSums = undefined
    const lostInZone = lost.filter(({ zone }) => zone === ownZone)
    if (lostInZone.length > 0) relay.recordChange(true)
    return lostInZone.map(({ report, address }) => ({ kind: PeerEffectKind.PeerLost, nodeId: report!.nodeId, address }))
  }

  const expireZones = (): PeerEffect[] => {
    const lost = zones.expire()
    if (lost.length > 0) runningSums = undefined
    return lost.map(zone => ({ kind: PeerEffectKind.ZoneLost, zone }))
  }

  const recordSend = () => {
    lastSentMs = clock.nowMs()
    dueAtMs = Infinity
    isFullReportDue = false
  }

  /**
   * Receivers of the report that lists all entries: the entries of this zone, also silent ones, as a partition may have
   * healed. A relay, or an entry that knows no other of its zone, also reports to the seeds and the zones without a
   * summary.
   */
  const listReceivers = (): string[] => {
    const isOutward = relayRole() !== undefined || livePeers().length === 0
    return peers.all()
      .filter(({ zone, address }) => zone === ownZone || (isOutward && (peers.isSeed(address) || zone === undefined || !zones.isLive(zone))))
      .map(({ address }) => address)
  }

  const onTick = (): PeerEffect[] => {
    const nowMs = clock.nowMs()
    pauseGuard.recordTick()
    const effects = [...expirePeers(), ...expireZones(), ...relay.tick()]
    if (nowMs - lastListMs >= PEER_LIST_INTERVAL_MS) {
      lastListMs = nowMs
      recordSend()
      effects.push(...send(listReceivers(), createReport(true)))
    } else if (nowMs >= dueAtMs || nowMs - lastSentMs >= PEER_HEARTBEAT_MS) {
      const datagram = isFullReportDue ? createReport(false) : createLoad()
      recordSend()
      effects.push(...send(livePeers().map(({ address }) => address), datagram))
    }
    return effects
  }

  const onSelfChanged = (change: SelfChange): PeerEffect[] => {
    dueAtMs = Math.min(dueAtMs, clock.nowMs() + PEER_CHANGE_DELAY_MS[change])
    isFullReportDue ||= change === SelfChange.State
    relay.recordChange(change === SelfChange.State)
    return []
  }

  const isSameState = (one: PeerReport | undefined, other: PeerReport) => one !== undefined && one.isReady === other.isReady &&
    isSameCrashReport(one.crashes, other.crashes) && haveSameLimits(one.workerLimits, other.workerLimits) && (['storePositions', 'paces'] as const).every(field => JSON.stringify(one[field]) === JSON.stringify(other[field]))

  const onReport = (report: PeerReport, fromAddress: string, isComplete: boolean): PeerEffect[] => {
    const peer = peers.add(fromAddress, report.zone)
    if (peer === undefined || peers.isStale(peer, report)) return []
    const hasStateChanged = !isSameState(peer.report, report)
    const isNew = peers.store(peer, report, isComplete)
    runningSums = undefined
    const unknown = (report.knownEntries ?? []).filter(({ address }) => address !== ownAddress && peers.get(address) === undefined)
    for (const { address, zone } of unknown) peers.add(address, zone)
    const newInZone = unknown.filter(({ zone }) => zone === ownZone).map(({ address }) => address)
    const isInZone = report.zone === ownZone
    if (isInZone) relay.recordChange(isNew || hasStateChanged)
    return [
      ...(isInZone ? [{ kind: PeerEffectKind.PeerUpdated as const, report, isNew, isComplete }] : []),
      ...send(isNew ? [fromAddress, ...newInZone] : newInZone, createReport(true))
    ]
  }

  /** Merges a short report into the last full report; ignored without a full report of the same run. */
  const onLoad = (load: PeerLoad, fromAddress: string): PeerEffect[] => {
    const known = peers.get(fromAddress)?.report
    if (known?.incarnation !== load.incarnation) return []
    return onReport({ ...withoutUpstreamTimes(known), loadStep: undefined, ...load, knownEntries: [] }, fromAddress, false)
  }

  /** A relay passes on what it receives from another zone's relay; what a relay of this zone passed on ends here. */
  const passOn = (datagram: PeerDatagram, relayAddress: string, fromAddress: string): PeerEffect[] =>
    fromAddress === relayAddress ? send(livePeers().map(({ address }) => address), datagram) : []

  const contentHandlers: { [Content in DatagramContent]: (datagram: Extract<PeerDatagram, { content: Content }>, fromAddress: string) => PeerEffect[] } = {
    [DatagramContent.Report]: ({ report }, fromAddress) => onReport(report, fromAddress, true),
    [DatagramContent.Load]: ({ load }, fromAddress) => onLoad(load, fromAddress),
    [DatagramContent.ZoneSummary]: (datagram, fromAddress) => {
      const { summary } = datagram
      const isNew = !zones.isLive(summary.zone)
      if (summary.zone === ownZone || !zones.putSummary(summary)) return []
      runningSums = undefined
      for (const { address, zone } of summary.otherRelays) if (zone !== ownZone && !zones.isLive(zone)) peers.add(address, zone)
      return [{ kind: PeerEffectKind.ZoneUpdated, summary, isNew, isComplete: true }, ...passOn(datagram, summary.relayAddress, fromAddress)]
    },
    [DatagramContent.ZoneLoad]: (datagram, fromAddress) => {
      const { load } = datagram
      const summary = load.zone === ownZone ? undefined : zones.putLoad(load)
      if (summary === undefined) return []
      runningSums = undefined
      return [{ kind: PeerEffectKind.ZoneUpdated, summary, isNew: false, isComplete: false }, ...passOn(datagram, load.relayAddress, fromAddress)]
    },
    [DatagramContent.Slowdown]: ({ notice }) => [{ kind: PeerEffectKind.SlowdownReported, ...notice }],
    [DatagramContent.PermitRequest]: ({ request }, fromAddress) => [{ kind: PeerEffectKind.PermitsRequested, request, fromAddress }],
    [DatagramContent.PermitAnswer]: ({ answer }) => [{ kind: PeerEffectKind.PermitsAnswered, answer }]
  }

  const onDatagram = (datagram: PeerDatagram, fromAddress: string): PeerEffect[] => {
    const handle = contentHandlers[datagram.content] as (datagram: PeerDatagram, fromAddress: string) => PeerEffect[]
    return handle(datagram, fromAddress)
  }

  /** Reports from before a process pause are outdated, but missing reports during it prove no failure. */
  const recordPause = () => {
    peers.recordPause()
    zones.recordPause()
  }

  const handlers: HandlerTable<PeerMessage, PeerEffect[]> = {
    [PeerMessageKind.Tick]: onTick,
    [PeerMessageKind.DatagramReceived]: ({ datagram, fromAddress }) =>
      pauseGuard.isOutdated(datagram.content) ? [] : onDatagram(datagram, fromAddress),
    [PeerMessageKind.SelfChanged]: ({ change }) => onSelfChanged(change),
    [PeerMessageKind.SendRequested]: ({ address, datagram }) => send([address], datagram),
    [PeerMessageKind.ProcessResumed]: () => {
      recordPause()
      return []
    },
    [PeerMessageKind.SeedsChanged]: ({ seeds: nextSeeds }) => {
      peers.setSeeds(nextSeeds)
      return []
    }
  }

  const reports = (): FleetReport[] => [...livePeers().map(({ report }) => report!), ...zones.live()]

  const sumRunning = (): Map<string, number> => {
    const sums = new Map<string, number>()
    for (const { running } of reports()) {
      for (const [workerId, count] of Object.entries(running)) sums.set(workerId, (sums.get(workerId) ?? 0) + count)
    }
    return sums
  }

  return {
    handle: message => {
      // Datagrams that waited through a pause may arrive before anything else notices it.
      if (pauseGuard.observe()) recordPause()
      return dispatch(handlers, message)
    },
    reports,
    zonePeers,
    entries: () => listEntries(livePeers(), zones.live()),
    callerEntries: () => listEntries(livePeers().filter(peers.isRecent), zones.listed()),
    countZones: () => zones.live().length + 1,
    zoneRank: () => zones.live().filter(({ zone }) => zone < ownZone).length,
    isInZone: address => peers.get(address)?.zone === ownZone,
    runningAt: workerId => (runningSums ??= sumRunning()).get(workerId) ?? 0
  }
}
