import { comparePositions, createRandom, dispatch, type HandlerTable, type LogPosition, type Random } from '../../src/core/index.js'
import {
  createPeerReports, encodeDatagram, type PeerDatagram, type PeerEffect, PeerEffectKind, PeerMessageKind, PEER_TICK_MS, SelfChange
} from '../../src/peers/index.js'
import { EMPTY_CRASH_REPORT } from '../../src/quarantine/index.js'
import {
  chooseReader, createRecordLog, createTopicFollower, type FeedEffect, FeedEffectKind, type FeedMessage, FeedMessageKind, mustWatchConnection, type KeyedRecord, noticeMsFor, type ReaderChoice, type RecordSource,
  SourceKind, Topic
} from '../../src/storeFeed/index.js'
import { createEventQueue, type EventQueue } from '../harness/index.js'
import {
  IN_ZONE_MS, BETWEEN_ZONES_MS, STORE_MS, FEED_TICK_MS, START_MS, LENGTH_MS, FAULT_AT_MS, FAULT_MS, RECORD_INTERVAL_MS, SILENCE_MAX_MS, AWAY_MS, LOST_RECORDS, REQUESTS_PER_S, MS_PER_S
} from './feedWorldConstants.js'
import { endOf, type FeedFigures, type FeedWorldOptions, idOf, type Node, ReaderFault, recordsOf, type Store } from './feedWorldTypes.js'

/**
 * Runs one fleet of entries that read one topic of the store through readers and report through relays.
 *
 * @example
 * runFeedWorld({ seed: 1, entries: 100, zones: 5, fault: ReaderFault.Paused }).agesMs
 */
