import { deriveCallerLimits, OWN_BASE_MB } from '../../callerLimits/index.js'
import { type Clock, createRandom, createRequestIds, dispatch, hash32, type Incarnation, ResultCode } from '../../core/index.js'
import { RepeatPolicy } from '../../configuration/index.js'
import { createLinkPool, FrameKind, type Frame, listenForLinks, NodeRole, type PeerIdentity, splitAddress } from '../../links/index.js'
import { BroadcastTopic } from '../../membership/index.js'
import { MetricName } from '../../observe/index.js'
import type { BindRequest } from '../../once/index.js'
import { createLogClient } from '../../clients/index.js'
import { REQUEST_TICK_MS } from '../../requests/index.js'
import { createObservability } from '../observability.js'
import type { EntrySettings } from '../settings.js'
import { createAdmissionGate } from './admissionGate.js'
import { bindLinkAddress } from './bindLinkAddress.js'
import { startCallerFrontEnd } from './callerFrontEnd.js'
import { createConfigurationFeed } from './configurationFeed.js'
import { createEntryLinkHandlers } from './entryLinkHandlers.js'
import { createEvacuationWatch } from './evacuationWatch.js'
import { createEntryDrain } from './entryDrain.js'
import { createEntryStatus } from './entryStatus.js'
import { createRouteExplainer } from './explainRoute.js'
import { createFleetView } from './fleetView.js'
import { createKeyedCalls } from './keyedCalls.js'
import { type MembershipHub, startMembershipHub } from './membershipHub.js'
import { createOwnerTask, toBoundFrame } from './ownerTask.js'
import { createPlacementTask } from './placementTask.js'
import { createPoolRouters } from './poolRouters.js'
import { createQuarantineGate, SuspectPlacementKind } from './quarantineGate.js'
import { createRequestPorts } from './requestPorts.js'
import { createRequestSpans } from './requestSpans.js'
import { createRequestsTask } from './requestsTask.js'
import { createRowTable } from './rowTable.js'

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
  /** Leaves the address directory, serves until no caller can still use its address, and stops. */
  drain (): Promise<void>
  /** Stops at once, without draining. */
  stop (): Promise<void>
}

/**
 * Starts an entry, which accepts requests of callers, chooses upstreams and relays responses.
 *
 * @example
 * const entry = await startEntryNode({ settings, incarnation, clock })
 */
