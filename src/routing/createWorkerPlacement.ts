import { type Clock, type Random, ResultCode, type TimestampMs } from '../core/index.js'
import type { Worker, WorkerTable } from '../membership/index.js'
import type { UpstreamCapacity } from '../upstreamCapacity/index.js'
import { WorkerPermission } from '../workerLimits/index.js'
import { explainCandidates, type PlacementExplanation } from './explainCandidates.js'
import { type Candidate, type RankOptions, rankWorkers, requestsFewer } from './rankWorkers.js'

/** The chosen worker, or the result code if none can take the request. */
export type PlacementResult = ({ worker: Worker } | { worker: undefined, code: ResultCode }) & {
  /** A worker that would have been a better choice, if this entry had a permit to send to it. */
  wanted?: Worker
  /** Set if no usable worker may be sent a request now: they are paused, or limited without a permit for this entry. */
  isLimited?: boolean
}

export interface PlacementRequest {
  service: string
  triedWorkerIds: readonly string[]
  /** Maximum number of in-flight requests of the whole service; undefined if there is none. */
  serviceLimit: number | undefined
  /** Maximum number of in-flight requests at a worker, as a multiple of its slots. */
  slotsFactor: number
  /** Whether the learned capacity counts in place of the slots where the workers differ; not for engines of a group. */
  isCapacityLearned?: boolean
  /** Whether a worker may be sent as many more bytes as the request has; any worker if undefined. */
  hasRoom?: (worker: Worker) => boolean
}

/** Chooses the worker for a request by the in-flight requests of the whole fleet. */
export interface WorkerPlacement {
  place (request: PlacementRequest): PlacementResult
  /** Explains where a request would go now, without sending it. */
  explain (request: PlacementRequest): PlacementExplanation
  /** In-flight requests at a worker from all entries, this one included. */
  runningAt (workerId: string): number
  /** In-flight requests of a service from all entries, this one included. */
  runningIn (service: string): number
  recordSent (workerId: string): void
  recordEnded (workerId: string): void
  /** The worker could not be reached or its response was lost; it is avoided for LOST_AVOID_MS. */
  recordLost (workerId: string): void
  /** In-flight requests of this entry by worker. */
  ownRunning (): Record<string, number>
}

/**
 * A worker of another zone is chosen only if it has at least this many requests fewer than the best one of the own
 * zone: every byte between zones costs money, and the next requests even out a small difference.
 */
export const OTHER_ZONE_GAIN_MIN_REQUESTS = 2
/** A worker that lost a request is skipped for this time if other workers are available. */
export const LOST_AVOID_MS = 1_500
/**
 * A worker with at least this slowdown factor is skipped if others are available: engines of a group all
 * wait for the slowest worker in each forward pass.
 */
export const SLOW_WORKER_FACTOR = 1.5

export interface WorkerPlacementOptions {
  clock: Clock
  random: Random
  ownZone: string
  workers: WorkerTable
  /** In-flight requests of the other entries at a worker. */
  peersRunningAt: (workerId: string) => number
  /** Slowdown factor of a worker: the time it needs for its work, divided by that of a healthy worker. */
  slowdownOf: (workerId: string) => number
  /** Whether this entry may send a request to a worker, as far as the worker's own limit goes. */
  permissionOf: (worker: Worker) => WorkerPermission
  /** What is learned of the workers that differ; without it, load over slots decides alone. */
  capacity?: Pick<UpstreamCapacity, 'estimatesOf'>
  /** Whether a worker warms up; none does if this is not set. */
  isCold?: (worker: Worker) => boolean
  /** Whether the workers of a failure domain get no further requests; the table of workers leaves them out. */
  isEvacuated?: (zone: string) => boolean
}

/** Whether a request may be sent to a worker now. */
const MAY_SEND: Record<WorkerPermission, boolean> = {
  [WorkerPermission.Unlimited]: true,
  [WorkerPermission.Permitted]: true,
  [WorkerPermission.Askable]: false,
  [WorkerPermission.Asked]: false,
  [WorkerPermission.Denied]: false,
  [WorkerPermission.Paused]: false
}

/**
 * Creates the placement of one entry. It chooses the worker with the lowest load per slot, or over the learned capacity
 * where the workers of a service differ, and leaves the own zone only for a clear gain; ties go to a random worker, so
 * that entries with the same view do not all choose the same one. A worker that names a limit is chosen only with a
 * permit.
 *
 * @example
 * const placement = createWorkerPlacement({ clock, random, ownZone, workers, peersRunningAt, slowdownOf, permissionOf })
 * placement.place({ service: 'quotes', triedWorkerIds: [], serviceLimit: 30, slotsFactor: 1 })
 */
