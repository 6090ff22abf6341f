import type { ConfigurationHolder } from '../../configuration/index.js'
import { type Random, ResultCode } from '../../core/index.js'
import type { FleetRetryBudget, StreamLimit } from '../../limits/index.js'
import { SelfChange, type Worker } from '../../membership/index.js'
import { type EventLog, LogEvent } from '../../observe/index.js'
import { type CrashRecord, fingerprintRequest } from '../../quarantine/index.js'
import { AttemptEnd, type ForwardPorts, type ForwardRequest, type Placement, PlacementKind } from '../../requests/index.js'
import type { WorkerPlacement } from '../../routing/index.js'
import type { ForwardCounters } from './forwardCounters.js'

export interface ForwardPortsOptions {
  random: Random
  configuration: ConfigurationHolder
  placement: WorkerPlacement
  budget: FleetRetryBudget
  streamLimitOf: (service: string) => StreamLimit
  /** Usable workers of a service. */
  workersOf: (service: string) => number
  crashes: CrashRecord
  /** A worker cannot be reached. */
  onWorkerDown: (worker: Worker) => void
  counters: ForwardCounters
  log: EventLog
  now: () => number
  onRunningChanged: (change: SelfChange) => void
}

/** Plain services queue a few requests for each slot. */
const PLAIN_SLOTS_FACTOR = 2
const ENGINE_SLOTS_FACTOR = 1
/** A refused caller comes back after a time drawn from this range, so that they don't come back together. */
const RETRY_AFTER_MIN_MS = 1_200
const RETRY_AFTER_MAX_MS = 3_000

const IS_LOSS: Record<AttemptEnd, boolean> = {
  [AttemptEnd.Answered]: false,
  [AttemptEnd.Failed]: false,
  [AttemptEnd.NotRun]: true,
  [AttemptEnd.Lost]: true,
  [AttemptEnd.Cancelled]: false,
  [AttemptEnd.NotConnected]: true
}

/**
 * Joins the life of requests to placement, limits, budget, log and counters.
 *
 * @example
 * startForwardTask({ ports: createForwardPorts({ ... }), ... })
 */
export const createForwardPorts = ({
  random, configuration, placement, budget, streamLimitOf, workersOf, crashes, onWorkerDown, counters, log, now, onRunningChanged
}: ForwardPortsOptions): ForwardPorts => {
  const isEngine = (service: string) => configuration.findService(service)?.engine !== undefined

  const place = (request: ForwardRequest, triedWorkerIds: readonly string[]): Placement => {
    const { service, requestId } = request
    if (!crashes.isEmpty && crashes.isBlocked(fingerprintRequest(request))) return { kind: PlacementKind.Refused, code: ResultCode.Quarantined }
    const hasLimit = isEngine(service)
    // A request that was already sent once has its place in the limit.
    const serviceLimit = hasLimit && triedWorkerIds.length === 0 ? streamLimitOf(service).streamsFor(workersOf(service)) : undefined
    const slotsFactor = hasLimit ? ENGINE_SLOTS_FACTOR : PLAIN_SLOTS_FACTOR
    const found = placement.place({ service, triedWorkerIds, serviceLimit, slotsFactor })
    if (found.worker !== undefined) return { kind: PlacementKind.Placed, worker: found.worker }
    const { code } = found
    log(LogEvent.RequestWaits, { requestId, service, code, running: placement.runningIn(service), serviceLimit })
    return { kind: PlacementKind.Wait, code }
  }

  const noteNothing = () => {}
  const noteAnswered = (request: ForwardRequest) => {
    if (!crashes.isEmpty) crashes.recordAnswered(fingerprintRequest(request))
  }

  /** What the end of an attempt says about a crash of its worker. */
  const noteCrashEvidence: Record<AttemptEnd, (request: ForwardRequest, worker: Worker) => void> = {
    [AttemptEnd.Answered]: noteAnswered,
    [AttemptEnd.Failed]: noteAnswered,
    [AttemptEnd.NotRun]: noteNothing,
    [AttemptEnd.Lost]: (request, worker) => crashes.recordLost(worker, fingerprintRequest(request)),
    [AttemptEnd.Cancelled]: noteNothing,
    [AttemptEnd.NotConnected]: (_request, worker) => onWorkerDown(worker)
  }

  return {
    place,
    takeRetry: service => {
      const isTaken = budget.take(service)
      counters.repeats[isTaken ? 'taken' : 'denied'] += 1
      return isTaken
    },
    onSent: ({ requestId, deadlineAtMs }, { workerId }, attempt) => {
      placement.recordSent(workerId)
      onRunningChanged(SelfChange.LoadRose)
      log(LogEvent.RequestSent, { requestId, workerId, attempt, remainingMs: Math.round(deadlineAtMs - now()) })
    },
    onAttemptEnded: (request, worker, end, detail) => {
      const { requestId, service } = request
      const { workerId } = worker
      placement.recordEnded(workerId)
      noteCrashEvidence[end](request, worker)
      if (IS_LOSS[end]) placement.recordLost(workerId)
      counters.countAttempt(service, end)
      onRunningChanged(SelfChange.LoadFell)
      log(LogEvent.AttemptEnded, { requestId, workerId, end, detail })
    },
    onEventGap: ({ route, service }, _worker, pauseMs, isFirst) => {
      if (isFirst) counters.firstEventMs.observe(pauseMs)
      else if (route.eventGapTargetMs > 0) streamLimitOf(service).recordEventGap(pauseMs, route.eventGapTargetMs)
    },
    onRequestEnded: ({ requestId, callerAttemptId, route, arrivedAtMs }, code, detail) => {
      const tookMs = now() - arrivedAtMs
      counters.countRequest(route.name, code, tookMs)
      log(LogEvent.RequestEnded, { requestId, callerAttemptId, route: route.name, code, detail, tookMs: Math.round(tookMs) })
    },
    retryAfterMs: () => random.int(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS)
  }
}
