import {
  type Clock, createLog, createRandom, dispatch, FrameError, type HandlerTable, hash32, type Incarnation
} from '../../core/index.js'
import {
  createLinkPool, FrameKind, type Frame, type LinkEvent, LinkEventKind, type LinkHandle, listenForLinks, NodeRole,
  type PeerIdentity, splitAddress
} from '../../links/index.js'
import { MetricName } from '../../observe/index.js'
import { createOrderClient, createRankClient, createUpstreamClient } from '../../clients/index.js'
import { createObservability } from '../observability.js'
import type { AgentSettings } from '../settings.js'
import { waitForDrain } from '../waitForDrain.js'
import { createGuardTask } from './guardTask.js'
import { createKeyedRunsTask } from './keyedRunsTask.js'
import { createMapsTask } from './mapsTask.js'
import { createOrdersTask } from './ordersTask.js'
import { createPoolRowHolder } from './poolRowHolder.js'
import { createRegistration } from './registration.js'
import { createRunsTask } from './runsTask.js'
import { createUpstreamTask } from './upstreamTask.js'

const log = createLog('agent')

const METRICS_INTERVAL_MS = 5_000

export interface AgentNodeOptions {
  settings: AgentSettings
  incarnation: Incarnation
  clock: Clock
}

export interface AgentNode {
  readonly linkAddress: string
  /** Refuses new requests, waits for the runs in flight and stops. */
  drain (): Promise<void>
  /** Stops at once, without draining. */
  stop (): Promise<void>
}

interface OpenLink {
  link: LinkHandle
  peer: PeerIdentity
  /** Whether the peer opened the link. */
  isAccepted: boolean
}

/**
 * Starts an agent. All requests to the upstream on its host go through it.
 *
 * @example
 * const agent = await startAgentNode({ settings, incarnation, clock })
 * await agent.drain()
 */
