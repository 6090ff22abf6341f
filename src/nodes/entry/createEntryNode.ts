import {
  type Clock, createLog, createRequestIds, createTask, dispatch, FrameError, type HandlerTable, hash32, type Incarnation,
  createRandom, ResultCode, type Task
} from '../../core/index.js'
import { RepeatPolicy } from '../../configuration/index.js'
import {
  createLinkPool, FrameKind, type Frame, type LinkEvent, LinkEventKind, listenForLinks, NodeRole, type PeerIdentity,
  splitAddress
} from '../../links/index.js'
import { MetricName } from '../../observe/index.js'
import type { BindRequest } from '../../once/index.js'
import { createLogClient } from '../../platform/index.js'
import {
  cacheEventsFrameSchema, chunkFrameSchema, createRequestCore, endFrameSchema, parseFrame, refusedFrameSchema,
  reportFrameSchema, REQUEST_TICK_MS, type RequestEffect, RequestEffectKind, type RequestMessage, RequestMessageKind,
  type ResponseFrame
} from '../../requests/index.js'
import { createObservability } from '../observability.js'
import type { EntrySettings } from '../settings.js'
import { startCallerFront } from './callerFront.js'
import { createConfigurationFeed } from './configurationFeed.js'
import { createKeyedCalls } from './keyedCalls.js'
import { createOwnerTask, toBoundFrame } from './ownerTask.js'
import { createPoolRouters } from './poolRouters.js'
import { createRequestPorts } from './requestPorts.js'
import { createRequestSpans } from './requestSpans.js'
import { createRowTable } from './rowTable.js'
import type { ResponseSink } from './types.js'

const log = createLog('entry')

const DRAIN_POLL_MS = 50
const TASK_CAPACITY = 65_536
/** Entries asked for their state while the log is out. */
const PEERS_ASKED = 3
const METRICS_INTERVAL_MS = 5_000
const ONCE_WINDOW_DEFAULT_MS = 600_000

export interface EntryNodeOptions {
  settings: EntrySettings
  incarnation: Incarnation
  clock: Clock
}

export interface EntryNode {
  readonly callerAddress: string
  readonly linkAddress: string
  /** Leaves the address answers, finishes streams and stops. */
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
  let isDraining = false
  const random = createRandom(hash32(incarnation))
  const { metrics, tracing } = createObservability('baobabdrift-entry', settings)
  const table = createRowTable()
  const sinks = new Map<string, ResponseSink>()
  const knownAgents = new Map<string, PeerIdentity>()

  const self = (): PeerIdentity => ({
    nodeId: settings.nodeId, incarnation, role: NodeRole.Entry, address: linkAddress, failureDomain: settings.failureDomain
  })
  const keys = () => settings.fleetKeys

  const routers = createPoolRouters({
    clock, random, pool: table.pool, onEjected: () => metrics.record(MetricName.UpstreamsEjectedTotal, 1)
  })
  const spans = createRequestSpans(tracing)
  const ports = createRequestPorts({ clock, routers, spans, metrics })
  const core = createRequestCore({ clock, ports })

  const finish = (requestId: string, use: (sink: ResponseSink) => void) => {
    const sink = sinks.get(requestId)
    sinks.delete(requestId)
    if (sink !== undefined) use(sink)
  }

  const performers: HandlerTable<RequestEffect, void> = {
    [RequestEffectKind.SendToAgent]: ({ agent, frame }) => pool.send(agent.address, frame),
    [RequestEffectKind.SendHead]: ({ requestId, head }) => sinks.get(requestId)?.onHead(head),
    [RequestEffectKind.SendBody]: ({ requestId, bytes }) => sinks.get(requestId)?.onBody(bytes),
    [RequestEffectKind.Complete]: ({ requestId }) => finish(requestId, sink => sink.onComplete()),
    [RequestEffectKind.Fail]: ({ requestId, code }) => finish(requestId, sink => sink.onFail(code))
  }

  const task: Task<RequestMessage> = createTask({
    name: 'requests', core, perform: effect => dispatch(performers, effect), capacity: TASK_CAPACITY
  })