export const runFeedWorld = (
  { seed, entries, zones, fault, restoresAtMs = [], recordIntervalMs = RECORD_INTERVAL_MS, faultAtMs = FAULT_AT_MS, silenceMaxMs = SILENCE_MAX_MS }: FeedWorldOptions
): FeedFigures => {
  const queue: EventQueue = createEventQueue()
  const random: Random = createRandom(seed)
  const store: Store = { era: 1, records: [], isAway: false, waiting: [] }
  const appendedMsById = new Map<number, number>()
  let nextId = 0
  const nodes = new Map<string, Node>()
  const figures: FeedFigures = {
    agesMs: [], missing: 0, storeCalls: 0, datagrams: 0, bytesBetweenZones: 0, naive: { storeCalls: 0, bytesBetweenZones: 0 }, durationS: LENGTH_MS / MS_PER_S
  }
  const seeds = Array.from({ length: Math.min(3, zones) }, (_, zone) => `z${zone}-0`)
  const isUp = (node: Node) => !node.isKilled && !node.isPaused
  /** A paused process handles what arrived meanwhile when it resumes. */
  const deliver = (node: Node, run: () => void) => {
    if (node.isKilled) return
    if (node.isPaused) queue.after(FEED_TICK_MS, () => deliver(node, run))
    else run()
  }
  const delayMs = (one: Node, other: Node) => one.zone === other.zone ? IN_ZONE_MS : BETWEEN_ZONES_MS

  const sendDatagram = (from: Node, to: Node, datagram: PeerDatagram, bytes: number) => {
    figures.datagrams += 1
    if (from.zone !== to.zone) figures.bytesBetweenZones += bytes
    queue.after(delayMs(from, to), () => {
      if (isUp(to)) performPeers(to, to.reports.handle({ kind: PeerMessageKind.DatagramReceived, datagram, fromAddress: from.address }))
    })
  }

  const performPeers = (node: Node, effects: readonly PeerEffect[]) => {
    for (const effect of effects) {
      if (effect.kind === PeerEffectKind.Send) {
        const bytes = encodeDatagram(effect.datagram).length
        for (const address of effect.addresses) sendDatagram(node, nodes.get(address)!, effect.datagram, bytes)
      } else if (effect.kind === PeerEffectKind.PeerUpdated || effect.kind === PeerEffectKind.ZoneUpdated) {
        const position = (effect.kind === PeerEffectKind.PeerUpdated ? effect.report : effect.summary).storePositions[Topic.Workers]
        if (position !== undefined) performFeed(node, node.follower.handle({ kind: FeedMessageKind.PeerAhead, position }))
      }
    }
  }

  const respond = (node: Node, delay: number, message: FeedMessage) =>
    queue.after(delay, () => deliver(node, () => performFeed(node, node.follower.handle(message))))

  const expireWait = (call: Store['waiting'][number]) => {
    if (!store.waiting.includes(call)) return
    store.waiting.splice(store.waiting.indexOf(call), 1)
    respond(call.node, STORE_MS, { kind: FeedMessageKind.RecordsRead, callId: call.callId, records: [], end: endOf(store) })
  }

  const callStore = (node: Node, from: LogPosition | undefined, callId: number, waitMs: number, timeoutMs: number) => {
    figures.storeCalls += 1
    const end = endOf(store)
    // A response that arrives before ends the call, so that its timeout is ignored.
    respond(node, timeoutMs, { kind: FeedMessageKind.CallFailed, callId, reason: 'no response', isSilent: true })
    if (node.isCutOff) return
    if (store.isAway) respond(node, STORE_MS, { kind: FeedMessageKind.CallFailed, callId, reason: 'connection refused' })
    else if (from === undefined) respond(node, STORE_MS, { kind: FeedMessageKind.Listed, callId, records: recordsOf(store, 0), end })
    else if (from.offset > end.offset) respond(node, STORE_MS, { kind: FeedMessageKind.RecordsExpired, callId })
    else if (from.offset < end.offset || waitMs === 0) respond(node, STORE_MS, { kind: FeedMessageKind.RecordsRead, callId, records: recordsOf(store, from.offset), end })
    else {
      const call = { node, from, callId }
      store.waiting.push(call)
      queue.after(waitMs, () => expireWait(call))
    }
  }

  /** Responds as the feed server does. */
  const answerFromLog = (reader: Node, node: Node, from: LogPosition, callId: number) => {
    const end = reader.records.end!
    const records = from.era > end.era ? [] : reader.records.recordsFrom(from)
    respond(node, delayMs(reader, node), records === undefined
      ? { kind: FeedMessageKind.RecordsExpired, callId }
      : { kind: FeedMessageKind.RecordsRead, callId, records, end })
  }

  const callEntry = (node: Node, address: string, from: LogPosition | undefined, callId: number, waitMs: number, timeoutMs: number) => {
    const reader = nodes.get(address)!
    if (reader.isKilled || reader.records.end === undefined) {
      respond(node, IN_ZONE_MS, { kind: FeedMessageKind.CallFailed, callId, reason: 'connection refused' })
      return
    }
    queue.after(delayMs(node, reader), () => deliver(reader, () => {
      const end = reader.records.end!
      const hasNews = from !== undefined && (comparePositions(from, end) < 0 || reader.records.recordsFrom(from) === undefined)
      if (from === undefined) respond(node, delayMs(reader, node), { kind: FeedMessageKind.Listed, callId, records: reader.records.state(), end })
      else if (hasNews || waitMs === 0) answerFromLog(reader, node, from, callId)
      else reader.waiting.push({ from, callId, reader: node })
    }))
    queue.after(timeoutMs, () => deliver(node, () => performFeed(node, node.follower.handle({ kind: FeedMessageKind.CallFailed, callId, reason: 'no response', isSilent: true }))))
  }

  const adopt = (node: Node, records: readonly KeyedRecord[]) => {
    for (const id of records.map(idOf).filter(id => !node.knownIds.has(id))) {
      node.knownIds.add(id)
      const appendedMs = appendedMsById.get(id)!
      if (!node.hadFault && appendedMs >= START_MS) figures.agesMs.push(queue.clock.nowMs() - appendedMs)
    }
    for (const { from, callId, reader: waiter } of node.waiting.splice(0)) answerFromLog(node, waiter, from, callId)
    reportState(node)
  }

  const reportState = (node: Node) => performPeers(node, node.reports.handle({ kind: PeerMessageKind.SelfChanged, change: SelfChange.State }))

  const call = (node: Node, { source, callId, timeoutMs }: { source: RecordSource, callId: number, timeoutMs: number }, from: LogPosition | undefined, waitMs: number) => {
    if (source.kind === SourceKind.Store) callStore(node, from, callId, waitMs, timeoutMs)
    else callEntry(node, source.address, from, callId, waitMs, timeoutMs)
  }

  const ignore = () => {}
  const createPerformers = (node: Node): HandlerTable<FeedEffect, void> => ({
    [FeedEffectKind.List]: effect => call(node, effect, undefined, 0),
    [FeedEffectKind.Read]: effect => call(node, effect, effect.from, effect.waitMs),
    [FeedEffectKind.Abort]: ignore,
    [FeedEffectKind.ConnectionSilent]: () => reportState(node),
    [FeedEffectKind.ConnectionReplaced]: () => reportState(node),
    [FeedEffectKind.ReplaceAll]: ({ records, end }) => {
      node.records.replaceAll(records, end)
      adopt(node, records)
    },
    [FeedEffectKind.Apply]: ({ records, end }) => {
      node.records.append(records, end)
      adopt(node, records)
    },
    [FeedEffectKind.EntryFailed]: ignore,
    [FeedEffectKind.StoreUnavailable]: () => reportState(node),
    [FeedEffectKind.StoreRecovered]: ignore
  })
  const performers = new Map<Node, HandlerTable<FeedEffect, void>>()
  const performFeed = (node: Node, effects: readonly FeedEffect[]) => {
    for (const effect of effects) dispatch(performers.get(node)!, effect)
  }

  const positionsOf = ({ follower: { position } }: Node): Record<string, LogPosition> => position === undefined ? {} : { [Topic.Workers]: position }

  const choiceOf = (node: Node): ReaderChoice => ({
    zone: node.zone,
    zones: node.reports.countZones(),
    self: { nodeId: node.id, isReady: node.follower.hasState, isStoreConnected: node.follower.isConnected },
    peers: node.reports.zonePeers().map(({ report, address, ageMs }) =>
      ({ nodeId: report.nodeId, address, isReady: report.isReady, isStoreConnected: report.isStoreConnected, ageMs }))
  })

  const sourceOf = (node: Node) => chooseReader(choiceOf(node))

  const addNode = (zone: string, at: number) => {
    const id = `${zone}-${at}`
    const node = { id, zone, address: id, records: createRecordLog(), running: {}, isPaused: false, isCutOff: false, isKilled: false, hadFault: false, knownIds: new Set(), waiting: [] } as unknown as Node
    const isReady = () => node.follower.hasState
    node.reports = createPeerReports({
      clock: queue.clock,
      random,
      ownNodeId: id,
      ownZone: zone,
      ownAddress: id,
      seeds,
      describeSelf: () => ({
        nodeId: id,
        incarnation: `${id}-1`,
        zone,
        frontAddress: id,
        isReady: isReady(),
        isStoreConnected: node.follower.isConnected,
        configurationVersion: 1,
        storePositions: positionsOf(node),
        running: node.running,
        pauses: {},
        crashes: EMPTY_CRASH_REPORT,
        paces: {},
        workerLimits: []
      })
    })
    node.follower = createTopicFollower({
      clock: queue.clock,
      random,
      source: () => sourceOf(node),
      noticeWithinMs: () => mustWatchConnection({ ...choiceOf(node), zoneRank: node.reports.zoneRank() }) ? noticeMsFor(silenceMaxMs) : undefined
    })
    nodes.set(id, node)
    performers.set(node, createPerformers(node))
    return node
  }
  for (let at = 0; at < entries; at++) addNode(`z${at % zones}`, Math.floor(at / zones))

  const startNode = (node: Node) => {
    performFeed(node, node.follower.handle({ kind: FeedMessageKind.Started }))
    queue.every(PEER_TICK_MS, () => {
      if (isUp(node)) performPeers(node, node.reports.handle({ kind: PeerMessageKind.Tick }))
      return !node.isKilled
    })
    queue.every(FEED_TICK_MS, () => {
      if (isUp(node)) performFeed(node, node.follower.handle({ kind: FeedMessageKind.Tick }))
      return !node.isKilled
    })
    let requests = 0
    queue.every(MS_PER_S / REQUESTS_PER_S, () => {
      if (!isUp(node)) return !node.isKilled
      requests += 1
      node.running = { [`w-${node.zone}-${requests % 8}`]: 1 + requests % 3 }
      performPeers(node, node.reports.handle({ kind: PeerMessageKind.SelfChanged, change: SelfChange.LoadRose }))
      const { running } = node
      const reportBytes = encodeDatagram({ content: 'load', load: { incarnation: `${node.id}-1`, sequence: requests, running, pauses: {} } } as PeerDatagram).length
      figures.naive.bytesBetweenZones += reportBytes * (entries - entries / zones)
    })
  }
  for (const node of nodes.values()) queue.after(random.int(0, 300), () => startNode(node))

  const readers = () => [...nodes.values()].filter(node => sourceOf(node).kind === SourceKind.Store)

  const FAULTS: Record<ReaderFault, (node: Node) => void> = {
    [ReaderFault.None]: ignore,
    [ReaderFault.Paused]: node => {
      node.hadFault = true
      node.isPaused = true
      queue.after(FAULT_MS, () => {
        node.isPaused = false
        performPeers(node, node.reports.handle({ kind: PeerMessageKind.ProcessResumed }))
        performFeed(node, node.follower.handle({ kind: FeedMessageKind.ProcessResumed }))
      })
    },
    [ReaderFault.CutOff]: node => {
      node.hadFault = true
      node.isCutOff = true
      store.waiting = store.waiting.filter(waiter => waiter.node !== node)
    },
    [ReaderFault.Killed]: node => {
      node.hadFault = true
      node.isKilled = true
      store.waiting = store.waiting.filter(waiter => waiter.node !== node)
    },
    [ReaderFault.Silent]: () => {
      store.waiting = []
      for (const other of nodes.values()) other.waiting = []
    }
  }
  queue.after(faultAtMs, () => readers().forEach(FAULTS[fault]))

  const append = (id: number) => {
    appendedMsById.set(id, queue.clock.nowMs())
    store.records.push({ id, appendedMs: queue.clock.nowMs() })
    for (const { node, from, callId } of store.waiting.splice(0)) {
      respond(node, STORE_MS, { kind: FeedMessageKind.RecordsRead, callId, records: recordsOf(store, from.offset), end: endOf(store) })
    }
  }

  /** The store is away for a moment and comes back without its last records, which their writers then write again. */
  const restore = () => {
    store.isAway = true
    const lost = store.records.splice(-LOST_RECORDS)
    for (const { node, callId } of store.waiting.splice(0)) respond(node, STORE_MS, { kind: FeedMessageKind.CallFailed, callId, reason: 'connection lost' })
    queue.after(AWAY_MS, () => {
      store.era += 1
      store.isAway = false
      for (const { id } of lost) append(id)
    })
  }
  for (const atMs of restoresAtMs) queue.after(atMs, restore)

  queue.every(recordIntervalMs, () => {
    if (queue.clock.nowMs() > LENGTH_MS - 3_000) return false
    // Every entry of the naive version reads each record by a call of its own.
    figures.naive.storeCalls += entries
    if (!store.isAway) append(nextId++)
  })
  queue.runUntil(LENGTH_MS)
  for (const node of nodes.values()) {
    if (!node.hadFault) figures.missing += store.records.filter(({ id }) => !node.knownIds.has(id)).length
  }
  return figures
}
