import { type Clock, type Core, dispatch, type HandlerTable, type Random, rankByRendezvous, type TimestampMs } from '../core/index.js'
import type { Worker, WorkerRun } from '../membership/index.js'
import {
  ASK_JITTER_MAX_MS, DENIAL_MAX_MS, ISSUER_FAILURES_MAX, ISSUER_RETRY_MS, ISSUER_SETTLE_MS, PERMIT_TIMEOUT_MS, REPORTED_LIMITS_MAX, WorkerLimitsEffectKind,
  WorkerLimitsMessageKind, WorkerPermission
} from './constants.js'
import { createPauseTable } from './createPauseTable.js'
import { createPermitIssuer, type PermitGrant } from './createPermitIssuer.js'
import { createPermitStore } from './permitStore.js'
import { createRateLimitTable } from './createRateLimitTable.js'
import type { PermitAnswer, PermitIssuerEntry, PermitRequest, ReportedLimit, WorkerLimitsEffect, WorkerLimitsMessage } from './types.js'

/** An unanswered request for permits. */
interface Ask {
  requestId: number
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
}

/** Limits of workers as one entry applies them, and its part in sharing them with the other entries. */
export interface WorkerLimits extends Core<WorkerLimitsMessage, WorkerLimitsEffect> {
  permissionOf (run: WorkerRun): WorkerPermission
  /** Uses the permit for a request that is sent to a worker; no effect if the worker is not limited. */
  usePermit (run: WorkerRun): void
  /** Time until the worker wants a request again, or a permit may be had; 0 if that is now. */
  waitMsOf (run: WorkerRun): number
  /** Limits known to this entry, for its reports to the others. */
  report (): ReportedLimit[]
  /** Number of workers that name a limit. */
  readonly limitedCount: number
}

/**
 * Share of the limit that an entry issues, by its rank among the possible issuers of a worker. The sum of all shares is
 * at most one and a quarter, so that entries that cannot reach the same issuer still keep the worker near its limit.
 */
const shareOfRank = (rank: number) => rank === 0 ? 1 : 0.5 ** (rank + 2)

/**
 * Creates the worker limits of one entry. A worker's limit holds for all entries together and may be far below one
 * request a second for each, so it is shared by single permits: one entry, found by rendezvous hashing among those of
 * the worker's zone, issues them at the rate of the limit to whoever asks. Entries ask when they have a request for the
 * worker, and the permits of an entry that stops or pauses expire.
 *
 * @example
 * const limits = createWorkerLimits({ clock, random, ownNodeId, entries, isWorkerKnown })
 * limits.handle({ kind: WorkerLimitsMessageKind.PermitWanted, worker })
 * limits.permissionOf(worker)
 */
