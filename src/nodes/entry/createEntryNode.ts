import {
  type Clock, createLog, createRandom, createRequestIds, dispatch, FrameError, type HandlerTable, hash32, type Incarnation,
  ResultCode
} from '../../core/index.js'
import { CONFIGURATION_STREAM, RepeatPolicy } from '../../configuration/index.js'
import {
  createLinkPool, FrameKind, type Frame, type LinkEvent, LinkEventKind, listenForLinks, NodeRole, type PeerIdentity,
  splitAddress
} from '../../links/index.js'
import { BroadcastTopic } from '../../membership/index.js'
import { MetricName } from '../../observe/index.js'
import type { BindRequest } from '../../once/index.js'
import { LEASE_STREAM } from '../../orders/index.js'
import { createLogClient } from '../../platform/index.js'
import { cacheEventsFrameSchema, type ChosenAgent, parseFrame, parseReportFrame, REQUEST_TICK_MS } from '../../requests/index.js'
import { createObservability } from '../observability.js'
import type { EntrySettings } from '../settings.js'
import { waitForDrain } from '../waitForDrain.js'
import { createAdmissionGate } from './admissionGate.js'
import { startCallerFront } from './callerFront.js'
import { createConfigurationFeed } from './configurationFeed.js'
import { createKeyedCalls } from './keyedCalls.js'
import { type MembershipHub, startMembershipHub } from './membershipHub.js'
import { createOwnerTask, toBoundFrame } from './ownerTask.js'
import { createPlacementTask, type PlacementTask } from './placementTask.js'
import { createPoolRouters } from './poolRouters.js'
import { createQuarantineGate, PlacementKind } from './quarantineGate.js'
import { createRequestPorts } from './requestPorts.js'
import { createRequestSpans } from './requestSpans.js'
import { createRequestsTask } from './requestsTask.js'
import { createRowTable } from './rowTable.js'

const log = createLog('entry')

/** Entries asked for their state while the log is out. */
const PEERS_ASKED = 3
const METRICS_INTERVAL_MS = 5_000
const SECOND_MS = 1_000
const QUARANTINE_TICK_MS = 250
const ONCE_WINDOW_DEFAULT_MS = 600_000
const OFFSET_BROADCAST_LIFETIME_MS = 60_000

export interface EntryNodeOptions {
  settings: EntrySettings
  incarnation: Incarnation
  clock: Clock
}

export interface EntryNode {
  readonly callerAddress: string
  readonly linkAddress: string
  /** Leaves the address answers, serves until no caller holds its address, and stops. */
  drain (): Promise<void>
  /** Stops at once, as a crash would. */
  stop (): Promise<void>
}

/**
 * Starts an entry: answers callers, chooses upstreams and relays responses.
 *
 * @example
 * const entry = await startEntryNode({ settings, incarnation, clock })
 */
