/**
 * Time as every part of the system sees it: milliseconds since the Unix epoch.
 */
export type TimestampMs = number

/** A source of the current time. Decisions receive it and never read the wall clock themselves. */
export interface Clock {
  nowMs (): TimestampMs
}

/** A clock that tests and benches advance by hand. */
export interface ManualClock extends Clock {
  advance (durationMs: number): void
  set (timeMs: TimestampMs): void
}

/**
 * Returns a clock that follows the operating system.
 *
 * @example
 * const clock = createSystemClock()
 * const startedMs = clock.nowMs()
 */
export const createSystemClock = (): Clock => ({ nowMs: () => Date.now() })

/**
 * Returns a clock that only moves when told to. It never moves backwards.
 *
 * @example
 * const clock = createManualClock(1_000)
 * clock.advance(250)
 * clock.nowMs() // 1250
 */
export const createManualClock = (startMs: TimestampMs = 0): ManualClock => {
  let currentMs = startMs
  return {
    nowMs: () => currentMs,
    advance: durationMs => { currentMs += Math.max(0, durationMs) },
    set: timeMs => { currentMs = Math.max(currentMs, timeMs) }
  }
}

/**
 * Returns a clock that never jumps: steps of the time of day do not show in it. Its values are only
 * comparable inside one process.
 *
 * @example
 * const clock = createSteadyClock()
 * const startedMs = clock.nowMs()
 */
export const createSteadyClock = (): Clock => ({ nowMs: () => performance.now() })
