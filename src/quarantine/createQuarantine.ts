import { type Clock, type Core, dispatch, type HandlerTable, ownerByRendezvous, rankByRendezvous, ResultCode, type TimestampMs } from '../core/index.js'
import {
  BROADCAST_FINGERPRINTS_MAX, CORRELATED_CRASHES_MS, NoticeKind, QUARANTINE_LIFETIME_MS, QUARANTINE_TOPIC,
  QuarantineEffectKind, QuarantineMessageKind, ISOLATION_UPSTREAM_SHARE, SUSPECT_LIFETIME_MS, SUSPECT_RETRY_AFTER_MS, VERDICT_HOLD_MS
} from './constants.js'
import { createSuspectTable, type Suspicion } from './suspectTable.js'
import type { BodyFingerprint, CrashId, Notice, QuarantineEffect, QuarantineMessage } from './types.js'

type MessageOf<Kind extends QuarantineMessageKind> = Extract<QuarantineMessage, { kind: Kind }>

interface InFlightRequest {
  fingerprint: BodyFingerprint
  upstreamId: string
  isAlone: boolean
}

const noticeLifetimeMs: Record<NoticeKind, number> = {
  [NoticeKind.Suspects]: SUSPECT_LIFETIME_MS,
  [NoticeKind.Cleared]: SUSPECT_LIFETIME_MS,
  [NoticeKind.Quarantined]: QUARANTINE_LIFETIME_MS
}

const noticeIds: { [Kind in NoticeKind]: (notice: Extract<Notice, { kind: Kind }>) => string } = {
  [NoticeKind.Suspects]: ({ crashId, fingerprints }) => `${crashId}/${fingerprints[0]}`,
  [NoticeKind.Cleared]: ({ fingerprint, crashIds }) => `${fingerprint}/cleared/${crashIds.join(',')}`,
  [NoticeKind.Quarantined]: ({ fingerprint }) => `${fingerprint}/quarantined`
}

/**
 * Creates the quarantine of one pool at an entry. It limits the damage of requests that crash upstreams:
 * suspects run alone, one copy at a time, on a few upstreams that all entries choose alike. A suspect whose
 * upstream crashed is refused until every entry can have received the verdict.
 *
 * @example
 * const quarantine = createQuarantine({ clock })
 * quarantine.handle({ kind: QuarantineMessageKind.CheckRequested, requestId, fingerprint })
 */