export const createWorkerLimits = ({ clock, random, ownNodeId, entries, isWorkerKnown }: WorkerLimitsOptions): WorkerLimits => {
  const limits = createRateLimitTable({ clock })
  const issuer = createPermitIssuer({ clock })
  const permits = createPermitStore({ clock })
  const pauses = createPauseTable({ clock })
  const asks = new Map<string, Ask>()
  const deniedUntilMs = new Map<string, TimestampMs>()
  const failures = new Map<string, IssuerFailures>()
  const startedMs = clock.nowMs()
  let nextRequestId = 1

  const isDenied = (workerId: string) => (deniedUntilMs.get(workerId) ?? 0) > clock.nowMs()

  const permissionOf = (run: WorkerRun): WorkerPermission => {
    if (pauses.remainingMs(run) > 0) return WorkerPermission.Paused
    if (limits.limitOf(run) === undefined) return WorkerPermission.Unlimited
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

  const issue = (run: WorkerRun, zone: string, limitPerS: number): PermitGrant => {
    const settledInMs = startedMs + ISSUER_SETTLE_MS - clock.nowMs()
    if (settledInMs > 0) return { count: 0, retryAfterMs: Math.ceil(settledInMs) }
    const issuers = rankIssuers(run.workerId, zone)
    const rank = issuers.findIndex(({ nodeId }) => nodeId === ownNodeId)
    return issuer.take(run, limitPerS * shareOfRank(rank < 0 ? issuers.length : rank))
  }

  const deny = (workerId: string, retryAfterMs: number) => {
    const waitMs = Math.min(retryAfterMs, DENIAL_MAX_MS)
    deniedUntilMs.set(workerId, clock.nowMs() + waitMs + random.next() * Math.min(ASK_JITTER_MAX_MS, waitMs))
  }

  const applyGrant = (run: WorkerRun, { count, retryAfterMs }: PermitGrant): WorkerLimitsEffect[] => {
    if (count > 0) permits.add(run, count)
    else deny(run.workerId, retryAfterMs)
    return [{ kind: WorkerLimitsEffectKind.PermitsChanged }]
  }

  const reportOf = (run: WorkerRun): ReportedLimit | undefined =>
    limits.report().find(({ workerId, startedAtUnixMs }) => workerId === run.workerId && startedAtUnixMs === run.startedAtUnixMs)

  const onWanted = (worker: Worker): WorkerLimitsEffect[] => {
    const limit = reportOf(worker)
    if (limit === undefined || limit.limitPerS === null || permissionOf(worker) !== WorkerPermission.Askable) return []
    const { workerId, zone } = worker
    const issuers = rankIssuers(workerId, zone)
    const chosen = issuers.find(entry => !hasFailed(entry)) ?? issuers[0]
    if (chosen === undefined || chosen.nodeId === ownNodeId) return applyGrant(worker, issue(worker, zone, limit.limitPerS))
    const requestId = nextRequestId++
    asks.set(workerId, { requestId, issuerId: chosen.nodeId, sentAtMs: clock.nowMs() })
    return [{ kind: WorkerLimitsEffectKind.SendRequest, address: chosen.address, request: { requestId, zone, limit } }]
  }

  const onRequested = ({ requestId, zone, limit: reported }: PermitRequest, address: string): WorkerLimitsEffect[] => {
    const effects = merge(reported)
    const limit = reportOf(reported) ?? reported
    const grant = limit.limitPerS === null ? { count: 0, retryAfterMs: 0 } : issue(limit, zone, limit.limitPerS)
    return [...effects, { kind: WorkerLimitsEffectKind.SendAnswer, address, answer: { requestId, limit, ...grant } }]
  }

  const onAnswered = ({ requestId, limit, count, retryAfterMs }: PermitAnswer): WorkerLimitsEffect[] => {
    const effects = merge(limit)
    const ask = asks.get(limit.workerId)
    // The answer is late or comes twice; its permits have been asked for anew.
    if (ask?.requestId !== requestId) return effects
    asks.delete(limit.workerId)
    failures.delete(ask.issuerId)
    return [...effects, ...applyGrant(limit, { count, retryAfterMs })]
  }

  const failAsk = (workerId: string, { issuerId }: Ask) => {
    asks.delete(workerId)
    const count = (failures.get(issuerId)?.count ?? 0) + 1
    failures.set(issuerId, { count, retryAtMs: clock.nowMs() + ISSUER_RETRY_MS })
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
    return failed.length > 0 ? [{ kind: WorkerLimitsEffectKind.PermitsChanged }] : []
  }

  const handlers: HandlerTable<WorkerLimitsMessage, WorkerLimitsEffect[]> = {
    [WorkerLimitsMessageKind.NoticeHeard]: ({ run, notice, sentAtMs }) => {
      if (notice.pauseMs !== undefined) pauses.record(run, notice.pauseMs)
      const before = limits.limitOf(run)
      return limits.record(run, notice, sentAtMs) ? changed(run, before, notice.limitPerS, true) : []
    },
    [WorkerLimitsMessageKind.LimitsReported]: ({ limits: reported }) => reported.flatMap(merge),
    [WorkerLimitsMessageKind.PermitWanted]: ({ worker }) => onWanted(worker),
    [WorkerLimitsMessageKind.PermitsRequested]: ({ request, fromAddress }) => onRequested(request, fromAddress),
    [WorkerLimitsMessageKind.PermitsAnswered]: ({ answer }) => onAnswered(answer),
    [WorkerLimitsMessageKind.Tick]: onTick
  }

  return {
    handle: message => dispatch(handlers, message),
    permissionOf,
    usePermit: run => permits.use(run),
    waitMsOf: run => Math.max(pauses.remainingMs(run), (deniedUntilMs.get(run.workerId) ?? 0) - clock.nowMs()),
    report: () => limits.report().sort((a, b) => a.workerId < b.workerId ? -1 : 1).slice(0, REPORTED_LIMITS_MAX),
    get limitedCount () { return limits.limitedCount }
  }
}