export const startAgentNode = async ({ settings, incarnation, clock }: AgentNodeOptions): Promise<AgentNode> => {
  const [host, port] = splitAddress(settings.linkAddress)
  let { linkAddress } = settings
  let isDraining = false
  const openLinks = new Map<string, OpenLink>()
  const { metrics, tracing } = createObservability('baobabdrift-agent', settings)

  const self = (): PeerIdentity => ({
    nodeId: settings.nodeId,
    incarnation,
    role: NodeRole.Agent,
    address: settings.advertisedAddress ?? linkAddress,
    failureDomain: settings.failureDomain,
    pool: settings.pool,
    ...(settings.group === undefined ? {} : { group: settings.group.name, rank: settings.group.rank })
  })

  const broadcast = (frame: Frame) => {
    for (const { link } of openLinks.values()) link.send(frame)
  }
  const sendTo = (linkId: string, frame: Frame) => openLinks.get(linkId)?.link.send(frame)
  const whenWritable = (linkId: string) => openLinks.get(linkId)?.link.whenWritable()

  const guard = createGuardTask({ clock, agentId: settings.nodeId, incarnation, broadcast })
  const upstream = createUpstreamTask({
    client: createUpstreamClient(settings.upstreamUrl), clock, broadcast, onDied: guard.onUpstreamDied, onStarted: guard.onUpstreamStarted
  })
  const runs = createRunsTask({ clock, agentId: settings.nodeId, upstream, guard, tracing, sendTo, whenWritable })
  const keyedRuns = createKeyedRunsTask({ clock, incarnation, upstream, guard, tracing, sendTo })
  const orderClient = createOrderClient(settings.upstreamUrl)
  const pickEntryLink = () => [...openLinks.values()].find(({ peer }) => peer.role === NodeRole.Entry)?.link.linkId
  const orders = createOrdersTask({ clock, client: orderClient, sendTo, pickEntryLink })
  const rankClient = settings.group && createRankClient(settings.upstreamUrl)
  const maps = settings.group && rankClient && createMapsTask({
    clock,
    incarnation,
    settings: settings.group,
    client: rankClient,
    weightStoreUrl: settings.weightStoreUrl,
    metrics,
    sendTo: (address, frame) => pool.send(address, frame),
    onExplanation: line => broadcast({ kind: FrameKind.MapExplanation, group: settings.group?.name, line })
  })
  const poolRow = createPoolRowHolder(row => {
    keyedRuns.setWindow(row.onceWindowMs)
    orders.setRow(row)
    maps?.setRow(row)
  })

  const frameHandlers: Partial<Record<FrameKind, (linkId: string, frame: Frame) => void>> = {
    [FrameKind.Run]: runs.onRun,
    [FrameKind.Resume]: runs.onResume,
    [FrameKind.Cancel]: runs.onCancel,
    [FrameKind.Dispatch]: keyedRuns.onDispatch,
    [FrameKind.VoidIfUnseen]: keyedRuns.onVoidIfUnseen,
    [FrameKind.Detach]: keyedRuns.onDetach,
    [FrameKind.Rows]: (_linkId, frame) => poolRow.onRows(frame),
    [FrameKind.Notice]: (_linkId, frame) => guard.onNotice(frame),
    [FrameKind.Assignment]: (_linkId, frame) => orders.onAssignment(frame),
    [FrameKind.FenceConfirmed]: (_linkId, frame) => orders.onFenceConfirmed(frame),
    [FrameKind.EngineStateRequest]: linkId => orders.onEngineStateRequest(linkId),
    [FrameKind.Switch]: (_linkId, frame) => maps?.onSwitchFrame(frame),
    [FrameKind.GroupRoster]: (_linkId, frame) => maps?.onRoster(frame)
  }

  const removeLink = (linkId: string) => {
    if (!openLinks.delete(linkId)) return
    runs.onLinkLost(linkId)
    keyedRuns.onLinkLost(linkId)
  }

  /** Closes older accepted links of the same peer, so that none of their frames can arrive after a resume. */
  const closeOlderLinks = (peer: PeerIdentity) => {
    for (const [linkId, older] of openLinks) {
      if (!older.isAccepted || older.peer.nodeId !== peer.nodeId) continue
      removeLink(linkId)
      older.link.close()
    }
  }

  const onReady = (link: LinkHandle, peer: PeerIdentity, isAccepted: boolean) => {
    if (isAccepted) closeOlderLinks(peer)
    if (isAccepted && peer.role === NodeRole.Entry) registration.addEntry(peer.address)
    openLinks.set(link.linkId, { link, peer, isAccepted })
    upstream.forceNextReport()
    if (isDraining) link.send({ kind: FrameKind.Drain })
  }

  const onFrame = (link: LinkHandle, frame: Frame) => {
    // Ignores frames of a link that has been closed or replaced.
    if (!openLinks.has(link.linkId)) return
    try {
      frameHandlers[frame.kind]?.(link.linkId, frame)
    } catch (error) {
      if (!(error instanceof FrameError)) throw error
      log('closing the link after an invalid frame: %s', error.message)
      link.close()
    }
  }

  const linkHandlersFor = (isAccepted: boolean): HandlerTable<LinkEvent, void> => ({
    [LinkEventKind.Ready]: ({ link, peer }) => onReady(link, peer, isAccepted),
    [LinkEventKind.Frame]: ({ link, frame }) => onFrame(link, frame),
    [LinkEventKind.Lost]: ({ link }) => removeLink(link.linkId)
  })
  const acceptedHandlers = linkHandlersFor(true)
  const dialedHandlers = linkHandlersFor(false)

  const keys = () => settings.fleetKeys
  const pool = createLinkPool({ self, keys, clock, emit: event => dispatch(dialedHandlers, event) })
  const server = await listenForLinks({ host, port, self, keys, clock, emit: event => dispatch(acceptedHandlers, event) })
  linkAddress = `${host}:${server.port}`
  const registration = createRegistration({ pool, seeds: settings.entries, random: createRandom(hash32(incarnation)) })

  const metricsTimer = setInterval(() => {
    metrics.record(MetricName.RunsLive, runs.activeCount + keyedRuns.activeCount)
    metrics.record(MetricName.LinksOpen, openLinks.size)
    metrics.record(MetricName.UpstreamUp, upstream.isUp ? 1 : 0)
  }, METRICS_INTERVAL_MS)

  const shutDown = async () => {
    clearInterval(metricsTimer)
    runs.stop()
    keyedRuns.stop()
    guard.stop()
    orders.stop()
    maps?.stop()
    registration.stop()
    pool.close()
    await server.close()
    await Promise.all([upstream.stop(), orderClient.close(), rankClient?.close(), metrics.close(), tracing.close()])
  }

  let stopping: Promise<void> | undefined
  /** Further calls wait for the first one. */
  const stop = () => (stopping ??= shutDown())

  const drain = async () => {
    log('agent %s is draining', settings.nodeId)
    isDraining = true
    runs.startDrain()
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
