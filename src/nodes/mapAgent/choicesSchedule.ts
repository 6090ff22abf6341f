import type { Clock, TimestampMs } from '../../core/index.js'

/**
 * Counts that a coordinator receives per ms. With more ranks and experts, choices are read and sent less often: all
 * of them arrive over one link, and their sum is no less precise.
 */
export const COUNTS_PER_MS = 100
/** With longer intervals, a plan would be made for demand that has passed. */
export const CHOICES_INTERVAL_MAX_MS = 1_000

/** Decides with which readings an agent also reads the experts that the rank's requests chose. */
export interface ChoicesSchedule {
  /** Returns whether the choices are due in a group with this many counts, and if so starts the next interval. */
  isDue (counts: number): boolean
}

/**
 * Creates the schedule of one agent.
 *
 * @example
 * createChoicesSchedule({ clock }).isDue(64 * 12 * 256)
 */
export const createChoicesSchedule = ({ clock }: { clock: Clock }): ChoicesSchedule => {
  let readMs: TimestampMs = -Infinity
  return {
    isDue: counts => {
      const nowMs = clock.nowMs()
      if (nowMs - readMs < Math.min(CHOICES_INTERVAL_MAX_MS, counts / COUNTS_PER_MS)) return false
      readMs = nowMs
      return true
    }
  }
}