export const startEntryNode = async ({ settings, incarnation, clock }: EntryNodeOptions): Promise<EntryNode> => {
  const [linkHost, linkPort] = splitAddress(settings.linkAddress)
  const [callerHost, callerPort] = splitAddress(settings.callerAddress)
  let { linkAddress, callerAddress } = settings
  let reportedDropCount = 0
  let hub: MembershipHub | null = null
  const random = createRandom(hash32(incarnation))
  const { metrics, tracing } = createObservability('baobabdrift-entry', settings)
  const table = createRowTable()
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
  const fleet = createFleetView({ table, hub: () => hub, seeds: settings.entries, ownAddress: () => linkAddress, random, sendTo })

  const routers = createPoolRouters({
    clock, random, pool: table.pool, isEvacuated: table.isEvacuated, onEjected: () => metrics.record(MetricName.UpstreamsEjectedTotal, 1)
  })
  const spans = createRequestSpans(tracing)
  const admission = createAdmissionGate({
    clock,
    random,
    selfId: settings.nodeId,
    route: table.route,
    pool: table.pool,
    customerEntryIds: customer => hub?.customerEntryIds(customer) ?? [],
    sendToEntry: fleet.sendToEntry
  })
  const quarantine = createQuarantineGate({
    clock,
    metrics,
    broadcast: (topic, id, payload, lifetimeMs) => hub?.broadcast(topic, id, payload, lifetimeMs),
    notifyAgents: (poolName, frame) => fleet.linkedAgents(poolName).forEach(({ address }) => sendTo(address, frame))
  })
  const ports = createRequestPorts({ clock, routers, admission, quarantine, spans, metrics, findAgent: fleet.findAgent })
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

  const requestBinding = (request: BindRequest, traceparent: string | undefined) => {
    const address = owner.ownerOf(request.shard)
    if (address === undefined || address === linkAddress) owner.bind(linkAddress, request, traceparent)
    else sendTo(address, { kind: FrameKind.Bind, replyAddress: linkAddress, request, ...(traceparent === undefined ? {} : { traceparent }) })
  }

  const keyedCalls = createKeyedCalls({
    clock,
    ports,
    windowMsOf: name => table.pool(name)?.onceWindowMs ?? ONCE_WINDOW_DEFAULT_MS,
    requestBinding,
    sendToAgent: sendTo,
    hasAgentLeft: agent => hub?.hasAgentLeft(agent.incarnation) ?? false,
    isEvacuated: fleet.isEvacuated,
    isSuspect: request => quarantine.place(request).kind === SuspectPlacementKind.Alone,
    traceparentOf: spans.traceparentOf
  })

  const evacuations = createEvacuationWatch({ evacuatedDomains: table.evacuatedDomains, agents: () => hub?.agents() ?? [], metrics })

  const onMembersChanged = () => {
    fleet.refresh()
    pool.setWanted(fleet.linkedAgents().map(({ address }) => address))
    for (const { name } of table.pools()) quarantine.setUpstreams(name, fleet.liveAgents(name).filter(agent => !fleet.isEvacuated(agent)).map(({ nodeId }) => nodeId))
    owner.setEntries([linkAddress, ...fleet.peerAddresses()])
    fleet.sendRosters()
    keyedCalls.onOwnersChanged()
  }

  const onRowsChanged = (offset: number) => {
    metrics.record(MetricName.ConfigurationOffset, offset)
    evacuations.onRowsChanged()
    owner.setWindow(Math.max(ONCE_WINDOW_DEFAULT_MS, ...table.pools().map(({ onceWindowMs }) => onceWindowMs)))
    hub?.broadcast(BroadcastTopic.ConfigurationOffset, String(offset), { offset }, OFFSET_BROADCAST_LIFETIME_MS)
    routers.onRowsChanged()
    onMembersChanged()
    fleet.linkedAgents().forEach(peer => {
      fleet.sendRow(peer)
      placement.sendAssignment(peer)
    })
  }

  const feed = createConfigurationFeed({
    client: logClient,
    clock,
    random,
    retentionMs: settings.logRetentionMs,
    table,
    sendToPeers: fleet.sendToPeers,
    sendToPeer: sendTo,
    ownAddress: () => linkAddress,
    onRowsChanged,
    onLogFailure: () => metrics.record(MetricName.LogFailuresTotal, 1)
  })

  const placement = createPlacementTask({
    client: logClient,
    clock,
    random,
    incarnation,
    retentionMs: settings.logRetentionMs,
    pools: table.pools,
    agents: fleet.liveAgents,
    linkedAgents: fleet.linkedAgents,
    sendTo,
    sendToPeers: fleet.sendToPeers,
    ownAddress: () => linkAddress
  })

  const handlers = createEntryLinkHandlers({
    requests,
    keyedCalls,
    owner,
    placement,
    feed,
    admission,
    quarantine,
    routers,
    fleet,
    metrics,
    hub: () => hub,
    onMapExplanation: (group, line) => status.recordMapExplanation(group, line)
  })
  const pool = createLinkPool({ self, keys, clock, emit: event => dispatch(handlers.dialed, event) })
  const { server, socket: gossipSocket } = await bindLinkAddress({
    host: linkHost,
    port: linkPort,
    listen: () => listenForLinks({ host: linkHost, port: linkPort, self, keys, clock, emit: event => dispatch(handlers.accepted, event) })
  })
  linkAddress = `${linkHost}:${server.port}`

  const liveCount = () => requests.liveCount + keyedCalls.liveCount
  const drain = createEntryDrain({ settings, clock, countWork: () => liveCount() + frontEnd.unsentCount })
  const status = createEntryStatus({ settings, incarnation, table, routers, owner, placement, hub: () => hub, isDraining: () => drain.isStarted, liveCount })

  const frontEnd = await startCallerFrontEnd({
    host: callerHost,
    port: callerPort,
    clock,
    callerLimits: deriveCallerLimits({ ...settings.limits, connectionsMax: settings.limits.callerConnectionsMax, baseMb: OWN_BASE_MB }),
    onCallerClosed: reason => metrics.record(MetricName.CallersClosedTotal, 1, { reason }),
    onBodyRefused: refusal => metrics.record(MetricName.BodiesRefusedTotal, 1, { refusal }),
    findRoute: table.findRoute,
    nextRequestId: createRequestIds(incarnation),
    addressesFor: customer => hub?.addressesFor(customer) ?? { addresses: [callerAddress], lifetimeMs: settings.addressLifetimeMs },
    status: status.describe,
    explain: routers.explain,
    explainRoute: createRouteExplainer({ clock, nodeId: settings.nodeId, table, routers, quarantine, isRefusing: () => drain.isRefusing }),
    expertMaps: status.expertMaps,
    gateway: {
      submit: (request, sink) => {
        if (drain.isRefusing) sink.onFail(ResultCode.Draining)
        else if (request.repeat === RepeatPolicy.AtMostOnce) keyedCalls.submit(request, sink)
        else requests.submit(request, sink)
      },
      cancel: requestId => {
        keyedCalls.cancel(requestId)
        requests.cancel(requestId)
      }
    }
  })
  callerAddress = `${callerHost}:${frontEnd.port}`
  hub = await startMembershipHub({
    self: self(),
    socket: gossipSocket,
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
      [BroadcastTopic.ConfigurationOffset]: (_id, payload) => feed.onOffsetSeen(Number((payload as { offset?: unknown }).offset) || 0),
      [BroadcastTopic.Suspect]: quarantine.onBroadcast,
      [BroadcastTopic.QuarantineVerdict]: quarantine.onBroadcast,
      [BroadcastTopic.CrashedParts]: quarantine.onPartBroadcast
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
      metrics.record(MetricName.CallerBytes, frontEnd.callers.heldBytes)
      metrics.record(MetricName.CallerConnections, frontEnd.callers.connectionCount)
      metrics.record(MetricName.FramesDroppedTotal, requests.droppedFrameCount - reportedDropCount)
      reportedDropCount = requests.droppedFrameCount
    }, METRICS_INTERVAL_MS)
  ]

  const shutDown = async () => {
    timers.forEach(clearInterval)
    requests.stop()
    owner.stop()
    feed.stop()
    placement.stop()
    pool.close()
    await frontEnd.close()
    await Promise.all([server.close(), membership.stop(), logClient.close(), metrics.close(), tracing.close()])
  }

  let stopping: Promise<void> | undefined
  /** Further calls wait for the first one. */
  const stop = () => (stopping ??= shutDown())

  return {
    get callerAddress () { return callerAddress },
    get linkAddress () { return linkAddress },
    drain: async () => {
      await drain.run(membership)
      await stop()
    },
    stop
  }
}
