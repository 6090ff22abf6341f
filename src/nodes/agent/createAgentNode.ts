import {
  type Clock, createLog, createRandom, createTask, dispatch, FrameError, type HandlerTable, hash32, type Incarnation,
  type Task
} from '../../core/index.js'
import {
  createLinkPool, FrameKind, type Frame, type LinkEvent, LinkEventKind, type LinkHandle, listenForLinks, NodeRole,
  type PeerIdentity, splitAddress
} from '../../links/index.js'
import { MetricName, SpanName } from '../../observe/index.js'
import { createUpstreamClient } from '../../platform/index.js'
import {
  type AgentRunEffect, AgentRunEffectKind, type AgentRunMessage, AgentRunMessageKind, cancelFrameSchema, createAgentRuns,
  parseFrame, REQUEST_TICK_MS, resumeFrameSchema, type RunFrame, runFrameSchema
} from '../../requests/index.js'
import { createObservability } from '../observability.js'
import type { AgentSettings } from '../settings.js'
import { waitForDrain } from '../waitForDrain.js'
import { createKeyedRunsTask } from './keyedRunsTask.js'
import { createPoolRowHolder } from './poolRowHolder.js'
import { createRegistration } from './registration.js'
import { createUpstreamTask, toUpstreamCall } from './upstreamTask.js'

const log = createLog('agent')

const METRICS_INTERVAL_MS = 5_000

export interface AgentNodeOptions {
  settings: AgentSettings
  incarnation: Incarnation
  clock: Clock
}

export interface AgentNode {
  readonly linkAddress: string
  /** Refuses new work, waits for runs in progress and stops. */
  drain (): Promise<void>
  /** Stops at once, as a crash would. */
  stop (): Promise<void>
}

/**
 * Starts an agent: the only caller of its host's upstream.
 *
 * @example
 * const agent = await startAgentNode({ settings, incarnation, clock })
 * await agent.drain()
 */
