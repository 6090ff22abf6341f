import type { WorkerRun } from '../membership/index.js'

/** What a worker says about itself in the head of a response. */
export interface WorkerNotice {
  /** Requests per second that the worker takes from all entries together; undefined while it names no limit. */
  limitPerS: number | undefined
}

/** The limit of a worker's run as one entry tells another; the age is relative, as entries share no clock. */
export interface ReportedLimit extends WorkerRun {
  /** Null if the worker no longer names a limit. */
  limitPerS: number | null
  /** Time since the worker's response arrived. */
  ageMs: number
}
