import type { UpstreamBytes } from '../../callerLimits/index.js'
import { type Random, ResultCode } from '../../core/index.js'
import type { FleetRetryBudget, StreamLimit } from '../../limits/index.js'
import type { Worker } from '../../membership/index.js'
import { type EventLog, LogEvent } from '../../observe/index.js'
import { SelfChange } from '../../peers/index.js'
import { AttemptEnd, type AttemptOutcome, type ForwardPorts, type ForwardRequest, type Placement, PlacementKind } from '../../requests/index.js'
import type { WorkerPlacement } from '../../routing/index.js'
import { UpstreamCheck } from '../../upstreams/index.js'
import { type WorkerLimits, type WorkerLimitsMessage, WorkerLimitsMessageKind, WorkerPermission } from '../../workerLimits/index.js'
import type { CapacityRecorder } from './capacityRecorder.js'
import type { CrashMonitor } from './crashMonitor.js'
import type { ForwardCounters } from './forwardCounters.js'
import type { PlacementRequests } from './placementRequest.js'

export interface ForwardPortsOptions {
  random: Random
  placementRequests: PlacementRequests
  /** Bytes of requests in flight from this entry to each worker. */
  upstreamBytes: UpstreamBytes
  placement: WorkerPlacement
  budget: FleetRetryBudget
  streamLimitOf: (service: string) => StreamLimit
  usableWorkers: (service: string) => readonly Worker[]
  crashes: CrashMonitor
  /** Whether a worker is expected to end, as it drains, is no longer registered, or its failure domain is evacuated. */
  isLeaving: (worker: Worker) => boolean
  /** Whether a request that was lost at one worker may still end at another one before this process exits. */
  mayRetry: (request: ForwardRequest) => boolean
  recordDuration: (route: string, tookMs: number) => void
  workerLimits: WorkerLimits
  postWorkerLimits: (message: WorkerLimitsMessage) => void
  /** Called for each response in which a worker says that it is leaving. */
  onWorkerLeaving: (worker: Worker) => void
  counters: ForwardCounters
  log: EventLog
  /** Records the attempts at plain services, for the learned capacity of their upstreams. */
  capacityRecorder: CapacityRecorder
  now: () => number
  onRunningChanged: (change: SelfChange) => void
}

/** Refused callers are asked to retry after a random delay in this range, so that they don't all retry at once. */
const RETRY_AFTER_MIN_MS = 1_200
const RETRY_AFTER_MAX_MS = 3_000
/**
 * Callers refused because all workers of a service are cold return within this time after the next permit, as permits
 * are issued several times a second; a caller honours only a Retry-After that is short against its own deadline.
 */
const COLD_RETRY_SPREAD_MS = 1_000

const IS_LOST_ATTEMPT: Record<AttemptEnd, boolean> = {
  [AttemptEnd.Answered]: false,
  [AttemptEnd.Unproven]: false,
  [AttemptEnd.Failed]: false,
  [AttemptEnd.NotRun]: true,
  [AttemptEnd.Lost]: true,
  [AttemptEnd.Cancelled]: false,
  [AttemptEnd.NotConnected]: true
}

/** Whether a check shows that the run of a worker has ended. */
const IS_RUN_OVER: Record<UpstreamCheck, boolean> = {
  [UpstreamCheck.Up]: false,
  [UpstreamCheck.Down]: true,
  [UpstreamCheck.Replaced]: true,
  [UpstreamCheck.Unknown]: false
}

/**
 * Connects the forward core to placement, stream limits, retry budget, log and counters.
 *
 * @example
 * startForwardTask({ ports: createForwardPorts({ ... }), ... })
 */