  const postResponse = (peer: PeerIdentity, frame: ResponseFrame) =>
    task.post({ kind: RequestMessageKind.FrameReceived, agentId: peer.nodeId, frame })

  const peerAddresses = () => settings.entries.filter(address => address !== linkAddress)

  const logClient = createLogClient(settings.logUrl)
  const feed = createConfigurationFeed({
    client: logClient,
    clock,
    random,
    retentionMs: settings.logRetentionMs,
    table,
    sendToPeers: frame => random.shuffle(peerAddresses()).slice(0, PEERS_ASKED).forEach(address => pool.send(address, frame)),
    sendToPeer: (address, frame) => pool.send(address, frame),
    ownAddress: () => linkAddress,
    onRowsChanged: offset => onRowsChanged(offset),
    onLogFailure: () => metrics.record(MetricName.LogFailuresTotal, 1)
  })

  const owner = createOwnerTask({
    client: logClient,
    clock,
    windowMs: ONCE_WINDOW_DEFAULT_MS,
    metrics,
    tracing,
    reply: (address, reply) => address === linkAddress ? keyedCalls.onBindReply(reply) : pool.send(address, toBoundFrame(reply)),
    ownAddress: () => linkAddress
  })

  const askOwner = (request: BindRequest, traceparent: string | undefined) => {
    const address = owner.ownerOf(request.shard)
    if (address === undefined || address === linkAddress) owner.bind(linkAddress, request, traceparent)
    else pool.send(address, { kind: FrameKind.Bind, replyAddress: linkAddress, request, ...(traceparent === undefined ? {} : { traceparent }) })
  }

  const keyedCalls = createKeyedCalls({
    clock,
    ports,
    windowMsOf: name => table.pool(name)?.onceWindowMs ?? ONCE_WINDOW_DEFAULT_MS,
    askOwner,
    sendToAgent: (address, frame) => pool.send(address, frame),
    traceparentOf: spans.traceparentOf
  })

  /** Sends each agent the row of its pool. */
  const sendRow = (peer: PeerIdentity) => {
    const row = peer.pool === undefined ? undefined : table.pool(peer.pool)
    if (row !== undefined) pool.send(peer.address, { kind: FrameKind.Rows, offset: table.poolOffset(row.name), row })
  }

  const onRowsChanged = (offset: number) => {
    metrics.record(MetricName.ConfigurationOffset, offset)
    owner.setWindow(Math.max(ONCE_WINDOW_DEFAULT_MS, ...table.pools().map(({ onceWindowMs }) => onceWindowMs)))
    knownAgents.forEach(sendRow)
  }

  const onReport = (peer: PeerIdentity, frame: Frame) => {
    const report = parseFrame(reportFrameSchema, frame)
    if (report.isUp) routers.addAgent(peer)
    else routers.removeAgent(peer.nodeId)
    routers.noteReport(peer.nodeId, report)
  }

