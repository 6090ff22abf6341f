import {
  type Clock, createLog, createRequestIds, createTask, dispatch, FrameError, type HandlerTable, type Incarnation, ResultCode,
  type Task
} from '../../core/index.js'
import type { RouteRow } from '../../configuration/index.js'
import {
  createLinkPool, FrameKind, type Frame, type LinkEvent, LinkEventKind, listenForLinks, NodeRole, type PeerIdentity,
  splitAddress
} from '../../links/index.js'
import {
  chunkFrameSchema, createRequestCore, endFrameSchema, parseFrame, refusedFrameSchema, REQUEST_TICK_MS,
  type RequestEffect, RequestEffectKind, type RequestMessage, RequestMessageKind, type ResponseFrame
} from '../../requests/index.js'
import type { EntrySettings } from '../settings.js'
import { startCallerFront } from './callerFront.js'
import { createAgentTable } from './agentTable.js'
import type { ResponseSink } from './types.js'

const log = createLog('entry')

export interface EntryNodeOptions {
  settings: EntrySettings
  incarnation: Incarnation
  clock: Clock
  findRoute: (path: string, model: string | undefined) => RouteRow | undefined
}

export interface EntryNode {
  readonly callerAddress: string
  readonly linkAddress: string
  drain (): Promise<void>
  stop (): Promise<void>
}

const DRAIN_POLL_MS = 50

/**
 * Starts an entry: answers callers, chooses upstreams and relays responses.
 *
 * @example
 * const entry = await startEntryNode({ settings, incarnation, clock, findRoute })
 */
export const startEntryNode = async ({ settings, incarnation, clock, findRoute }: EntryNodeOptions): Promise<EntryNode> => {
  const [linkHost, linkPort] = splitAddress(settings.linkAddress)
  const [callerHost, callerPort] = splitAddress(settings.callerAddress)
  let linkAddress = settings.linkAddress
  let callerAddress = settings.callerAddress
  let isDraining = false
  const agents = createAgentTable()
  const sinks = new Map<string, ResponseSink>()

  const self = (): PeerIdentity => ({
    nodeId: settings.nodeId, incarnation, role: NodeRole.Entry, address: linkAddress, failureDomain: settings.failureDomain
  })
  const keys = () => settings.fleetKeys

  const core = createRequestCore({ clock, ports: agents.ports })

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
    name: 'requests', core, perform: effect => dispatch(performers, effect), capacity: 65_536
  })

  const postResponse = (peer: PeerIdentity, frame: ResponseFrame) =>
    task.post({ kind: RequestMessageKind.FrameReceived, agentId: peer.nodeId, frame })

  const frameHandlers: Partial<Record<FrameKind, (peer: PeerIdentity, frame: Frame) => void>> = {
    [FrameKind.Chunk]: (peer, frame) => postResponse(peer, parseFrame(chunkFrameSchema, frame)),
    [FrameKind.End]: (peer, frame) => postResponse(peer, parseFrame(endFrameSchema, frame)),
    [FrameKind.Refused]: (peer, frame) => postResponse(peer, parseFrame(refusedFrameSchema, frame)),
    [FrameKind.Drain]: peer => agents.setDraining(peer.nodeId)
  }

  const dialedHandlers: HandlerTable<LinkEvent, void> = {
    [LinkEventKind.Ready]: ({ peer }) => {
      agents.setLinked(peer)
      task.post({ kind: RequestMessageKind.AgentLinked, agentId: peer.nodeId, incarnation: peer.incarnation })
    },
    [LinkEventKind.Frame]: ({ link, peer, frame }) => {
      try {
        frameHandlers[frame.kind]?.(peer, frame)
      } catch (error) {
        if (!(error instanceof FrameError)) throw error
        log('frame of %s refused: %s', peer.nodeId, error.message)
        link.close()
      }
    },
    [LinkEventKind.Lost]: ({ peer }) => {
      if (peer === undefined) return
      agents.setUnlinked(peer.nodeId)
      task.post({ kind: RequestMessageKind.AgentUnlinked, agentId: peer.nodeId })
    }
  }

  /** Agents register by a link of their own; the entry then dials the agent for its requests. */
  const acceptedHandlers: HandlerTable<LinkEvent, void> = {
    [LinkEventKind.Ready]: ({ peer }) => {
      if (peer.role !== NodeRole.Agent) return
      agents.add(peer)
      pool.setWanted(agents.addresses())
    },
    [LinkEventKind.Frame]: () => {},
    [LinkEventKind.Lost]: () => {}
  }

  const pool = createLinkPool({ self, keys, clock, emit: event => dispatch(dialedHandlers, event) })
  const server = await listenForLinks({
    host: linkHost, port: linkPort, self, keys, clock, emit: event => dispatch(acceptedHandlers, event)
  })
  linkAddress = `${linkHost}:${server.port}`

  const front = await startCallerFront({
    host: callerHost,
    port: callerPort,
    clock,
    findRoute,
    nextRequestId: createRequestIds(incarnation),
    addressesFor: () => ({ addresses: [callerAddress], lifetimeMs: settings.addressLifetimeMs }),
    status: () => ({ nodeId: settings.nodeId, isDraining, liveRequests: core.liveCount }),
    gateway: {
      submit: (request, sink) => {
        sinks.set(request.requestId, sink)
        if (!task.post({ kind: RequestMessageKind.Submitted, request })) {
          finish(request.requestId, refused => refused.onFail(ResultCode.Overloaded))
        }
      },
      cancel: requestId => {
        sinks.delete(requestId)
        task.post({ kind: RequestMessageKind.CallerGone, requestId })
      }
    }
  })
  callerAddress = `${callerHost}:${front.port}`
  task.tickEvery(REQUEST_TICK_MS, () => ({ kind: RequestMessageKind.Tick }))

  const stop = async () => {
    task.stop()
    pool.close()
    await front.close()
    await server.close()
  }

  const drain = async () => {
    isDraining = true
    const limitMs = clock.nowMs() + settings.drainLimitMs
    while (core.liveCount > 0 && clock.nowMs() < limitMs) await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_MS))
    await stop()
  }

  return { callerAddress, linkAddress, drain, stop }
}
