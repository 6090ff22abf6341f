import { type Clock, type Core, dispatch, type HandlerTable, ResultCode, type TimestampMs } from '../core/index.js'
import {
  CrashGuardEffectKind, CrashGuardMessageKind, NoticeKind, SUSPECT_QUEUE_MAX, SUSPECT_WAIT_MAX_MS
} from './constants.js'
import { createSuspectTable } from './suspectTable.js'
import type { BodyFingerprint, CrashGuardEffect, CrashGuardMessage, Notice } from './types.js'

type MessageOf<Kind extends CrashGuardMessageKind> = Extract<CrashGuardMessage, { kind: Kind }>

interface GuardedRun {
  fingerprint: BodyFingerprint
  isAlone: boolean
  isRepeatable: boolean
}

/**
 * Creates the crash guard of an agent's upstream. The agent is the only caller of its upstream, so it knows
 * exactly which requests were running when the upstream crashed. Only a suspect that ran alone is
 * quarantined; requests that ran concurrently with others never are.
 *
 * @example
 * const guard = createCrashGuard({ clock, upstreamId: 'u1' })
 * guard.handle({ kind: CrashGuardMessageKind.RunRequested, runId, fingerprint, isSuspect: false, isRepeatable: true })
 */
export const createCrashGuard = (
  { clock, upstreamId }: { clock: Clock, upstreamId: string }
): Core<CrashGuardMessage, CrashGuardEffect> => {
  const table = createSuspectTable()
  const running = new Map<string, GuardedRun>()
  let waiting: Array<{ runId: string, fingerprint: BodyFingerprint, isRepeatable: boolean, sinceMs: TimestampMs }> = []
  let isUp = true

  const refuse = (runId: string, code: ResultCode, notice?: Notice): CrashGuardEffect =>
    ({ kind: CrashGuardEffectKind.Refuse, runId, code, notice })

  const suspectNotice = (fingerprint: BodyFingerprint): Notice | undefined => {
    const crash = table.findSuspicion(fingerprint)?.crashes.entries().next().value
    return crash && { kind: NoticeKind.Suspects, crashId: crash[0], upstreamId: crash[1], fingerprints: [fingerprint] }
  }

  const isAnyAlone = () => [...running.values()].some(({ isAlone }) => isAlone)

  const startNext = (): CrashGuardEffect[] => {
    const next = waiting[0]
    if (next === undefined || running.size > 0 || !isUp) return []
    waiting.shift()
    running.set(next.runId, { fingerprint: next.fingerprint, isAlone: true, isRepeatable: next.isRepeatable })
    return [{ kind: CrashGuardEffectKind.StartAlone, runId: next.runId }]
  }

  const isRunningOrWaiting = (fingerprint: BodyFingerprint) =>
    waiting.some(run => run.fingerprint === fingerprint) || [...running.values()].some(run => run.fingerprint === fingerprint)

  const onRunRequested = ({ runId, fingerprint, isSuspect, isRepeatable }: MessageOf<CrashGuardMessageKind.RunRequested>): CrashGuardEffect[] => {
    if (table.isQuarantined(fingerprint)) return [refuse(runId, ResultCode.Quarantined)]
    if (!isUp) return [refuse(runId, ResultCode.NoUpstream)]
    if (isSuspect) {
      if (isRunningOrWaiting(fingerprint) || waiting.length >= SUSPECT_QUEUE_MAX) return [refuse(runId, ResultCode.SuspectBusy)]
      waiting.push({ runId, fingerprint, isRepeatable, sinceMs: clock.nowMs() })
      return startNext()
    }
    // The entry does not know of the suspicion yet; it has to choose an upstream for suspects instead.
    const notice = suspectNotice(fingerprint)
    if (notice !== undefined) return [refuse(runId, ResultCode.SuspectBusy, notice)]
    if (waiting.length > 0 || isAnyAlone()) return [refuse(runId, ResultCode.SuspectBusy)]
    running.set(runId, { fingerprint, isAlone: false, isRepeatable })
    return [{ kind: CrashGuardEffectKind.Start, runId }]
  }

  const announce = (notice: Notice): CrashGuardEffect[] => {
    table.apply(notice, clock.nowMs())
    return [{ kind: CrashGuardEffectKind.NotifyEntries, notice }]
  }

  const onRunEnded = ({ runId, succeeded }: MessageOf<CrashGuardMessageKind.RunEnded>): CrashGuardEffect[] => {
    const run = running.get(runId)
    waiting = waiting.filter(suspect => suspect.runId !== runId)
    if (run === undefined) return startNext()
    running.delete(runId)
    if (!run.isAlone || !succeeded) return startNext()
    const crashIds = [...table.findSuspicion(run.fingerprint)?.crashes.keys() ?? []]
    return [...announce({ kind: NoticeKind.Cleared, fingerprint: run.fingerprint, crashIds }), ...startNext()]
  }

  const onUpstreamDied = ({ crashId }: MessageOf<CrashGuardMessageKind.UpstreamDied>): CrashGuardEffect[] => {
    isUp = false
    const runs = [...running.values()]
    const refused = waiting.map(({ runId }) => refuse(runId, ResultCode.NoUpstream))
    running.clear()
    waiting = []
    if (runs.length === 0) return refused
    const fingerprints = [...new Set(runs.map(({ fingerprint }) => fingerprint))]
    const suspects = announce({ kind: NoticeKind.Suspects, crashId, upstreamId, fingerprints })
    const [onlyRun] = runs
    const isConfirmed = runs.length === 1 && onlyRun!.isAlone
    const verdict = isConfirmed ? announce({ kind: NoticeKind.Quarantined, fingerprint: onlyRun!.fingerprint, crashId }) : []
    return [...verdict, ...suspects, ...refused]
  }

  const onSuspects = ({ notice }: MessageOf<CrashGuardMessageKind.SuspectsReceived>): CrashGuardEffect[] => {
    if (!table.apply(notice, clock.nowMs())) return []
    const effects: CrashGuardEffect[] = [{ kind: CrashGuardEffectKind.NotifyEntries, notice }]
    for (const [runId, { fingerprint, isAlone, isRepeatable }] of running) {
      if (isAlone || !isRepeatable || table.findSuspicion(fingerprint) === undefined) continue
      running.delete(runId)
      // A copy of a request that just crashed another upstream would crash this one too.
      effects.push({ kind: CrashGuardEffectKind.Cancel, runId, code: ResultCode.SuspectBusy })
    }
    return [...effects, ...startNext()]
  }

  const onVerdict = ({ notice }: MessageOf<CrashGuardMessageKind.VerdictReceived>): CrashGuardEffect[] => {
    if (!table.apply(notice, clock.nowMs())) return []
    if (notice.kind !== NoticeKind.Quarantined) return []
    const refused = waiting.filter(({ fingerprint }) => fingerprint === notice.fingerprint)
    waiting = waiting.filter(({ fingerprint }) => fingerprint !== notice.fingerprint)
    const effects = refused.map(({ runId }) => refuse(runId, ResultCode.Quarantined))
    for (const [runId, { fingerprint, isRepeatable }] of running) {
      if (fingerprint !== notice.fingerprint || !isRepeatable) continue
      running.delete(runId)
      effects.push({ kind: CrashGuardEffectKind.Cancel, runId, code: ResultCode.Quarantined })
    }
    return [...effects, ...startNext()]
  }

  const onTick = (): CrashGuardEffect[] => {
    const nowMs = clock.nowMs()
    table.expire(nowMs)
    const isLate = ({ sinceMs }: { sinceMs: TimestampMs }) => !isAnyAlone() && nowMs - sinceMs > SUSPECT_WAIT_MAX_MS
    const late = waiting.filter(isLate)
    waiting = waiting.filter(run => !isLate(run))
    return late.map(({ runId }) => refuse(runId, ResultCode.SuspectBusy))
  }

  const handlers: HandlerTable<CrashGuardMessage, CrashGuardEffect[]> = {
    [CrashGuardMessageKind.RunRequested]: onRunRequested,
    [CrashGuardMessageKind.RunEnded]: onRunEnded,
    [CrashGuardMessageKind.UpstreamDied]: onUpstreamDied,
    [CrashGuardMessageKind.UpstreamStarted]: () => {
      isUp = true
      return []
    },
    [CrashGuardMessageKind.SuspectsReceived]: onSuspects,
    [CrashGuardMessageKind.VerdictReceived]: onVerdict,
    [CrashGuardMessageKind.Tick]: onTick
  }

  return { handle: message => dispatch(handlers, message) }
}