  const frameHandlers: Partial<Record<FrameKind, (peer: PeerIdentity, frame: Frame) => void>> = {
    [FrameKind.Chunk]: (peer, frame) => postResponse(peer, parseFrame(chunkFrameSchema, frame)),
    [FrameKind.End]: (peer, frame) => postResponse(peer, parseFrame(endFrameSchema, frame)),
    [FrameKind.Refused]: (peer, frame) => postResponse(peer, parseFrame(refusedFrameSchema, frame)),
    [FrameKind.Report]: onReport,
    [FrameKind.CacheEvents]: (peer, frame) => routers.noteCacheEvents(peer.nodeId, parseFrame(cacheEventsFrameSchema, frame)),
    [FrameKind.Drain]: peer => routers.setDraining(peer.nodeId),
    [FrameKind.PeerStateRequest]: (_peer, frame) => feed.onPeerStateRequest(frame),
    [FrameKind.PeerState]: (_peer, frame) => feed.onPeerState(frame),
    [FrameKind.Bind]: (_peer, frame) => owner.onBind(frame),
    [FrameKind.Bound]: (_peer, frame) => keyedCalls.onBound(frame),
    [FrameKind.KeyReply]: (peer, frame) => keyedCalls.onKeyReply(peer, frame)
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
      keyedCalls.onAgentLinked(peer)
      task.post({ kind: RequestMessageKind.AgentLinked, agentId: peer.nodeId, incarnation: peer.incarnation })
    },
    [LinkEventKind.Frame]: onFrame,
    [LinkEventKind.Lost]: ({ peer }) => {
      metrics.record(MetricName.LinksLostTotal, 1)
      if (peer?.role !== NodeRole.Agent) return
      routers.removeAgent(peer.nodeId)
      keyedCalls.onAgentUnlinked(peer)
      task.post({ kind: RequestMessageKind.AgentUnlinked, agentId: peer.nodeId })
    }
  }

  /** Agents register by a link of their own; the entry then dials the agent for its requests. */
  const acceptedHandlers: HandlerTable<LinkEvent, void> = {
    [LinkEventKind.Ready]: ({ peer }) => {
      if (peer.role !== NodeRole.Agent) return
      knownAgents.set(peer.nodeId, peer)
      pool.setWanted([...knownAgents.values()].map(({ address }) => address))
    },
    [LinkEventKind.Frame]: event => {
      // An agent reports on every link; only the dialed one counts.
      if (event.peer.role === NodeRole.Entry) onFrame(event)
    },
    [LinkEventKind.Lost]: () => {}
  }

  const pool = createLinkPool({ self, keys, clock, emit: event => dispatch(dialedHandlers, event) })
  const server = await listenForLinks({
    host: linkHost, port: linkPort, self, keys, clock, emit: event => dispatch(acceptedHandlers, event)
  })
  linkAddress = `${linkHost}:${server.port}`
  owner.setEntries([...new Set([...settings.entries, linkAddress])])

  const front = await startCallerFront({
    host: callerHost,
    port: callerPort,
    clock,
    findRoute: table.findRoute,
    nextRequestId: createRequestIds(incarnation),
    addressesFor: () => ({ addresses: [callerAddress], lifetimeMs: settings.addressLifetimeMs }),
    status: () => ({
      nodeId: settings.nodeId, incarnation, isDraining, configurationOffset: table.offset, liveRequests: core.liveCount + keyedCalls.liveCount, agents: routers.agentCount
    }),
    gateway: {
      submit: (request, sink) => {
        if (request.repeat === RepeatPolicy.AtMostOnce) {
          keyedCalls.submit(request, sink)
          return
        }
        sinks.set(request.requestId, sink)
        if (!task.post({ kind: RequestMessageKind.Submitted, request })) {
          finish(request.requestId, refused => refused.onFail(ResultCode.Overloaded))
        }
      },
      cancel: requestId => {
        sinks.delete(requestId)
        keyedCalls.cancel(requestId)
        task.post({ kind: RequestMessageKind.CallerGone, requestId })
      }
    }
  })
  callerAddress = `${callerHost}:${front.port}`
  task.tickEvery(REQUEST_TICK_MS, () => ({ kind: RequestMessageKind.Tick }))
  const routerTimer = setInterval(routers.tick, 1_000)
  const keyedTimer = setInterval(keyedCalls.tick, REQUEST_TICK_MS)
  const metricsTimer = setInterval(() => {
    metrics.record(MetricName.RequestsLive, core.liveCount + keyedCalls.liveCount)
    metrics.record(MetricName.FramesDroppedTotal, core.droppedFrameCount)
  }, METRICS_INTERVAL_MS)

  const stop = async () => {
    clearInterval(routerTimer)
    clearInterval(keyedTimer)
    owner.stop()
    clearInterval(metricsTimer)
    task.stop()
    feed.stop()
    pool.close()
    await front.close()
    await server.close()
    await Promise.all([logClient.close(), metrics.close(), tracing.close()])
  }

  const drain = async () => {
    isDraining = true
    const limitMs = clock.nowMs() + settings.drainLimitMs
    while (core.liveCount + keyedCalls.liveCount > 0 && clock.nowMs() < limitMs) await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_MS))
    await stop()
  }

  return {
    get callerAddress () { return callerAddress },
    get linkAddress () { return linkAddress },
    drain,
    stop
  }
}
