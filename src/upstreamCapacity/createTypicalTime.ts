import { TYPICAL_SAMPLES_MAX, TYPICAL_SAMPLES_MIN, TYPICAL_SCALE, TYPICAL_SHARE } from './constants.js'

/** The time that responses of one service typically take, whichever upstream they come from. */
export interface TypicalTime {
  record (tookMs: number): void
  /** Typical time of the last responses in ms, on which long ones have little effect; undefined while there are too few. */
  typicalMs (): number | undefined
}

/**
 * Creates the typical time of one service in one entry.
 *
 * @example
 * const typical = createTypicalTime()
 * typical.record(42)
 */
export const createTypicalTime = (): TypicalTime => {
  const recent: number[] = []
  let next = 0
  let typicalMs: number | undefined

  return {
    record: tookMs => {
      recent[next] = tookMs
      next = (next + 1) % TYPICAL_SAMPLES_MAX
      typicalMs = undefined
    },
    typicalMs: () => {
      if (recent.length < TYPICAL_SAMPLES_MIN) return undefined
      if (typicalMs !== undefined) return typicalMs
      const shortest = [...recent].sort((a, b) => a - b).slice(0, Math.ceil(recent.length * TYPICAL_SHARE))
      typicalMs = TYPICAL_SCALE * shortest.reduce((sum, tookMs) => sum + tookMs, 0) / shortest.length
      return typicalMs
    }
  }
}
