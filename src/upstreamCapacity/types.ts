import type { Worker } from '../membership/index.js'

/** One run of an upstream, as far as its capacity is concerned. */
export type UpstreamRun = Pick<Worker, 'workerId' | 'startedAtUnixMs' | 'service' | 'slots'>

/** One response of an upstream. */
export interface ResponseSample {
  run: UpstreamRun
  /** Kind of the request, such as its route: responses are compared with those of the same kind. */
  kind: string
  tookMs: number
  /** Requests in flight at the upstream when this one was sent, from all entries, this one included. */
  inFlight: number
  /** Whether the response is missing or reports a failure; its time is then only a lower bound. */
  hasFailed: boolean
}

/** What is known of one upstream, relative to the others of its service. */
export interface CapacityEstimate {
  /**
   * Concurrent requests that the upstream takes as well as the fastest one: those before its response times rise, at most
   * its slots, times the square of its speed. At half the speed a request holds its place for twice as long, and its
   * caller waits twice as long.
   */
  capacity: number
  /** Speed at which it works with few requests, relative to the fastest upstream of the service: at most 1. */
  speed: number
  /** Whether one request beyond the estimate may find out whether it still holds. */
  isTrialDue: boolean
}

/** Decayed counts of responses by run, from one entry or summed over a zone; only of upstreams that may differ. */
export type ReportedTimes = Record<string, readonly number[]>

export interface EstimateChange extends Omit<CapacityEstimate, 'isTrialDue'> {
  workerId: string
  service: string
  before: Omit<CapacityEstimate, 'isTrialDue'>
}