export const startAgentNode = async ({ settings, incarnation, clock }: AgentNodeOptions): Promise<AgentNode> => {
  const [host, port] = splitAddress(settings.linkAddress)
  let linkAddress = settings.linkAddress
  const linksById = new Map<string, { link: LinkHandle, peer: PeerIdentity }>()
  let isDraining = false

  const self = (): PeerIdentity => ({
    nodeId: settings.nodeId,
    incarnation,
    role: NodeRole.Agent,
    address: linkAddress,
    failureDomain: settings.failureDomain,
    pool: settings.pool,
    ...(settings.group === undefined ? {} : { group: settings.group.name, rank: settings.group.rank })
  })

  const broadcast = (frame: Frame) => {
    for (const { link } of linksById.values()) link.send(frame)
  }

  const { metrics, tracing } = createObservability('baobabdrift-agent', settings)
  const poolRow = createPoolRowHolder(row => keyedRuns.setWindow(row.onceWindowMs))
  const client = createUpstreamClient(settings.upstreamUrl)
  const upstream = createUpstreamTask({ client, clock, broadcast })
  const runs = createAgentRuns({ clock })

  const startRun = (runId: string, frame: RunFrame) => {
    const { request, requestId, remainingMs, estimatedTokens } = frame
    const agentSpan = tracing.startSpan(SpanName.Agent, frame.traceparent, { requestId, agentId: settings.nodeId })
    const engineSpan = tracing.startSpan(SpanName.Engine, agentSpan.traceparent, { path: request.path })
    const call = toUpstreamCall(request, { requestId, timeoutMs: remainingMs, traceparent: engineSpan.traceparent })
    upstream.start(runId, call, estimatedTokens, {
      onHead: (status, contentType) =>
        task.post({ kind: AgentRunMessageKind.UpstreamHead, runId, head: { status, contentType } }),
      onBytes: bytes => task.post({ kind: AgentRunMessageKind.UpstreamBytes, runId, bytes }),
      onEnd: code => {
        engineSpan.end(code)
        agentSpan.end(code)
        task.post({ kind: AgentRunMessageKind.UpstreamEnded, runId, code })
      }
    })
  }

  const keyedRuns = createKeyedRunsTask({
    clock, incarnation, upstream, tracing, sendTo: (linkId, frame) => linksById.get(linkId)?.link.send(frame)
  })

  const performers: HandlerTable<AgentRunEffect, void> = {
    [AgentRunEffectKind.StartUpstream]: ({ runId, frame }) => startRun(runId, frame),
    [AgentRunEffectKind.CancelUpstream]: ({ runId }) => upstream.cancel(runId),
    [AgentRunEffectKind.SendFrame]: ({ linkId, frame }) => linksById.get(linkId)?.link.send(frame)
  }

  const task: Task<AgentRunMessage> = createTask({
    name: 'agent', core: runs, perform: effect => dispatch(performers, effect), capacity: 65_536
  })

  const frameHandlers: Partial<Record<FrameKind, (linkId: string, frame: Frame) => void>> = {
    [FrameKind.Run]: (linkId, frame) =>
      task.post({ kind: AgentRunMessageKind.RunRequested, linkId, frame: parseFrame(runFrameSchema, frame) }),
    [FrameKind.Resume]: (linkId, frame) =>
      task.post({ kind: AgentRunMessageKind.ResumeRequested, linkId, frame: parseFrame(resumeFrameSchema, frame) }),
    [FrameKind.Cancel]: (linkId, frame) =>
      task.post({ kind: AgentRunMessageKind.CancelRequested, linkId, frame: parseFrame(cancelFrameSchema, frame) }),
    [FrameKind.Dispatch]: keyedRuns.onDispatch,
    [FrameKind.VoidIfUnseen]: keyedRuns.onVoidIfUnseen,
    [FrameKind.Detach]: keyedRuns.onDetach,
    [FrameKind.Rows]: (_linkId, frame) => poolRow.offer(frame)
  }

  const forgetLink = (linkId: string) => {
    linksById.delete(linkId)
    task.post({ kind: AgentRunMessageKind.LinkLost, linkId })
    keyedRuns.onLinkLost(linkId)
  }

  const onReady = (link: LinkHandle, peer: PeerIdentity) => {
    linksById.set(link.linkId, { link, peer })
    if (isDraining) link.send({ kind: FrameKind.Drain })
  }

  /** Closes older accepted links of the same entry, so that none of their frames arrives after a resume. */
  const onAcceptedReady = (link: LinkHandle, peer: PeerIdentity) => {
    for (const [linkId, { link: older, peer: olderPeer }] of acceptedLinks) {
      if (olderPeer.nodeId !== peer.nodeId) continue
      older.close()
      acceptedLinks.delete(linkId)
      forgetLink(linkId)
    }
    acceptedLinks.set(link.linkId, { link, peer })
    if (peer.role === NodeRole.Entry) registration.noteEntry(peer.address)
    onReady(link, peer)
  }

  const acceptedLinks = new Map<string, { link: LinkHandle, peer: PeerIdentity }>()

  const onFrame = (link: LinkHandle, frame: Frame) => {
    // Frames of a link that was closed or replaced are dropped.
    if (!linksById.has(link.linkId)) return
    try {
      frameHandlers[frame.kind]?.(link.linkId, frame)
    } catch (error) {
      if (!(error instanceof FrameError)) throw error
      log('frame refused: %s', error.message)
      link.close()
    }
  }

  const onLost = (link: LinkHandle) => {
    acceptedLinks.delete(link.linkId)
    forgetLink(link.linkId)
  }

  const linkHandlers = (ready: (link: LinkHandle, peer: PeerIdentity) => void): HandlerTable<LinkEvent, void> => ({
    [LinkEventKind.Ready]: ({ link, peer }) => ready(link, peer),
    [LinkEventKind.Frame]: ({ link, frame }) => onFrame(link, frame),
    [LinkEventKind.Lost]: ({ link }) => onLost(link)
  })
  const acceptedHandlers = linkHandlers(onAcceptedReady)
  const dialedHandlers = linkHandlers(onReady)

  const keys = () => settings.fleetKeys
  const server = await listenForLinks({ host, port, self, keys, clock, emit: event => dispatch(acceptedHandlers, event) })
  linkAddress = `${host}:${server.port}`
  const pool = createLinkPool({ self, keys, clock, emit: event => dispatch(dialedHandlers, event) })
  const registration = createRegistration({ pool, seeds: settings.entries, random: createRandom(hash32(incarnation)) })
  task.tickEvery(REQUEST_TICK_MS, () => ({ kind: AgentRunMessageKind.Tick }))

  const metricsTimer = setInterval(() => {
    metrics.record(MetricName.RunsLive, runs.activeCount + keyedRuns.activeCount)
    metrics.record(MetricName.LinksOpen, linksById.size)
    metrics.record(MetricName.UpstreamUp, upstream.isUp ? 1 : 0)
  }, METRICS_INTERVAL_MS)

  const shutDown = async () => {
    clearInterval(metricsTimer)
    task.stop()
    keyedRuns.stop()
    registration.stop()
    pool.close()
    await server.close()
    await Promise.all([upstream.stop(), metrics.close(), tracing.close()])
  }

  let stopping: Promise<void> | undefined
  /** A second call waits for the first. */
  const stop = () => (stopping ??= shutDown())

  const drain = async () => {
    log('agent %s drains', settings.nodeId)
    isDraining = true
    task.post({ kind: AgentRunMessageKind.DrainStarted })
    keyedRuns.startDrain()
    broadcast({ kind: FrameKind.Drain })
    await waitForDrain({
      role: NodeRole.Agent,
      clock,
      settings: { workLimitMs: settings.drainLimitMs, keepAnswersMs: settings.keepAnswersMs },
      countWork: () => runs.activeCount + keyedRuns.activeCount
    })
    log('agent %s has drained', settings.nodeId)
    await stop()
  }

  return { linkAddress, drain, stop }
}