export const createForwardPorts = ({
  random, placementRequests: { isEngine, toPlacementRequest }, upstreamBytes, placement, budget, streamLimitOf, usableWorkers, crashes, isLeaving, mayRetry, recordDuration, workerLimits, postWorkerLimits, onWorkerLeaving, counters, log, capacityRecorder, now, onRunningChanged
}: ForwardPortsOptions): ForwardPorts => {
  const isAsked = (service: string) => usableWorkers(service).some(worker => workerLimits.permissionOf(worker) === WorkerPermission.Asked)

  /** Time until the first of the limited workers of a service may have a permit again. */
  const permitWaitMs = (service: string) => Math.min(...usableWorkers(service).map(worker => workerLimits.waitMsOf(worker)))

  /** Time after which a caller may find a permit, drawn until the first worker is warm; undefined unless all are cold. */
  const coldRetryAfterMs = (service: string): number | undefined => {
    const coldLeftMs = usableWorkers(service).map(worker => workerLimits.coldLeftMs(worker))
    const firstWarmMs = Math.min(...coldLeftMs)
    if (coldLeftMs.length === 0 || firstWarmMs === 0) return undefined
    const permitMs = Math.max(1, Math.ceil(permitWaitMs(service)))
    return random.int(permitMs, permitMs + Math.ceil(Math.min(COLD_RETRY_SPREAD_MS, firstWarmMs)))
  }

  /** Requests whose wait was logged; they are placed anew whenever a worker may be free. */
  const loggedWaits = new WeakSet<ForwardRequest>()

  const place = (request: ForwardRequest, triedWorkerIds: readonly string[]): Placement => {
    const { service, requestId } = request
    const blocked = crashes.findBlocked(request)
    if (blocked !== undefined) {
      log(LogEvent.RequestBlocked, { requestId, traits: blocked })
      return { kind: PlacementKind.Refused, code: ResultCode.Quarantined }
    }
    const placementRequest = toPlacementRequest(service, triedWorkerIds, request.body.length)
    const decision = placement.place(placementRequest)
    if (decision.wanted !== undefined) postWorkerLimits({ kind: WorkerLimitsMessageKind.PermitWanted, worker: decision.wanted })
    if (decision.worker !== undefined) return { kind: PlacementKind.Placed, worker: decision.worker }
    const { code } = decision
    // No upstream becomes free while the request waits, so that it would be refused later anyway.
    if (code === ResultCode.AllEvacuated) return { kind: PlacementKind.Refused, code }
    const isPermitExpected = decision.wanted !== undefined || isAsked(service)
    if (decision.isLimited === true && !isPermitExpected) {
      const retryAfterMs = permitWaitMs(service)
      log(LogEvent.RequestLimited, { requestId, service, retryAfterMs: Math.round(retryAfterMs) })
      return { kind: PlacementKind.Refused, code, retryAfterMs }
    }
    if (!loggedWaits.has(request)) log(LogEvent.RequestWaits, { requestId, service, code, running: placement.runningIn(service), serviceLimit: placementRequest.serviceLimit })
    loggedWaits.add(request)
    return { kind: PlacementKind.Wait, code }
  }

  const ignoreAttempt = () => {}

  /** Records whether the outcome of an attempt points to a crash of its worker or rules one out. */
  const recordCrashEvidence: Record<AttemptEnd, (request: ForwardRequest, worker: Worker, outcome: AttemptOutcome) => void> = {
    [AttemptEnd.Answered]: (request, worker, { sentAtMs }) => crashes.recordAnswered(worker, request, sentAtMs),
    [AttemptEnd.Failed]: (request, worker, { sentAtMs }) => crashes.recordFailed(worker, request, sentAtMs),
    [AttemptEnd.Unproven]: ignoreAttempt,
    [AttemptEnd.NotRun]: ignoreAttempt,
    [AttemptEnd.Lost]: (request, worker, outcome) => {
      // The requests that a planned end cuts off have not caused it.
      if (!isLeaving(worker)) crashes.recordLost(worker, request, outcome)
    },
    [AttemptEnd.Cancelled]: ignoreAttempt,
    [AttemptEnd.NotConnected]: (_request, worker) => crashes.recordWorkerDown(worker)
  }

  return {
    place,
    mayRetry,
    takeRetry: service => {
      const isTaken = budget.take(service)
      counters.retries[isTaken ? 'taken' : 'denied'] += 1
      return isTaken
    },
    onSent: ({ requestId, service, deadlineAtMs, body }, worker, attempt) => {
      const { workerId } = worker
      upstreamBytes.recordSent(workerId, body.length)
      workerLimits.usePermit(worker)
      placement.recordSent(workerId)
      if (!isEngine(service)) capacityRecorder.recordSent(requestId, placement.runningAt(workerId))
      onRunningChanged(SelfChange.LoadRose)
      log(LogEvent.RequestSent, { requestId, workerId, attempt, remainingMs: Math.round(deadlineAtMs - now()) })
    },
    onWorkerNotice: (worker, notice, sentAtMs) => {
      if (notice.isLeaving) onWorkerLeaving(worker)
      if (notice.pauseMs !== undefined) log(LogEvent.WorkerPaused, { workerId: worker.workerId, pauseMs: notice.pauseMs })
      postWorkerLimits({ kind: WorkerLimitsMessageKind.NoticeHeard, run: worker, notice, sentAtMs })
    },
    onWorkerChecked: (worker, check, scope) => {
      log(LogEvent.WorkerChecked, { workerId: worker.workerId, scope, check })
      if (IS_RUN_OVER[check]) crashes.recordWorkerDown(worker)
    },
    onAttemptEnded: (request, worker, outcome) => {
      const { end, detail, hasAnswerBegun, isStream, framing, endedBy, silenceMs, attemptNumber, lastEventId, receivedBytes, receivedParts } = outcome
      const { requestId, service, promptParts } = request
      const { workerId } = worker
      placement.recordEnded(workerId)
      capacityRecorder.recordEnded(request, worker, outcome)
      upstreamBytes.recordEnded(workerId, request.body.length)
      recordCrashEvidence[end](request, worker, outcome)
      if (IS_LOST_ATTEMPT[end]) placement.recordLost(workerId)
      counters.countAttempt(service, end)
      if (isStream && framing !== undefined && endedBy !== undefined) counters.countStreamEnd(service, framing, endedBy)
      onRunningChanged(SelfChange.LoadFell)
      log(LogEvent.AttemptEnded, {
        requestId,
        workerId,
        attempt: attemptNumber,
        end,
        detail,
        framing,
        endedBy,
        silenceMs: Math.round(silenceMs),
        hasAnswerBegun,
        receivedBytes,
        receivedParts,
        ...(isStream ? { lastEventId } : {}),
        ...(end === AttemptEnd.Lost ? { promptParts } : {})
      })
    },
    onEventGap: (request, _worker, gapMs, isFirst) => {
      const { route, service } = request
      if (isFirst) counters.firstEventMs.observe(gapMs)
      else if (route.eventGapTargetMs > 0) streamLimitOf(service).recordEventGap(gapMs, route.eventGapTargetMs)
    },
    onRequestEnded: ({ requestId, callerAttemptId, route, service, arrivedAtMs }, code, detail, proof) => {
      const tookMs = now() - arrivedAtMs
      counters.countRequest(route.name, code, tookMs)
      if (code === ResultCode.Ok) recordDuration(route.name, tookMs)
      if (proof !== undefined) counters.countProof(service, proof)
      log(LogEvent.RequestEnded, { requestId, callerAttemptId, route: route.name, code, detail, proof, tookMs: Math.round(tookMs) })
    },
    retryAfterMs: ({ service }) => coldRetryAfterMs(service) ?? random.int(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS)
  }
}
