import type { Clock, TimestampMs } from '../../core/index.js'

/** Times of a planned stop, from its start. */
export interface StopSchedule {
  /** Callers may still know this entry from an earlier directory response for this time. */
  directoryExpiryMs: number
  /** The process exits after this time at the latest, whatever is still in flight. */
  exitMs: number
}

/** Which requests an entry takes while it stops. */
export interface PlannedStop {
  readonly isStarted: boolean
  start (schedule: StopSchedule): void
  /** Whether a request with this deadline may be taken: a late one only if it ends before the process exits. */
  mayTake (deadlineAtMs: TimestampMs): boolean
}

/**
 * Creates the stop of one entry, which has not started.
 *
 * @example
 * const stop = createPlannedStop({ clock })
 * stop.start({ directoryExpiryMs: 3_000, exitMs: 7_600 })
 * stop.mayTake(request.deadlineAtMs)
 */
export const createPlannedStop = ({ clock }: { clock: Clock }): PlannedStop => {
  let takesAllUntilMs = Infinity
  let exitAtMs = Infinity
  let isStarted = false
  return {
    get isStarted () { return isStarted },
    start: ({ directoryExpiryMs, exitMs }) => {
      isStarted = true
      takesAllUntilMs = clock.nowMs() + directoryExpiryMs
      exitAtMs = clock.nowMs() + exitMs
    },
    mayTake: deadlineAtMs => clock.nowMs() < takesAllUntilMs || deadlineAtMs < exitAtMs
  }
}
