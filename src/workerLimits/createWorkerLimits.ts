import { type Clock, type Core, dispatch, type HandlerTable, type Random, rankByRendezvous, type TimestampMs } from '../core/index.js'
import type { Worker, WorkerRun } from '../membership/index.js'
import {
  ASK_JITTER_MAX_MS, DENIAL_MAX_MS, ISSUER_FAILURES_MAX, ISSUER_PAUSE_MS, ISSUER_RETRY_MS, ISSUER_SETTLE_MS, PERMIT_TIMEOUT_MS, REPORTED_LIMITS_MAX, ROSTER_INTERVAL_MS, WorkerLimitsEffectKind,
  WorkerLimitsMessageKind, WorkerPermission
} from './constants.js'
import { createColdTable } from './createColdTable.js'
import { createPauseTable } from './createPauseTable.js'
import { createPermitIssuer, type PermitGrant } from './createPermitIssuer.js'
import { createPermitStore } from './permitStore.js'
import { createRateLimitTable } from './createRateLimitTable.js'
import { createZoneRoster } from './createZoneRoster.js'
import { combineLimits, ISSUE_RULES, type LimitInForce } from './issueRules.js'
import type { PermitAnswer, PermitIssuerEntry, PermitRequest, ReportedCold, ReportedLimit, WorkerLimitsEffect, WorkerLimitsMessage } from './types.js'
import type { WarmUp } from './warmUp.js'

/** An unanswered request for permits. */
interface Ask {
  requestId: number
  run: WorkerRun
  limit: LimitInForce
  issuerId: string
  sentAtMs: TimestampMs
}

/** Consecutive failures of an issuer, which is not asked until `retryAtMs` once there are too many. */
interface IssuerFailures {
  count: number
  retryAtMs: TimestampMs
}

export interface WorkerLimitsOptions {
  clock: Clock
  random: Random
  ownNodeId: string
  /** All entries that are live and ready, this one included if it is ready. */
  entries: () => readonly PermitIssuerEntry[]
  isWorkerKnown: (workerId: string) => boolean
  /** Warm-up of the workers of a service; undefined if they have none. */
  warmUpOf?: (service: string) => WarmUp | undefined
}

/** Limits of workers as one entry applies them, and its part in sharing them with the other entries. */
export interface WorkerLimits extends Core<WorkerLimitsMessage, WorkerLimitsEffect> {
  permissionOf (run: WorkerRun): WorkerPermission
  /** Uses the permit for a request that is sent to a worker; no effect if the worker is not limited. */
  usePermit (run: WorkerRun): void
  /** Time until the worker wants a request again, or a permit may be had; 0 if that is now. */
  waitMsOf (run: WorkerRun): number
  /** How much longer a worker stays cold; 0 if it is warm. */
  coldLeftMs (run: WorkerRun): number
  /** Limits that workers name as far as this entry knows, for its reports to the others. */
  report (): ReportedLimit[]
  /** Number of workers that name a limit. */
  readonly limitedCount: number
  /** Number of workers that are cold. */
  readonly coldCount: number
}

/**
 * Share of the limit that an entry issues, by its rank among the possible issuers of a worker. The sum of all shares is
 * at most one and a quarter, so that entries that cannot reach the same issuer still keep the worker near its limit.
 */
const shareOfRank = (rank: number) => rank === 0 ? 1 : 0.5 ** (rank + 2)

/**
 * Creates the worker limits of one entry. A worker is limited while it names a limit, while it is cold, or both. A limit holds for all entries together and may be far below one
 * request a second for each, so it is shared by single permits: one entry, found by rendezvous hashing among those of
 * the worker's zone, issues them at the rate of the limit to whoever asks. Entries ask when they have a request for the
 * worker, and the permits of an entry that stops or pauses expire.
 *
 * @example
 * const limits = createWorkerLimits({ clock, random, ownNodeId, entries, isWorkerKnown })
 * limits.handle({ kind: WorkerLimitsMessageKind.PermitWanted, worker })
 * limits.permissionOf(worker)
 */
