import { type Clock, fingerprint as fingerprintOf, type Incarnation, ResultCode } from '../../core/index.js'
import { BroadcastTopic } from '../../membership/index.js'
import { FrameKind, type Frame, type PeerIdentity } from '../../links/index.js'
import { type Metrics, MetricName } from '../../observe/index.js'
import {
  createQuarantine, type Notice, NoticeKind, parseNotice, QUARANTINE_TOPIC, type QuarantineEffect, QuarantineEffectKind,
  type QuarantineMessage, QuarantineMessageKind
} from '../../quarantine/index.js'
import { type AttemptResult, RESUME_WAIT_MS, type SubmittedRequest } from '../../requests/index.js'
import { createPartQuarantine } from './partQuarantine.js'

const BROADCAST_ID_LENGTH_MAX = 128
/** 200 ms before the attempts on a lost host are abandoned, while it is still known what ran there. */
const HOST_LOST_DELAY_MS = RESUME_WAIT_MS - 200

const TOPIC_OF_NOTICE: Record<NoticeKind, BroadcastTopic> = {
  [NoticeKind.Suspects]: BroadcastTopic.Suspect,
  [NoticeKind.Cleared]: BroadcastTopic.QuarantineVerdict,
  [NoticeKind.Quarantined]: BroadcastTopic.QuarantineVerdict
}

/** Where a request may run, given what is known about its crashes. */
export enum SuspectPlacementKind {
  Anywhere = 'anywhere',
  /** On one given upstream, with no other request running there. */
  Alone = 'alone',
  Refused = 'refused'
}

export type SuspectPlacement =
  | { kind: SuspectPlacementKind.Anywhere }
  | { kind: SuspectPlacementKind.Alone, agentId: string }
  | { kind: SuspectPlacementKind.Refused, code: ResultCode }

export interface QuarantineGateOptions {
  clock: Clock
  metrics: Metrics
  broadcast: (topic: BroadcastTopic, id: string, payload: unknown, lifetimeMs: number) => void
  /** Sends a frame to every linked agent of a pool. */
  notifyAgents: (pool: string, frame: Frame) => void
}

/** Tracks requests that crash upstreams at one entry, with one core per pool. */
export interface QuarantineGate {
  place (request: SubmittedRequest): SuspectPlacement
  recordDispatch (request: SubmittedRequest, agentId: string): void
  recordEnd (request: SubmittedRequest, agentId: string, result: AttemptResult): void
  onStartedAlone (peer: PeerIdentity, frame: Frame): void
  /** Handles a notice that an agent sent over its link. */
  onNotice (peer: PeerIdentity, frame: Frame): void
  onBroadcast (id: string, payload: unknown): void
  /** Handles a broadcast about parts of prompts. */
  onPartBroadcast (id: string, payload: unknown): void
  onAgentLinked (peer: PeerIdentity): void
  onAgentUnlinked (peer: PeerIdentity): void
  setUpstreams (pool: string, agentIds: readonly string[]): void
  tick (): void
}

interface PoolNotice {
  pool: string
  notice: Notice
}

/**
 * Creates the quarantine gate of one entry.
 *
 * @example
 * const gate = createQuarantineGate({ clock, metrics, broadcast, notifyAgents })
 * gate.place(request).kind // SuspectPlacementKind.Anywhere
 */
