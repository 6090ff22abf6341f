import type { Clock, TimestampMs } from '../../core/index.js'

/** Times of a planned stop, from its start. */
export interface StopSchedule {
  /** Callers may use this entry's address from an earlier directory response for this time, and cannot know that it stops. */
  addressKeptMs: number
  /** The process exits after this time at the latest, whatever is still in flight. */
  exitMs: number
}

/** When a request will end. */
export interface RequestEnd {
  /** It has ended by then: its response is complete, or refused as late. */
  deadlineAtMs: TimestampMs
  /** It has most likely ended by then, going by recent requests of its route; the deadline if there were none. */
  expectedEndAtMs: TimestampMs
}

/** Which requests an entry takes while it stops. */
export interface PlannedStop {
  readonly isStarted: boolean
  start (schedule: StopSchedule): void
  /**
   * Whether a request may be taken. It must most likely end before the process exits; once no caller should use the entry any
   * more, it must do so for certain.
   */
  mayTake (end: RequestEnd): boolean
  /** Whether a request that was taken may be sent once more, as it most likely ends before the process exits. */
  mayRetry (end: RequestEnd): boolean
}

/**
 * Creates the stop of one entry, which has not started.
 *
 * @example
 * const stop = createPlannedStop({ clock })
 * stop.start({ addressKeptMs: 3_000, exitMs: 7_600 })
 * stop.mayTake({ deadlineAtMs, expectedEndAtMs })
 */
export const createPlannedStop = ({ clock }: { clock: Clock }): PlannedStop => {
  let addressKeptUntilMs = Infinity
  let exitAtMs = Infinity
  let isStarted = false

  const endsForCertain = ({ deadlineAtMs }: RequestEnd) => deadlineAtMs < exitAtMs
  const endsMostLikely = ({ deadlineAtMs, expectedEndAtMs }: RequestEnd) => Math.min(deadlineAtMs, expectedEndAtMs) < exitAtMs

  return {
    get isStarted () { return isStarted },
    start: ({ addressKeptMs, exitMs }) => {
      isStarted = true
      addressKeptUntilMs = clock.nowMs() + Math.min(addressKeptMs, exitMs / 2)
      exitAtMs = clock.nowMs() + exitMs
    },
    mayTake: end => clock.nowMs() < addressKeptUntilMs ? endsMostLikely(end) : endsForCertain(end),
    mayRetry: endsMostLikely
  }
}
