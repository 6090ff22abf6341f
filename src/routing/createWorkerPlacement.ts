import { type Clock, type Random, ResultCode, type TimestampMs } from '../core/index.js'
import type { Worker, WorkerTable } from '../membership/index.js'

/** A worker, or the result code that says why there is none. */
export type PlacementResult = { worker: Worker } | { worker: undefined, code: ResultCode }

export interface PlacementRequest {
  service: string
  triedWorkerIds: readonly string[]
  /** Limit of requests in the whole service; undefined if there is none. */
  serviceLimit: number | undefined
  /** Requests that a worker may hold, as a multiple of its slots. */
  slotsFactor: number
}

/** Chooses the worker for a request from the work that the whole fleet has under way. */
export interface WorkerPlacement {
  place (request: PlacementRequest): PlacementResult
  /** Requests under way in a service, from this entry and all others. */
  runningIn (service: string): number
  noteSent (workerId: string): void
  noteEnded (workerId: string): void
  /** The worker could not be reached, or its answer was lost: it is passed over for a while. */
  noteLost (workerId: string): void
  /** Own requests under way by worker. */
  ownRunning (): Record<string, number>
}

/** A worker that lost a request is passed over for this time, if others serve. */
export const LOST_AVOID_MS = 1_500
/** A worker this slow is passed over if others serve: engines of one group all wait for the slowest in each pass. */
export const SLOW_PACE = 1.5

export interface WorkerPlacementOptions {
  clock: Clock
  random: Random
  ownZone: string
  workers: WorkerTable
  /** Requests under way at a worker from the other entries. */
  peersRunningAt: (workerId: string) => number
  /** Time that a worker needs for its work, over that of a sound one. */
  paceOf: (workerId: string) => number
}

/**
 * Creates the placement of one entry: the worker with the least work, the own zone first among
 * equals, and a random one of the rest, so that entries with the same view do not all choose alike.
 *
 * @example
 * const placement = createWorkerPlacement({ clock, random, ownZone, workers, peersRunningAt, paceOf })
 * placement.place({ service: 'quotes', triedWorkerIds: [], serviceLimit: 30, slotsFactor: 1 })
 */
export const createWorkerPlacement = (
  { clock, random, ownZone, workers, peersRunningAt, paceOf }: WorkerPlacementOptions
): WorkerPlacement => {
  const runningByWorker = new Map<string, number>()
  const avoidedUntilMs = new Map<string, TimestampMs>()

  const runningAt = (workerId: string) => (runningByWorker.get(workerId) ?? 0) + peersRunningAt(workerId)

  const preferHealthy = (candidates: readonly Worker[], triedWorkerIds: readonly string[]): readonly Worker[] => {
    const nowMs = clock.nowMs()
    const untried = candidates.filter(({ workerId }) => !triedWorkerIds.includes(workerId))
    const healthy = untried.filter(({ workerId }) => (avoidedUntilMs.get(workerId) ?? 0) <= nowMs && paceOf(workerId) < SLOW_PACE)
    return healthy.length > 0 ? healthy : untried.length > 0 ? untried : candidates
  }

  const place = ({ service, triedWorkerIds, serviceLimit, slotsFactor }: PlacementRequest): PlacementResult => {
    const usable = workers.usable(service)
    if (usable.length === 0) return { worker: undefined, code: ResultCode.NoUpstream }
    const loads = new Map(usable.map(({ workerId }) => [workerId, runningAt(workerId)]))
    const total = [...loads.values()].reduce((sum, load) => sum + load, 0)
    if (serviceLimit !== undefined && total >= serviceLimit) return { worker: undefined, code: ResultCode.Overloaded }
    const candidates = preferHealthy(usable, triedWorkerIds).map(worker => ({
      worker,
      share: loads.get(worker.workerId)! / Math.max(1, worker.slots),
      isOwnZone: worker.zone === ownZone,
      tieBreaker: random.next()
    }))
    candidates.sort((a, b) => a.share - b.share || Number(b.isOwnZone) - Number(a.isOwnZone) || a.tieBreaker - b.tieBreaker)
    const best = candidates[0]!
    return best.share >= slotsFactor ? { worker: undefined, code: ResultCode.Overloaded } : { worker: best.worker }
  }

  return {
    place,
    runningIn: service => workers.usable(service).reduce((sum, { workerId }) => sum + runningAt(workerId), 0),
    noteSent: workerId => { runningByWorker.set(workerId, (runningByWorker.get(workerId) ?? 0) + 1) },
    noteEnded: workerId => {
      const left = (runningByWorker.get(workerId) ?? 0) - 1
      if (left > 0) runningByWorker.set(workerId, left)
      else runningByWorker.delete(workerId)
    },
    noteLost: workerId => { avoidedUntilMs.set(workerId, clock.nowMs() + LOST_AVOID_MS) },
    ownRunning: () => Object.fromEntries(runningByWorker)
  }
}
