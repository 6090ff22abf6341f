import type { Clock, TimestampMs } from '../core/index.js'

/** Share of a long hold that the next switch still expects, if it takes less time itself. */
const DECAY_FACTOR = 0.8
/** Orders that are lost at random make the time of one switch a poor forecast of the next one. */
const MARGIN_FACTOR = 1.5
/** A longer lead would delay a switch until its demand has passed. */
const EXPECTED_MAX_MS = 600

/** Forecast of how long the next switch holds its group; it grows while orders are lost. */
export interface ArmingForecast {
  /** Expected time from the hold to the release. */
  readonly expectedMs: number
  recordStart (): void
  /** Records that a switch holds its group, or tries to once more. */
  recordHold (): void
  recordEnd (): void
}

/**
 * Creates the forecast of one coordinator.
 *
 * @example
 * createArmingForecast({ clock }).expectedMs // 0
 */
export const createArmingForecast = ({ clock }: { clock: Clock }): ArmingForecast => {
  let holdStartedMs: TimestampMs | undefined
  let expectedMs = 0

  return {
    get expectedMs () { return expectedMs },
    recordStart: () => { holdStartedMs = undefined },
    recordHold: () => { holdStartedMs ??= clock.nowMs() },
    recordEnd: () => {
      if (holdStartedMs === undefined) return
      expectedMs = Math.min(EXPECTED_MAX_MS, Math.max(MARGIN_FACTOR * (clock.nowMs() - holdStartedMs), DECAY_FACTOR * expectedMs))
      holdStartedMs = undefined
    }
  }
}