export const createWorkerLimits = (
  { clock, random, ownNodeId, entries, isWorkerKnown, warmUpOf = () => undefined }: WorkerLimitsOptions
): WorkerLimits => {
  const limits = createRateLimitTable({ clock })
  const issuer = createPermitIssuer({ clock })
  const permits = createPermitStore({ clock })
  const pauses = createPauseTable({ clock })
  const cold = createColdTable({ clock, warmUpOf })
  const roster = createZoneRoster({ clock, ownNodeId })
  const asks = new Map<string, Ask>()
  const deniedUntilMs = new Map<string, TimestampMs>()
  const failures = new Map<string, IssuerFailures>()
  const startedMs = clock.nowMs()
  let resumedMs = startedMs
  let handledMs = startedMs
  let rosterMs = startedMs
  let nextRequestId = 1

  const limitOf = (run: WorkerRun) => combineLimits(limits.limitOf(run), cold.permitsPerS(run))

  const isDenied = (workerId: string) => (deniedUntilMs.get(workerId) ?? 0) > clock.nowMs()

  const permissionOf = (run: WorkerRun): WorkerPermission => {
    if (pauses.remainingMs(run) > 0) return WorkerPermission.Paused
    if (limitOf(run) === undefined) return WorkerPermission.Unlimited
    if (permits.has(run)) return WorkerPermission.Permitted
    if (asks.has(run.workerId)) return WorkerPermission.Asked
    return isDenied(run.workerId) ? WorkerPermission.Denied : WorkerPermission.Askable
  }

  const changed = ({ workerId }: WorkerRun, before: number | undefined, limitPerS: number | undefined, isHeard: boolean): WorkerLimitsEffect[] =>
    [{ kind: WorkerLimitsEffectKind.LimitChanged, workerId, before, limitPerS, isHeard }, { kind: WorkerLimitsEffectKind.PermitsChanged }]

  const merge = (reported: ReportedLimit): WorkerLimitsEffect[] => {
    const before = limits.limitOf(reported)
    return limits.merge(reported) ? changed(reported, before, limits.limitOf(reported), false) : []
  }

  /** The entries that may issue permits for a worker of a zone, in the order in which they are asked. */
  const rankIssuers = (workerId: string, zone: string): PermitIssuerEntry[] => {
    const all = entries()
    const inZone = all.filter(entry => entry.zone === zone)
    const candidates = inZone.length > 0 ? inZone : all
    return rankByRendezvous(`worker-limit/${workerId}`, candidates.map(({ nodeId }) => nodeId))
      .map(nodeId => candidates.find(entry => entry.nodeId === nodeId)!)
  }

  const hasFailed = ({ nodeId }: PermitIssuerEntry) => {
    const { count, retryAtMs } = failures.get(nodeId) ?? { count: 0, retryAtMs: 0 }
    return count >= ISSUER_FAILURES_MAX && retryAtMs > clock.nowMs()
  }

  const issue = (run: WorkerRun, zone: string, { limitPerS, source }: LimitInForce): PermitGrant => {
    const { isSettledAfterPause, isSharedByParts, otherZoneShare } = ISSUE_RULES[source]
    const settledInMs = (isSettledAfterPause ? resumedMs : startedMs) + ISSUER_SETTLE_MS - clock.nowMs()
    if (settledInMs > 0) return { count: 0, retryAfterMs: Math.ceil(settledInMs) }
    const issuers = rankIssuers(run.workerId, zone)
    const rank = issuers.findIndex(({ nodeId }) => nodeId === ownNodeId)
    const zoneShare = issuers.some(entry => entry.zone === zone) ? 1 : otherZoneShare
    const partShare = isSharedByParts ? roster.shareKnown() : 1
    return issuer.take(run, limitPerS * zoneShare * partShare * shareOfRank(rank < 0 ? issuers.length : rank), source)
  }

  const deny = (workerId: string, retryAfterMs: number) => {
    const waitMs = Math.min(retryAfterMs, DENIAL_MAX_MS)
    deniedUntilMs.set(workerId, clock.nowMs() + waitMs + random.next() * Math.min(ASK_JITTER_MAX_MS, waitMs))
  }

  const applyGrant = (run: WorkerRun, { source }: LimitInForce, askedAtMs: TimestampMs, { count, retryAfterMs }: PermitGrant): WorkerLimitsEffect[] => {
    const { permitLifetimeMs, isCountedFromAsk } = ISSUE_RULES[source]
    if (count > 0) permits.add(run, count, (isCountedFromAsk ? askedAtMs : clock.nowMs()) + permitLifetimeMs)
    else deny(run.workerId, retryAfterMs)
    return [{ kind: WorkerLimitsEffectKind.PermitsChanged }]
  }

  const reportOf = (run: WorkerRun): ReportedLimit | undefined =>
    limits.report().find(({ workerId, startedAtUnixMs }) => workerId === run.workerId && startedAtUnixMs === run.startedAtUnixMs)

  /** The limits of a run for the issuer. A cold time is never told as a limit that the worker names, which the issuer would keep. */
  const reasonsOf = (run: WorkerRun): { limit: ReportedLimit, cold?: ReportedCold } | { cold: ReportedCold } => {
    const permitsPerS = cold.permitsPerS(run)
    const limit = reportOf(run)
    const coldReason = permitsPerS === undefined ? undefined : { ...run, permitsPerS }
    if (limit === undefined) return { cold: coldReason! }
    return coldReason === undefined ? { limit } : { limit, cold: coldReason }
  }

  const onWanted = (worker: Worker): WorkerLimitsEffect[] => {
    const limit = limitOf(worker)
    if (limit === undefined || permissionOf(worker) !== WorkerPermission.Askable) return []
    const { workerId, startedAtUnixMs, zone } = worker
    const issuers = rankIssuers(workerId, zone)
    const chosen = issuers.find(entry => !hasFailed(entry)) ?? issuers[0]
    if (chosen === undefined || chosen.nodeId === ownNodeId) return applyGrant(worker, limit, clock.nowMs(), issue(worker, zone, limit))
    const requestId = nextRequestId++
    const run = { workerId, startedAtUnixMs }
    asks.set(workerId, { requestId, run, limit, issuerId: chosen.nodeId, sentAtMs: clock.nowMs() })
    return [{ kind: WorkerLimitsEffectKind.SendRequest, address: chosen.address, request: { requestId, zone, ...reasonsOf(run) } }]
  }

  const onRequested = ({ requestId, zone, limit: reported, cold: reportedCold }: PermitRequest, address: string): WorkerLimitsEffect[] => {
    const effects = reported === undefined ? [] : merge(reported)
    const run = (reported ?? reportedCold)!
    const limit = reportOf(run) ?? reported
    // The issuer may read the worker's registration later than the entry that asks, or earlier.
    const coldPerS = [cold.permitsPerS(run), reportedCold?.permitsPerS].filter(permitsPerS => permitsPerS !== undefined)
    const inForce = combineLimits(limit?.limitPerS ?? undefined, coldPerS.length === 0 ? undefined : Math.min(...coldPerS))
    const grant = inForce === undefined ? { count: 0, retryAfterMs: 0 } : issue(run, zone, inForce)
    return [...effects, { kind: WorkerLimitsEffectKind.SendAnswer, address, answer: { requestId, limit, ...grant } }]
  }

  const onAnswered = ({ requestId, limit, count, retryAfterMs }: PermitAnswer): WorkerLimitsEffect[] => {
    const effects = limit === undefined ? [] : merge(limit)
    const ask = [...asks.values()].find(outstanding => outstanding.requestId === requestId)
    // The answer is late or comes twice; its permits have been asked for anew.
    if (ask === undefined) return effects
    asks.delete(ask.run.workerId)
    failures.delete(ask.issuerId)
    return [...effects, ...applyGrant(ask.run, ask.limit, ask.sentAtMs, { count, retryAfterMs })]
  }

  const failAsk = (workerId: string, { issuerId }: Ask) => {
    asks.delete(workerId)
    const count = (failures.get(issuerId)?.count ?? 0) + 1
    failures.set(issuerId, { count, retryAtMs: clock.nowMs() + ISSUER_RETRY_MS })
  }

  const coldChanges = (): WorkerLimitsEffect[] => {
    const changes = cold.takeChanges().map(change => ({ kind: WorkerLimitsEffectKind.ColdChanged as const, ...change }))
    return changes.length > 0 ? [...changes, { kind: WorkerLimitsEffectKind.PermitsChanged }] : []
  }

  const onTick = (): WorkerLimitsEffect[] => {
    const nowMs = clock.nowMs()
    const failed = [...asks].filter(([, { sentAtMs }]) => nowMs - sentAtMs > PERMIT_TIMEOUT_MS)
    for (const [workerId, ask] of failed) failAsk(workerId, ask)
    for (const [workerId, untilMs] of deniedUntilMs) if (untilMs <= nowMs) deniedUntilMs.delete(workerId)
    for (const [nodeId, { retryAtMs }] of failures) if (retryAtMs <= nowMs) failures.delete(nodeId)
    permits.expire()
    pauses.expire()
    issuer.expire()
    limits.expire(isWorkerKnown)
    if (nowMs - rosterMs >= ROSTER_INTERVAL_MS) {
      rosterMs = nowMs
      roster.record(entries())
    }
    const effects = coldChanges()
    cold.expire(isWorkerKnown)
    return failed.length > 0 && effects.length === 0 ? [{ kind: WorkerLimitsEffectKind.PermitsChanged }] : effects
  }

  const noteHandling = () => {
    const nowMs = clock.nowMs()
    if (nowMs - handledMs > ISSUER_PAUSE_MS) resumedMs = nowMs
    handledMs = nowMs
  }

  const handlers: HandlerTable<WorkerLimitsMessage, WorkerLimitsEffect[]> = {
    [WorkerLimitsMessageKind.NoticeHeard]: ({ run, notice, sentAtMs }) => {
      if (notice.pauseMs !== undefined) pauses.record(run, notice.pauseMs)
      const before = limits.limitOf(run)
      return limits.record(run, notice, sentAtMs) ? changed(run, before, notice.limitPerS, true) : []
    },
    [WorkerLimitsMessageKind.WorkerRead]: ({ registration }) => {
      cold.record(registration)
      return coldChanges()
    },
    [WorkerLimitsMessageKind.LimitsReported]: ({ limits: reported }) => reported.flatMap(merge),
    [WorkerLimitsMessageKind.PermitWanted]: ({ worker }) => onWanted(worker),
    [WorkerLimitsMessageKind.PermitsRequested]: ({ request, fromAddress }) => onRequested(request, fromAddress),
    [WorkerLimitsMessageKind.PermitsAnswered]: ({ answer }) => onAnswered(answer),
    [WorkerLimitsMessageKind.Tick]: onTick
  }

  return {
    handle: message => {
      noteHandling()
      return dispatch(handlers, message)
    },
    permissionOf,
    usePermit: run => permits.use(run),
    waitMsOf: run => {
      const deniedMs = (deniedUntilMs.get(run.workerId) ?? 0) - clock.nowMs()
      const coldLeftMs = cold.leftMs(run)
      // A worker that only its cold time limits needs no permit once it is warm.
      const isFreeWhenWarm = coldLeftMs > 0 && limits.limitOf(run) === undefined
      return Math.max(pauses.remainingMs(run), isFreeWhenWarm ? Math.min(deniedMs, coldLeftMs) : deniedMs)
    },
    coldLeftMs: cold.leftMs,
    report: () => limits.report().sort((a, b) => a.workerId < b.workerId ? -1 : 1).slice(0, REPORTED_LIMITS_MAX),
    get limitedCount () { return limits.limitedCount },
    get coldCount () { return cold.coldCount }
  }
}
