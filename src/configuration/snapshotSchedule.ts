import type { Clock, Random, TimestampMs } from '../core/index.js'
import {
  SNAPSHOT_EARLIEST_SHARE, SNAPSHOT_LATEST_SHARE, SNAPSHOT_RETRY_EARLIEST_SHARE, SNAPSHOT_RETRY_LATEST_SHARE
} from './constants.js'

/** Decides when a reader appends a snapshot. */
export interface SnapshotSchedule {
  /** Records that a reader can start from records or a snapshot of this time. */
  recordRetained (timeMs: TimestampMs): void
  /** Records that this reader appends a snapshot now; the append may fail. */
  recordAppend (): void
  isDue (): boolean
  /** Time of the newest known snapshot, or of the first record if there is none. */
  readonly retainedSinceMs: TimestampMs | undefined
}

/**
 * Creates the schedule of one reader. Each reader draws its own random delay, so that one reader
 * appends and the others see its snapshot before their own is due.
 *
 * @example
 * const schedule = createSnapshotSchedule({ clock, random, retentionMs: 86_400_000 })
 * schedule.recordRetained(record.timeMs)
 * if (schedule.isDue()) schedule.recordAppend()
 */
export const createSnapshotSchedule = (
  { clock, random, retentionMs }: { clock: Clock, random: Random, retentionMs: number }
): SnapshotSchedule => {
  let retainedSinceMs: TimestampMs | undefined
  let dueMs = Number.POSITIVE_INFINITY

  const randomShareMs = (earliestShare: number, latestShare: number) =>
    retentionMs * (earliestShare + random.next() * (latestShare - earliestShare))

  return {
    recordRetained: timeMs => {
      if (retainedSinceMs !== undefined && timeMs <= retainedSinceMs) return
      retainedSinceMs = timeMs
      dueMs = timeMs + randomShareMs(SNAPSHOT_EARLIEST_SHARE, SNAPSHOT_LATEST_SHARE)
    },
    recordAppend: () => {
      dueMs = clock.nowMs() + randomShareMs(SNAPSHOT_RETRY_EARLIEST_SHARE, SNAPSHOT_RETRY_LATEST_SHARE)
    },
    isDue: () => clock.nowMs() >= dueMs,
    get retainedSinceMs () { return retainedSinceMs }
  }
}