export const createQuarantine = ({ clock }: { clock: Clock }): Core<QuarantineMessage, QuarantineEffect> => {
  const table = createSuspectTable()
  const inFlight = new Map<string, InFlightRequest>()
  const recentCrashes = new Map<CrashId, { upstreamId: string, atMs: TimestampMs }>()
  /** Suspects that ran alone on a lost host; the verdict waits until correlated crashes are known. */
  const pendingVerdicts = new Map<BodyFingerprint, { crashId: CrashId, atMs: TimestampMs }>()
  let upstreamIds: readonly string[] = []

  const broadcast = (payload: Notice): QuarantineEffect => ({
    kind: QuarantineEffectKind.Broadcast,
    broadcast: {
      topic: QUARANTINE_TOPIC,
      id: (noticeIds[payload.kind] as (notice: Notice) => string)(payload),
      payload,
      expiresMs: clock.nowMs() + noticeLifetimeMs[payload.kind]
    }
  })

  /** Sends a new notice to the linked agents and broadcasts it to the other entries; known ones are ignored. */
  const publish = (notice: Notice): QuarantineEffect[] => {
    if (!table.apply(notice, clock.nowMs())) return []
    return [{ kind: QuarantineEffectKind.NotifyAgents, notice }, broadcast(notice)]
  }

  const splitSuspects = (crashId: CrashId, upstreamId: string, fingerprints: readonly BodyFingerprint[]): Notice[] => {
    const notices: Notice[] = []
    for (let i = 0; i < fingerprints.length; i += BROADCAST_FINGERPRINTS_MAX) {
      notices.push({ kind: NoticeKind.Suspects, crashId, upstreamId, fingerprints: fingerprints.slice(i, i + BROADCAST_FINGERPRINTS_MAX) })
    }
    return notices
  }

  const isWithinVerdictHold = ({ atMs }: { atMs: TimestampMs }) => clock.nowMs() - atMs < VERDICT_HOLD_MS

  /**
   * Returns the upstream on which a suspect has to run. Upstreams that crashed recently stay candidates, so
   * that a suspect does not move to the next one before the verdict on its run there is known; it is held
   * meanwhile.
   */
  const findIsolationUpstream = (fingerprint: BodyFingerprint, { crashes }: Suspicion): { upstreamId?: string, isHeld: boolean } => {
    const recentIds = [...recentCrashes.values()].filter(isWithinVerdictHold).map(crash => crash.upstreamId)
    const excludedIds = new Set([...crashes.values(), ...[...recentCrashes.values()].filter(crash => !isWithinVerdictHold(crash)).map(crash => crash.upstreamId)])
    const usable = [...new Set([...upstreamIds, ...recentIds])].filter(upstreamId => !excludedIds.has(upstreamId))
    const isolationIds = rankByRendezvous('suspects', usable).slice(0, Math.max(1, Math.ceil(ISOLATION_UPSTREAM_SHARE * usable.length)))
    const upstreamId = ownerByRendezvous(fingerprint, isolationIds)
    const crashIds = crashes.size > 1 ? [...crashes.keys()] : []
    const isHeld = recentIds.includes(upstreamId ?? '') || crashIds.some(crashId => {
      const crash = recentCrashes.get(crashId)
      return crash !== undefined && isWithinVerdictHold(crash)
    })
    return { upstreamId, isHeld }
  }

  const onCheck = ({ requestId, fingerprint }: MessageOf<QuarantineMessageKind.CheckRequested>): QuarantineEffect[] => {
    const refuse = (code: ResultCode): QuarantineEffect[] =>
      [{ kind: QuarantineEffectKind.Refuse, requestId, code, retryAfterMs: SUSPECT_RETRY_AFTER_MS }]
    if (table.isQuarantined(fingerprint)) return refuse(ResultCode.Quarantined)
    const suspicion = table.findSuspicion(fingerprint)
    if (suspicion === undefined) return [{ kind: QuarantineEffectKind.Run, requestId }]
    const isRunning = [...inFlight.values()].some(request => request.fingerprint === fingerprint)
    const { upstreamId, isHeld } = findIsolationUpstream(fingerprint, suspicion)
    if (isRunning || isHeld || pendingVerdicts.has(fingerprint)) return refuse(ResultCode.SuspectBusy)
    if (upstreamId === undefined) return refuse(ResultCode.NoUpstream)
    return [{ kind: QuarantineEffectKind.RunAlone, requestId, upstreamId }]
  }

  const onDispatched = ({ requestId, fingerprint, upstreamId }: MessageOf<QuarantineMessageKind.Dispatched>): QuarantineEffect[] => {
    inFlight.set(requestId, { fingerprint, upstreamId, isAlone: false })
    return []
  }

  const onStartedAlone = ({ requestId }: MessageOf<QuarantineMessageKind.StartedAlone>): QuarantineEffect[] => {
    const request = inFlight.get(requestId)
    if (request !== undefined) request.isAlone = true
    return []
  }

  const recordCrash = (crashId: CrashId, upstreamId: string) => {
    if (!recentCrashes.has(crashId)) recentCrashes.set(crashId, { upstreamId, atMs: clock.nowMs() })
  }

  const onUpstreamDied = ({ upstreamId, crashId, hostLost }: MessageOf<QuarantineMessageKind.UpstreamDied>): QuarantineEffect[] => {
    recordCrash(crashId, upstreamId)
    const fingerprints = new Set<BodyFingerprint>()
    for (const [requestId, request] of inFlight) {
      if (request.upstreamId !== upstreamId) continue
      inFlight.delete(requestId)
      fingerprints.add(request.fingerprint)
      if (hostLost && request.isAlone) pendingVerdicts.set(request.fingerprint, { crashId, atMs: clock.nowMs() })
    }
    // If the host survived, its crash guard reports the suspects more exactly: some requests may not have started.
    return hostLost ? splitSuspects(crashId, upstreamId, [...fingerprints]).flatMap(publish) : []
  }

  const onSuspects = ({ notice }: MessageOf<QuarantineMessageKind.SuspectsReceived>): QuarantineEffect[] => {
    const { crashId, upstreamId, fingerprints } = notice
    recordCrash(crashId, upstreamId)
    return splitSuspects(crashId, upstreamId, fingerprints).flatMap(publish)
  }

  const onBroadcast = ({ broadcast: { topic, payload, expiresMs } }: MessageOf<QuarantineMessageKind.BroadcastReceived>): QuarantineEffect[] => {
    const nowMs = clock.nowMs()
    if (topic !== QUARANTINE_TOPIC || expiresMs <= nowMs) return []
    if (payload.kind === NoticeKind.Suspects) recordCrash(payload.crashId, payload.upstreamId)
    // Gossip already forwards broadcasts to the other entries; each entry notifies its linked agents.
    return table.apply(payload, nowMs) ? [{ kind: QuarantineEffectKind.NotifyAgents, notice: payload }] : []
  }

  const decideVerdict = (fingerprint: BodyFingerprint, { crashId, atMs }: { crashId: CrashId, atMs: TimestampMs }): QuarantineEffect[] => {
    if (clock.nowMs() - atMs < CORRELATED_CRASHES_MS) return []
    pendingVerdicts.delete(fingerprint)
    const isCorrelated = [...recentCrashes].some(([id, crash]) => id !== crashId && Math.abs(crash.atMs - atMs) < CORRELATED_CRASHES_MS)
    return isCorrelated ? [] : publish({ kind: NoticeKind.Quarantined, fingerprint, crashId })
  }

  const onTick = (): QuarantineEffect[] => {
    const nowMs = clock.nowMs()
    const effects = [...pendingVerdicts].flatMap(([fingerprint, loss]) => decideVerdict(fingerprint, loss))
    table.expire(nowMs)
    for (const [crashId, { atMs }] of recentCrashes) if (nowMs - atMs > 10 * VERDICT_HOLD_MS) recentCrashes.delete(crashId)
    return effects
  }

  const handlers: HandlerTable<QuarantineMessage, QuarantineEffect[]> = {
    [QuarantineMessageKind.UpstreamsChanged]: message => {
      upstreamIds = message.upstreamIds
      return []
    },
    [QuarantineMessageKind.CheckRequested]: onCheck,
    [QuarantineMessageKind.Dispatched]: onDispatched,
    [QuarantineMessageKind.StartedAlone]: onStartedAlone,
    [QuarantineMessageKind.Ended]: ({ requestId }) => {
      inFlight.delete(requestId)
      return []
    },
    [QuarantineMessageKind.UpstreamDied]: onUpstreamDied,
    [QuarantineMessageKind.SuspectsReceived]: onSuspects,
    [QuarantineMessageKind.VerdictReceived]: ({ notice }) => publish(notice),
    [QuarantineMessageKind.BroadcastReceived]: onBroadcast,
    [QuarantineMessageKind.Tick]: onTick
  }

  return { handle: message => dispatch(handlers, message) }
}