export const createQuarantineGate = (
  { clock, metrics, broadcast, notifyAgents }: QuarantineGateOptions
): QuarantineGate => {
  const parts = createPartQuarantine({
    clock, broadcast: (id, notice, lifetimeMs) => broadcast(BroadcastTopic.CrashedParts, id, notice, lifetimeMs)
  })
  const cores = new Map<string, ReturnType<typeof createQuarantine>>()
  const hostLostTimers = new Map<string, { incarnation: Incarnation, timer: NodeJS.Timeout }>()

  const coreOf = (pool: string) => {
    const existing = cores.get(pool)
    if (existing !== undefined) return existing
    const created = createQuarantine({ clock })
    cores.set(pool, created)
    return created
  }

  const countNotice: Record<NoticeKind, (notice: Notice) => void> = {
    [NoticeKind.Suspects]: notice => metrics.record(MetricName.SuspectsTotal, notice.kind === NoticeKind.Suspects ? notice.fingerprints.length : 0),
    [NoticeKind.Cleared]: () => {},
    [NoticeKind.Quarantined]: () => metrics.record(MetricName.QuarantinedTotal, 1)
  }

  const handleEffects = (pool: string, effects: QuarantineEffect[]) => {
    for (const effect of effects) {
      if (effect.kind === QuarantineEffectKind.NotifyAgents) notifyAgents(pool, { kind: FrameKind.Notice, notice: effect.notice })
      if (effect.kind !== QuarantineEffectKind.Broadcast) continue
      const { id, payload, expiresMs } = effect.broadcast
      const poolNotice: PoolNotice = { pool, notice: payload }
      countNotice[payload.kind](payload)
      const broadcastId = id.length > BROADCAST_ID_LENGTH_MAX ? fingerprintOf(id) : id
      broadcast(TOPIC_OF_NOTICE[payload.kind], broadcastId, poolNotice, expiresMs - clock.nowMs())
    }
  }

  const sendToCore = (pool: string, message: QuarantineMessage) => handleEffects(pool, coreOf(pool).handle(message))

  const sendNoticeToCore = (pool: string, notice: Notice) => sendToCore(pool, notice.kind === NoticeKind.Suspects
    ? { kind: QuarantineMessageKind.SuspectsReceived, notice }
    : { kind: QuarantineMessageKind.VerdictReceived, notice })

  const handleHostLost = ({ pool, nodeId }: PeerIdentity, incarnation: Incarnation) => {
    if (pool === undefined) return
    const crashId = `${nodeId}/${incarnation}`
    parts.onUpstreamDied(nodeId, crashId)
    sendToCore(pool, { kind: QuarantineMessageKind.UpstreamDied, upstreamId: nodeId, crashId, hostLost: true })
  }

  const place = (request: SubmittedRequest): SuspectPlacement => {
    if (parts.isBlocked(request)) return { kind: SuspectPlacementKind.Refused, code: ResultCode.Quarantined }
    const { requestId, pool, fingerprint } = request
    const [effect] = coreOf(pool).handle({ kind: QuarantineMessageKind.CheckRequested, requestId, fingerprint })
    if (effect?.kind === QuarantineEffectKind.Refuse) return { kind: SuspectPlacementKind.Refused, code: effect.code }
    if (effect?.kind === QuarantineEffectKind.RunAlone) return { kind: SuspectPlacementKind.Alone, agentId: effect.upstreamId }
    return { kind: SuspectPlacementKind.Anywhere }
  }

  return {
    place,
    recordDispatch: (request, upstreamId) => {
      const { requestId, pool, fingerprint } = request
      parts.recordDispatch(request, upstreamId)
      sendToCore(pool, { kind: QuarantineMessageKind.Dispatched, requestId, fingerprint, upstreamId })
    },
    recordEnd: (request, agentId, result) => {
      parts.recordEnd(request, agentId, result)
      sendToCore(request.pool, { kind: QuarantineMessageKind.Ended, requestId: request.requestId })
    },
    onStartedAlone: ({ pool }, { requestId }) => {
      if (pool !== undefined && typeof requestId === 'string') sendToCore(pool, { kind: QuarantineMessageKind.StartedAlone, requestId })
    },
    onNotice: ({ pool }, frame) => {
      const notice = parseNotice(frame.notice)
      if (notice.kind === NoticeKind.Suspects) parts.onUpstreamDied(notice.upstreamId, notice.crashId)
      if (pool !== undefined) sendNoticeToCore(pool, notice)
    },
    onBroadcast: (id, payload) => {
      const { pool, notice } = payload as Partial<PoolNotice>
      if (typeof pool !== 'string') return
      const parsed = parseNotice(notice)
      sendToCore(pool, {
        kind: QuarantineMessageKind.BroadcastReceived,
        broadcast: { topic: QUARANTINE_TOPIC, id, payload: parsed, expiresMs: Number.MAX_SAFE_INTEGER }
      })
    },
    onPartBroadcast: parts.onBroadcast,
    onAgentLinked: peer => {
      const lost = hostLostTimers.get(peer.nodeId)
      hostLostTimers.delete(peer.nodeId)
      clearTimeout(lost?.timer)
      if (lost !== undefined && lost.incarnation !== peer.incarnation) handleHostLost(peer, lost.incarnation)
    },
    onAgentUnlinked: peer => {
      const timer = setTimeout(() => {
        hostLostTimers.delete(peer.nodeId)
        handleHostLost(peer, peer.incarnation)
      }, HOST_LOST_DELAY_MS)
      timer.unref()
      clearTimeout(hostLostTimers.get(peer.nodeId)?.timer)
      hostLostTimers.set(peer.nodeId, { incarnation: peer.incarnation, timer })
    },
    setUpstreams: (pool, upstreamIds) => sendToCore(pool, { kind: QuarantineMessageKind.UpstreamsChanged, upstreamIds }),
    tick: () => {
      for (const pool of cores.keys()) sendToCore(pool, { kind: QuarantineMessageKind.Tick })
    }
  }
}
