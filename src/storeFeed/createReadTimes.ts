import type { Random } from '../core/index.js'
import { READ_TIMEOUT_MARGIN_MS, READ_WAIT_MAX_MS, READ_WAIT_MIN_MS, SILENCE_DELAY_FACTOR, SILENCE_MARGIN_MS } from './constants.js'
import type { TopicFollowerOptions } from './followerTypes.js'

export interface ReadTimesOptions extends Required<Pick<TopicFollowerOptions, 'noticeWithinMs'>> {
  random: Random
}

/** The times of the long polls of one process. */
export interface ReadTimes {
  /** How long the source holds a read, and how long after that a response must have arrived, in ms. */
  choose (isUrgent: boolean): { waitMs: number, marginMs: number }
  /** Records how late a response was after its wait, in ms; negative if the source responded before. */
  recordDelay (delayMs: number): void
}

/**
 * Creates the times of one process.
 *
 * @example
 * const { waitMs, marginMs } = createReadTimes({ random, noticeWithinMs: () => 1_000 }).choose(false)
 */
export const createReadTimes = ({ random, noticeWithinMs }: ReadTimesOptions): ReadTimes => {
  let sourceDelayMs = 0

  return {
    choose: isUrgent => {
      if (isUrgent) return { waitMs: 0, marginMs: READ_TIMEOUT_MARGIN_MS }
      const noticeMs = noticeWithinMs()
      if (noticeMs === undefined) return { waitMs: random.int(READ_WAIT_MIN_MS, READ_WAIT_MAX_MS), marginMs: READ_TIMEOUT_MARGIN_MS }
      const marginMs = Math.min(READ_TIMEOUT_MARGIN_MS, Math.max(SILENCE_MARGIN_MS, SILENCE_DELAY_FACTOR * sourceDelayMs))
      return { waitMs: Math.floor(Math.max(noticeMs / 2, noticeMs - marginMs)), marginMs }
    },
    recordDelay: delayMs => { if (delayMs >= 0) sourceDelayMs = delayMs }
  }
}
