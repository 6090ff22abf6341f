import type { Worker } from '../membership/index.js'
import type { CapacityEstimate } from '../upstreamCapacity/index.js'

/** A worker with what its rank depends on. */
export interface Candidate {
  worker: Worker
  /** Requests in flight at the worker from all entries, as far as they count in comparison with others. */
  load: number
  /** Whether the worker has all the requests that its slots allow. */
  isFull: boolean
  /** Load over what the worker takes; lower is better. */
  share: number
  /** Whether the worker is below its learned capacity; true while none is learned. */
  isWithinCapacity: boolean
  /** Whether the request goes beyond the estimate, to find out whether it still holds. */
  isTrial: boolean
  /** Learned capacity; without limit while none is learned, so that zones are compared as ever. */
  capacity: number
  tieBreaker: number
}

export interface RankOptions {
  loadOf: (workerId: string) => number
  slowdownOf: (workerId: string) => number
  isCold: (worker: Worker) => boolean
  /** Drawn for each candidate, in their order. */
  tieBreaker: () => number
  /** Learned capacity of the workers by id; undefined if they do not differ. */
  estimates: ReadonlyMap<string, CapacityEstimate> | undefined
  /** Maximum number of in-flight requests at a worker, as a multiple of its slots. */
  slotsFactor: number
}

/**
 * A cold worker is slow, so that its empty slots are no free slots: it is ranked as if each request took at least this
 * multiple of the usual time. An empty one then stands beside a warm one with one request, not before all of them.
 */
export const COLD_SLOWDOWN_FACTOR = 2

/** What is known of a worker before it is ranked. */
interface WorkerLoad {
  worker: Worker
  running: number
  /** Running requests, more for a cold worker. */
  load: number
  isCold: boolean
  isFull: boolean
}

const loadInRank = (worker: Worker, running: number, { isCold, slowdownOf }: RankOptions): number =>
  isCold(worker) ? (running + 1) * Math.max(COLD_SLOWDOWN_FACTOR, slowdownOf(worker.workerId)) - 1 : running

/**
 * A request beyond the estimate goes to an upstream that is slower than the others only while it is idle, and to one
 * that is full by its learned capacity only one at a time. A cold upstream gets none: its times show the warm-up.
 */
const isTrialOf = ({ worker: { slots }, running, isCold }: WorkerLoad, { speed, capacity, isTrialDue }: CapacityEstimate): boolean =>
  isTrialDue && !isCold && running < slots && running === (speed < 1 ? 0 : capacity)

/** Among workers that differ, the share counts the request itself, so that an idle slow worker is not the best one. */
const rankByEstimate = (workerLoad: WorkerLoad, estimate: CapacityEstimate, tieBreaker: number): Candidate => {
  const { worker, running, load, isFull } = workerLoad
  const isTrial = isTrialOf(workerLoad, estimate)
  const capacity = isTrial ? worker.slots : estimate.capacity
  return { worker, load, isFull, share: (load + 1) / capacity, isWithinCapacity: running < Math.max(1, capacity), isTrial, capacity, tieBreaker }
}

const rankBySlots = ({ worker, load, isFull }: WorkerLoad, tieBreaker: number): Candidate =>
  ({ worker, load, isFull, share: load / Math.max(1, worker.slots), isWithinCapacity: true, isTrial: false, capacity: Infinity, tieBreaker })

/**
 * Ranks one worker.
 *
 * @example
 * toCandidate(worker, { loadOf, slowdownOf, isCold, tieBreaker: random.next, estimates: undefined, slotsFactor: 2 }).share
 */
export const toCandidate = (worker: Worker, options: RankOptions): Candidate => {
  const running = options.loadOf(worker.workerId)
  const isFull = running / Math.max(1, worker.slots) >= options.slotsFactor
  const workerLoad = { worker, running, load: loadInRank(worker, running, options), isCold: options.isCold(worker), isFull }
  const estimate = options.estimates?.get(worker.workerId)
  return estimate === undefined ? rankBySlots(workerLoad, options.tieBreaker()) : rankByEstimate(workerLoad, estimate, options.tieBreaker())
}

/**
 * Ranks the workers that have a place, the best first: a trial that is due, then those below their learned capacity, then
 * by load over capacity. While the workers do not differ, load over slots decides alone.
 *
 * @example
 * rankWorkers(usable, { loadOf, slowdownOf, isCold, tieBreaker: random.next, estimates: undefined, slotsFactor: 2 })[0]?.worker
 */
export const rankWorkers = (workers: readonly Worker[], options: RankOptions): Candidate[] =>
  workers
    .map(worker => toCandidate(worker, options))
    .filter(({ isFull }) => !isFull)
    .sort((a, b) => Number(b.isTrial) - Number(a.isTrial) || Number(b.isWithinCapacity) - Number(a.isWithinCapacity) || a.share - b.share || a.tieBreaker - b.tieBreaker)

/** How many requests fewer the best worker has than another one; of no limit if the other one takes less, or for a trial. */
export const requestsFewer = (best: Candidate, other: Candidate): number =>
  !best.isTrial && other.isWithinCapacity === best.isWithinCapacity && other.capacity >= best.capacity ? other.load - best.load : Infinity
