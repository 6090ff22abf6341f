import type { Clock, TimestampMs } from '../core/index.js'
import type { Trait } from './requestTraits.js'

/** A worker does not come back and crash again within this time, so an earlier report of a crash of its run means the same crash. */
export const CRASH_REPEAT_MIN_MS = 1_000
/** Maximum number of crashes that are remembered, by trait and run; the oldest are forgotten. */
export const CLEARED_CRASHES_MAX = 2_048

/** Crashes that an answer has cleared traits of. */
export interface ClearedCrashes {
  add (trait: Trait, runId: string, lostAtMs: TimestampMs): void
  /** Whether a crash is one of these, although the time at which it is reported may be later. */
  has (trait: Trait, runId: string, lostAtMs: TimestampMs): boolean
}

const keyOf = (trait: Trait, runId: string) => `${trait} ${runId}`

/**
 * Creates an empty list. Peers that have not learned of an answer yet go on to report the crashes before it, and the way of
 * their reports may make these seem later than the answer.
 *
 * @example
 * const cleared = createClearedCrashes({ clock, keepMs: CRASH_KEEP_MS })
 * cleared.add('part/m/5c1e', 'w1/1', lostAtMs)
 */
export const createClearedCrashes = ({ clock, keepMs }: { clock: Clock, keepMs: number }): ClearedCrashes => {
  /** In the order in which they were cleared. */
  const crashes = new Map<string, { lostAtMs: TimestampMs, clearedAtMs: TimestampMs }>()

  const expire = () => {
    const oldestMs = clock.nowMs() - keepMs
    for (const [key, { clearedAtMs }] of crashes) {
      if (crashes.size <= CLEARED_CRASHES_MAX && clearedAtMs >= oldestMs) return
      crashes.delete(key)
    }
  }

  return {
    add: (trait, runId, lostAtMs) => {
      const key = keyOf(trait, runId)
      crashes.delete(key)
      crashes.set(key, { lostAtMs, clearedAtMs: clock.nowMs() })
      expire()
    },
    has: (trait, runId, lostAtMs) => {
      const known = crashes.get(keyOf(trait, runId))
      return known !== undefined && lostAtMs - known.lostAtMs < CRASH_REPEAT_MIN_MS
    }
  }
}
