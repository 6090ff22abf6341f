import type { Worker } from '../membership/index.js'
import { type ForwardEffect, ForwardEffectKind, WorkerCheckScope } from './forwardTypes.js'

/** Checks of workers that are under way, with the requests that wait for their results. */
export interface WorkerChecks<Request> {
  /**
   * Checks a run of a worker; the request, if there is one, waits for the result. In the scope of an address it joins a check that
   * is under way. What a run answers shows nothing of a later end, so that such a request waits for the next check.
   */
  begin (worker: Worker, scope: WorkerCheckScope, request?: Request): ForwardEffect[]
  /** Whether the request waits for a check. */
  isHeld (request: Request): boolean
  /** Ends the check; returns the requests that waited for it, and the next check of the run if others wait for that. */
  finish (worker: Worker, scope: WorkerCheckScope): { requests: Request[], effects: ForwardEffect[] }
}

interface RunningCheck<Request> {
  requests: Request[]
  /** Requests that wait for the next check. */
  later: Request[]
}

const keyOf = ({ workerId, startedAtUnixMs }: Worker, scope: WorkerCheckScope) => `${scope}/${workerId}/${startedAtUnixMs}`

/**
 * Creates the table; a run of a worker is checked once at a time in each scope.
 *
 * @example
 * const checks = createWorkerChecks<InFlightRequest>()
 * checks.begin(worker, WorkerCheckScope.Address, inFlight)
 */
export const createWorkerChecks = <Request>(): WorkerChecks<Request> => {
  const running = new Map<string, RunningCheck<Request>>()

  const start = (worker: Worker, scope: WorkerCheckScope, requests: Request[]): ForwardEffect[] => {
    running.set(keyOf(worker, scope), { requests, later: [] })
    return [{ kind: ForwardEffectKind.CheckWorker, worker, scope }]
  }

  return {
    begin: (worker, scope, request) => {
      const added = request === undefined ? [] : [request]
      const check = running.get(keyOf(worker, scope))
      if (check === undefined) return start(worker, scope, added)
      const joined = scope === WorkerCheckScope.Address ? check.requests : check.later
      joined.push(...added)
      return []
    },
    isHeld: request => [...running.values()].some(({ requests, later }) => requests.includes(request) || later.includes(request)),
    finish: (worker, scope) => {
      const key = keyOf(worker, scope)
      const { requests, later } = running.get(key) ?? { requests: [], later: [] }
      running.delete(key)
      return { requests, effects: later.length === 0 ? [] : start(worker, scope, later) }
    }
  }
}
