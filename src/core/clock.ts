/**
 * A time in milliseconds since the Unix epoch.
 */
export type TimestampMs = number

/** A source of the current time. Cores receive it as an option and never read the system clock themselves. */
export interface Clock {
  nowMs (): TimestampMs
}

/** A clock that tests and benchmarks advance explicitly. */
export interface ManualClock extends Clock {
  advance (durationMs: number): void
  set (timeMs: TimestampMs): void
}

/**
 * Returns a clock that reads the system time.
 *
 * @example
 * const clock = createSystemClock()
 * const startedMs = clock.nowMs()
 */
export const createSystemClock = (): Clock => ({ nowMs: () => Date.now() })

/**
 * Returns a clock that only changes when it is advanced or set. It never moves backwards.
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
 * Returns a monotonic clock, which adjustments of the system time do not affect. Its values are only
 * comparable within one process.
 *
 * @example
 * const clock = createMonotonicClock()
 * const startedMs = clock.nowMs()
 */
export const createMonotonicClock = (): Clock => ({ nowMs: () => performance.now() })
