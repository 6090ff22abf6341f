import type { Worker } from '../membership/index.js'

/** Checks of workers that are under way, with the requests that wait for their results. */
export interface WorkerChecks<Request> {
  isRunning (worker: Worker): boolean
  /** Records that a check of the worker's run is under way, and the request that waits for it, if there is one. */
  hold (worker: Worker, request?: Request): void
  /** Whether the request waits for a check. */
  isHeld (request: Request): boolean
  /** Ends the check and returns the requests that waited for it. */
  finish (worker: Worker): Request[]
}

const runKey = ({ workerId, startedAtUnixMs }: Worker) => `${workerId}/${startedAtUnixMs}`

/**
 * Creates the table; a run of a worker is checked once at a time.
 *
 * @example
 * const checks = createWorkerChecks<InFlightRequest>()
 * checks.hold(worker, inFlight)
 */
export const createWorkerChecks = <Request>(): WorkerChecks<Request> => {
  const held = new Map<string, Request[]>()

  return {
    isRunning: worker => held.has(runKey(worker)),
    hold: (worker, request) => {
      const requests = held.get(runKey(worker)) ?? []
      held.set(runKey(worker), request === undefined ? requests : [...requests, request])
    },
    isHeld: request => [...held.values()].some(requests => requests.includes(request)),
    finish: worker => {
      const requests = held.get(runKey(worker)) ?? []
      held.delete(runKey(worker))
      return requests
    }
  }
}