export const startEntryNode = async ({ settings, incarnation, clock }: EntryNodeOptions): Promise<EntryNode> => {
  const [linkHost, linkPort] = splitAddress(settings.linkAddress)
  const [callerHost, callerPort] = splitAddress(settings.callerAddress)
  let { linkAddress, callerAddress } = settings
  let drainStartedMs: number | undefined
  let reportedDrops = 0
  let hub: MembershipHub | null = null
  const random = createRandom(hash32(incarnation))
  const { metrics, tracing } = createObservability('baobabdrift-entry', settings)
  const table = createRowTable()
  /** Last decision of the planner by group. */
  const mapExplanations = new Map<string, string>()
  const logClient = createLogClient(settings.logUrl)

  const self = (): PeerIdentity => ({
    nodeId: settings.nodeId,
    incarnation,
    role: NodeRole.Entry,
    address: linkAddress,
    failureDomain: settings.failureDomain,
    callerAddress
  })
  const keys = () => settings.fleetKeys
  const sendTo = (address: string, frame: Frame) => pool.send(address, frame)
  const peerAddresses = () => hub?.entries().map(({ address }) => address).filter(address => address !== linkAddress) ?? []
  /** Until gossip knows other entries, the seeds are the only peers. */
  const peersOrSeeds = () => {
    const peers = peerAddresses()
    return peers.length > 0 ? peers : settings.entries.filter(address => address !== linkAddress)
  }

  const routers = createPoolRouters({
    clock, random, pool: table.pool, onEjected: () => metrics.record(MetricName.UpstreamsEjectedTotal, 1)
  })
  const spans = createRequestSpans(tracing)
  const admission = createAdmissionGate({
    clock,
    random,
    selfId: settings.nodeId,
    route: table.route,
    pool: table.pool,
    customerEntryIds: customer => hub?.customerEntryIds(customer) ?? [],
    sendToEntry: (nodeId, frame) => {
      const address = hub?.entries().find(entry => entry.nodeId === nodeId)?.address
      if (address !== undefined) sendTo(address, frame)
    }
  })
  const quarantine = createQuarantineGate({
    clock,
    metrics,
    broadcast: (topic, id, payload, lifetimeMs) => hub?.broadcast(topic, id, payload, lifetimeMs),
    notifyAgents: (poolName, frame) => subsetOf(poolName).forEach(({ address }) => sendTo(address, frame))
  })
  const findAgent = (agentId: string): ChosenAgent | undefined => {
    const agent = hub?.agents().find(({ nodeId }) => nodeId === agentId)
    return agent && { agentId, incarnation: agent.incarnation, address: agent.address }
  }
  const ports = createRequestPorts({ clock, routers, admission, quarantine, spans, metrics, findAgent })
  const requests = createRequestsTask({ clock, ports, sendToAgent: sendTo })

  const owner = createOwnerTask({
    client: logClient,
    clock,
    windowMs: ONCE_WINDOW_DEFAULT_MS,
    metrics,
    tracing,
    reply: (address, reply) => address === linkAddress ? keyedCalls.onBindReply(reply) : sendTo(address, toBoundFrame(reply)),
    ownAddress: () => linkAddress
  })

  const askOwner = (request: BindRequest, traceparent: string | undefined) => {
    const address = owner.ownerOf(request.shard)
    if (address === undefined || address === linkAddress) owner.bind(linkAddress, request, traceparent)
    else sendTo(address, { kind: FrameKind.Bind, replyAddress: linkAddress, request, ...(traceparent === undefined ? {} : { traceparent }) })
  }

  const keyedCalls = createKeyedCalls({
    clock,
    ports,
    windowMsOf: name => table.pool(name)?.onceWindowMs ?? ONCE_WINDOW_DEFAULT_MS,
    askOwner,
    sendToAgent: sendTo,
    isGone: agent => hub?.isAgentGone(agent.incarnation) ?? false,
    isSuspect: request => quarantine.place(request).kind === PlacementKind.Alone,
    traceparentOf: spans.traceparentOf
  })

  /** Sends an agent the row of its pool. */
  const sendRow = (peer: PeerIdentity) => {
    const row = peer.pool === undefined ? undefined : table.pool(peer.pool)
    if (row !== undefined) sendTo(peer.address, { kind: FrameKind.Rows, offset: table.poolOffset(row.name), row })
  }

  let subsets = new Map<string, PeerIdentity[]>()
  const subsetOf = (poolName: string) => subsets.get(poolName) ?? []
  const subsetAgents = () => [...subsets.values()].flat()

  const onMembersChanged = () => {
    subsets = new Map(table.pools().map(({ name, subsetSize }) => [name, hub?.subset(name, subsetSize) ?? []]))
    pool.setWanted(subsetAgents().map(({ address }) => address))
    for (const { name } of table.pools()) quarantine.setUpstreams(name, hub?.agents(name).map(({ nodeId }) => nodeId) ?? [])
    owner.setEntries([linkAddress, ...peerAddresses()])
    sendRosters()
    keyedCalls.onOwnersChanged()
  }

  const sendRosters = () => {
    const agents = hub?.agents() ?? []
    for (const { group, address } of subsetAgents()) {
      if (group === undefined) continue
      const members = agents.filter(agent => agent.group === group).map(agent => ({ rank: agent.rank ?? 0, address: agent.address }))
      sendTo(address, { kind: FrameKind.GroupRoster, group, members })
    }
  }

  const onRowsChanged = (offset: number) => {
    metrics.record(MetricName.ConfigurationOffset, offset)
    owner.setWindow(Math.max(ONCE_WINDOW_DEFAULT_MS, ...table.pools().map(({ onceWindowMs }) => onceWindowMs)))
    hub?.broadcast(BroadcastTopic.ConfigurationOffset, String(offset), { offset }, OFFSET_BROADCAST_LIFETIME_MS)
    routers.onRowsChanged()
    onMembersChanged()
    subsetAgents().forEach(peer => {
      sendRow(peer)
      placement.sendAssignment(peer)
    })
  }

  const feed = createConfigurationFeed({
    client: logClient,
    clock,
    random,
    retentionMs: settings.logRetentionMs,
    table,
    sendToPeers: frame => sendToPeers(frame),
    sendToPeer: sendTo,
    ownAddress: () => linkAddress,
    onRowsChanged,
    onLogFailure: () => metrics.record(MetricName.LogFailuresTotal, 1)
  })

  const sendToPeers = (frame: Frame) =>
    random.shuffle(peersOrSeeds()).slice(0, PEERS_ASKED).forEach(address => sendTo(address, frame))

  const placement = createPlacementTask({
    client: logClient,
    clock,
    random,
    incarnation,
    retentionMs: settings.logRetentionMs,
    pools: table.pools,
    agents: name => hub?.agents(name) ?? [],
    linkedAgents: subsetOf,
    sendTo,
    sendToPeers,
    ownAddress: () => linkAddress
  })

  const onReport = (peer: PeerIdentity, frame: Frame) => {
    const report = parseReportFrame(frame)
    if (report.isUp) routers.addAgent(peer)
    else routers.removeAgent(peer.nodeId)
    routers.noteReport(peer.nodeId, report)
  }

  const streamOwners: Record<string, Pick<PlacementTask, 'onPeerStateRequest' | 'onPeerState'>> =
    { [CONFIGURATION_STREAM]: feed, [LEASE_STREAM]: placement }

  const frameHandlers: Partial<Record<FrameKind, (peer: PeerIdentity, frame: Frame) => void>> = {
    ...requests.frameHandlers,
    [FrameKind.Report]: onReport,
    [FrameKind.CacheEvents]: (peer, frame) => routers.noteCacheEvents(peer.nodeId, parseFrame(cacheEventsFrameSchema, frame)),
    [FrameKind.Drain]: peer => routers.setDraining(peer.nodeId),
    [FrameKind.PeerStateRequest]: (_peer, frame) => streamOwners[String(frame.stream)]?.onPeerStateRequest(frame),
    [FrameKind.PeerState]: (_peer, frame) => streamOwners[String(frame.stream)]?.onPeerState(frame),
    [FrameKind.EngineState]: (peer, frame) => placement.onEngineState(peer, frame),
    [FrameKind.FenceQuery]: peer => placement.onFenceQuery(peer),
    [FrameKind.MapExplanation]: (_peer, { group, line }) => mapExplanations.set(String(group), String(line)),
    [FrameKind.Bind]: (_peer, frame) => owner.onBind(frame),
    [FrameKind.Bound]: (_peer, frame) => keyedCalls.onBound(frame),
    [FrameKind.KeyReply]: (peer, frame) => keyedCalls.onKeyReply(peer, frame),
    [FrameKind.LimitDemand]: (peer, frame) => admission.onLimitDemand(peer, frame),
    [FrameKind.LimitShare]: (_peer, frame) => admission.onLimitShare(frame),
    [FrameKind.Notice]: (peer, frame) => quarantine.onNotice(peer, frame),
    [FrameKind.StartedAlone]: (peer, frame) => quarantine.onStartedAlone(peer, frame)
  }

  const onFrame = ({ link, peer, frame }: Extract<LinkEvent, { kind: LinkEventKind.Frame }>) => {
    try {
      frameHandlers[frame.kind]?.(peer, frame)
    } catch (error) {
      if (!(error instanceof FrameError)) throw error
      log('frame of %s refused: %s', peer.nodeId, error.message)
      link.close()
    }
  }

  const dialedHandlers: HandlerTable<LinkEvent, void> = {
    [LinkEventKind.Ready]: ({ peer }) => {
      if (peer.role !== NodeRole.Agent) return
      routers.addAgent(peer)
      sendRow(peer)
      placement.sendAssignment(peer)
      quarantine.onAgentLinked(peer)
      keyedCalls.onAgentLinked(peer)
      requests.onAgentLinked(peer)
    },
    [LinkEventKind.Frame]: onFrame,
    [LinkEventKind.Lost]: ({ peer }) => {
      metrics.record(MetricName.LinksLostTotal, 1)
      if (peer?.role !== NodeRole.Agent) return
      routers.removeAgent(peer.nodeId)
      quarantine.onAgentUnlinked(peer)
      keyedCalls.onAgentUnlinked(peer)
      requests.onAgentUnlinked(peer)
    }
  }

  /** Agents register by a link of their own, for which this entry vouches in gossip. */
  const onRegistrationFrame: Partial<Record<FrameKind, (peer: PeerIdentity) => void>> = {
    [FrameKind.Drain]: ({ nodeId }) => hub?.noteAgentDraining(nodeId),
    [FrameKind.FenceQuery]: peer => placement.onFenceQuery(peer)
  }

  const acceptedHandlers: HandlerTable<LinkEvent, void> = {
    [LinkEventKind.Ready]: ({ peer }) => {
      if (peer.role === NodeRole.Agent) hub?.noteAgentLinked(peer)
    },
    [LinkEventKind.Frame]: event => {
      // An agent reports on every link; only reports on dialed links count.
      if (event.peer.role === NodeRole.Agent) onRegistrationFrame[event.frame.kind]?.(event.peer)
      else onFrame(event)
    },
    [LinkEventKind.Lost]: ({ peer }) => {
      if (peer?.role === NodeRole.Agent) hub?.noteAgentLost(peer.nodeId)
    }
  }

  const pool = createLinkPool({ self, keys, clock, emit: event => dispatch(dialedHandlers, event) })
  const server = await listenForLinks({
    host: linkHost, port: linkPort, self, keys, clock, emit: event => dispatch(acceptedHandlers, event)
  })
  linkAddress = `${linkHost}:${server.port}`

  const isRefusing = () => drainStartedMs !== undefined &&
    clock.nowMs() > drainStartedMs + settings.drainSettleMs + settings.addressLifetimeMs
  const liveCount = () => requests.liveCount + keyedCalls.liveCount

  const front = await startCallerFront({
    host: callerHost,
    port: callerPort,
    clock,
    findRoute: table.findRoute,
    nextRequestId: createRequestIds(incarnation),
    addressesFor: customer => hub?.addressesFor(customer) ?? { addresses: [callerAddress], lifetimeMs: settings.addressLifetimeMs },
    status: () => ({
      nodeId: settings.nodeId,
      incarnation,
      isDraining: drainStartedMs !== undefined,
      configurationOffset: table.offset,
      liveRequests: liveCount(),
      linkedAgents: routers.agentCount,
      ownedShards: owner.ownedCount,
      holdsPlacementLease: placement.isHolder,
      leaseClaimOffset: placement.claimOffset,
      entries: hub?.entries() ?? [],
      agents: hub?.agentStates() ?? [],
      expertMaps: Object.fromEntries(mapExplanations)
    }),
    explain: routers.explain,
    expertMaps: () => Object.fromEntries([...mapExplanations].map(([group, line]) => [group, [line]])),
    gateway: {
      submit: (request, sink) => {
        if (isRefusing()) sink.onFail(ResultCode.Draining)
        else if (request.repeat === RepeatPolicy.AtMostOnce) keyedCalls.submit(request, sink)
        else requests.submit(request, sink)
      },
      cancel: requestId => {
        keyedCalls.cancel(requestId)
        requests.cancel(requestId)
      }
    }
  })
  callerAddress = `${callerHost}:${front.port}`
  hub = await startMembershipHub({
    self: self(),
    keys: settings.fleetKeys,
    seeds: settings.entries,
    capacityRequests: settings.capacityRequests,
    addressLifetimeMs: settings.addressLifetimeMs,
    hostListUrl: settings.hostListUrl,
    clock,
    random,
    metrics,
    onMembersChanged,
    onBroadcast: {
      [BroadcastTopic.ConfigurationOffset]: (_id, payload) => feed.noteOffsetSeen(Number((payload as { offset?: unknown }).offset) || 0),
      [BroadcastTopic.Suspect]: quarantine.onBroadcast,
      [BroadcastTopic.QuarantineVerdict]: quarantine.onBroadcast
    }
  })
  const membership = hub
  onMembersChanged()

  const timers = [
    setInterval(routers.tick, SECOND_MS),
    setInterval(admission.tick, SECOND_MS),
    setInterval(quarantine.tick, QUARANTINE_TICK_MS),
    setInterval(keyedCalls.tick, REQUEST_TICK_MS),
    setInterval(() => {
      membership.setLiveRequests(liveCount())
      metrics.record(MetricName.RequestsLive, liveCount())
      metrics.record(MetricName.FramesDroppedTotal, requests.droppedFrameCount - reportedDrops)
      reportedDrops = requests.droppedFrameCount
    }, METRICS_INTERVAL_MS)
  ]

  const shutDown = async () => {
    timers.forEach(clearInterval)
    requests.stop()
    owner.stop()
    feed.stop()
    placement.stop()
    pool.close()
    await front.close()
    await Promise.all([server.close(), membership.stop(), logClient.close(), metrics.close(), tracing.close()])
  }

  let stopping: Promise<void> | undefined
  /** A second call waits for the first. */
  const stop = () => (stopping ??= shutDown())

  const drain = async () => {
    log('entry %s drains', settings.nodeId)
    drainStartedMs = clock.nowMs()
    membership.startDrain()
    const { drainLimitMs: workLimitMs, drainSettleMs: settleMs, addressLifetimeMs } = settings
    await waitForDrain({ role: NodeRole.Entry, clock, settings: { workLimitMs, settleMs, addressLifetimeMs }, countWork: liveCount })
    log('entry %s has drained', settings.nodeId)
    await stop()
  }

  return {
    get callerAddress () { return callerAddress },
    get linkAddress () { return linkAddress },
    drain,
    stop
  }
}