export const createWorkerPlacement = (
  { clock, random, ownZone, workers, peersRunningAt, slowdownOf, permissionOf, capacity, isCold = () => false, isEvacuated = () => false }: WorkerPlacementOptions
): WorkerPlacement => {
  const runningByWorker = new Map<string, number>()
  const avoidedUntilMs = new Map<string, TimestampMs>()

  const runningAt = (workerId: string) => (runningByWorker.get(workerId) ?? 0) + peersRunningAt(workerId)

  const preferHealthy = (candidates: readonly Worker[], triedWorkerIds: readonly string[]): readonly Worker[] => {
    const nowMs = clock.nowMs()
    const untried = candidates.filter(({ workerId }) => !triedWorkerIds.includes(workerId))
    const healthy = untried.filter(({ workerId }) => (avoidedUntilMs.get(workerId) ?? 0) <= nowMs && slowdownOf(workerId) < SLOW_WORKER_FACTOR)
    return healthy.length > 0 ? healthy : untried.length > 0 ? untried : candidates
  }

  const estimatesFor = ({ service, isCapacityLearned }: PlacementRequest) =>
    isCapacityLearned === true ? capacity?.estimatesOf(workers.usable(service)) : undefined

  const rankOptionsFor = (request: PlacementRequest): RankOptions =>
    ({ loadOf: runningAt, slowdownOf, isCold, tieBreaker: random.next, estimates: estimatesFor(request), slotsFactor: request.slotsFactor })

  const withRoom = (permitted: readonly Worker[], { hasRoom }: PlacementRequest) => hasRoom === undefined ? permitted : permitted.filter(hasRoom)

  /** Chooses the best of the workers that have a place, whether or not this entry has a permit for it. */
  const chooseByLoad = (eligible: readonly Worker[], request: PlacementRequest, rank = rankOptionsFor(request)): Candidate | undefined => {
    const candidates = rankWorkers(preferHealthy(eligible, request.triedWorkerIds), rank)
    const best = candidates[0]
    if (best === undefined) return undefined
    const inZone = candidates.find(({ worker }) => worker.zone === ownZone)
    const staysInZone = inZone !== undefined && requestsFewer(best, inZone) < OTHER_ZONE_GAIN_MIN_REQUESTS
    return staysInZone ? inZone : best
  }

  /** Returns a worker that this entry should ask a permit for, because it is a better choice than the permitted ones. */
  const findWanted = (usable: readonly Worker[], request: PlacementRequest): { wanted?: Worker } => {
    if (usable.every(worker => MAY_SEND[permissionOf(worker)])) return {}
    const best = chooseByLoad(usable.filter(worker => MAY_SEND[permissionOf(worker)] || permissionOf(worker) === WorkerPermission.Askable), request)?.worker
    return best === undefined || MAY_SEND[permissionOf(best)] ? {} : { wanted: best }
  }

  const codeOfNone = (service: string) => workers.isAllEvacuated(service) ? ResultCode.AllEvacuated : ResultCode.NoUpstream

  const place = (request: PlacementRequest): PlacementResult => {
    const { service, serviceLimit } = request
    const usable = workers.usable(service)
    if (usable.length === 0) return { worker: undefined, code: codeOfNone(service) }
    const total = usable.reduce((sum, { workerId }) => sum + runningAt(workerId), 0)
    if (serviceLimit !== undefined && total >= serviceLimit) return { worker: undefined, code: ResultCode.Overloaded }
    const permitted = usable.filter(worker => MAY_SEND[permissionOf(worker)])
    const wanted = findWanted(usable, request)
    const chosen = chooseByLoad(withRoom(permitted, request), request)
    if (chosen !== undefined) return { worker: chosen.worker, ...wanted }
    return { worker: undefined, code: ResultCode.Overloaded, ...wanted, isLimited: permitted.length === 0 }
  }

  const explain = (request: PlacementRequest): PlacementExplanation => {
    const { service, triedWorkerIds, serviceLimit, hasRoom = () => true } = request
    const usable = workers.usable(service)
    const nowMs = clock.nowMs()
    const permitted = usable.filter(worker => MAY_SEND[permissionOf(worker)])
    const running = usable.reduce((sum, { workerId }) => sum + runningAt(workerId), 0)
    const isOverLimit = serviceLimit !== undefined && running >= serviceLimit
    const eligible = withRoom(permitted, request)
    // Drawn once, so that the choice and its explanation see the same trials.
    const rank = rankOptionsFor(request)
    const chosen = isOverLimit ? undefined : chooseByLoad(eligible, request, rank)
    return explainCandidates({
      service,
      code: chosen !== undefined ? ResultCode.Ok : usable.length > 0 ? ResultCode.Overloaded : codeOfNone(service),
      ownZone,
      running,
      serviceLimit,
      chosen,
      known: workers.all().filter(worker => worker.service === service),
      usableIds: new Set(usable.map(({ workerId }) => workerId)),
      triedWorkerIds,
      healthyIds: new Set(preferHealthy(eligible, triedWorkerIds).map(({ workerId }) => workerId)),
      rank,
      permissionOf,
      isEvacuated,
      hasRoom,
      avoidedForMs: workerId => Math.max(0, (avoidedUntilMs.get(workerId) ?? 0) - nowMs)
    })
  }

  return {
    place,
    explain,
    runningAt,
    runningIn: service => workers.usable(service).reduce((sum, { workerId }) => sum + runningAt(workerId), 0),
    recordSent: workerId => { runningByWorker.set(workerId, (runningByWorker.get(workerId) ?? 0) + 1) },
    recordEnded: workerId => {
      const left = (runningByWorker.get(workerId) ?? 0) - 1
      if (left > 0) runningByWorker.set(workerId, left)
      else runningByWorker.delete(workerId)
    },
    recordLost: workerId => { avoidedUntilMs.set(workerId, clock.nowMs() + LOST_AVOID_MS) },
    ownRunning: () => Object.fromEntries(runningByWorker)
  }
}
