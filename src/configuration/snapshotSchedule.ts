import type { Clock, Random, TimestampMs } from '../core/index.js'
import {
  SNAPSHOT_EARLIEST_SHARE, SNAPSHOT_LATEST_SHARE, SNAPSHOT_RETRY_EARLIEST_SHARE, SNAPSHOT_RETRY_LATEST_SHARE
} from './constants.js'

/** Decides when a reader appends a snapshot. */
export interface SnapshotSchedule {
  /** Notes that a reader can start from records or a snapshot of this time. */
  noteRetained (timeMs: TimestampMs): void
  /** Notes that this reader appends a snapshot now; it may be lost. */
  noteAppended (): void
  isDue (): boolean
  /** Time of the newest snapshot known, or of the first record where there is none. */
  readonly retainedSinceMs: TimestampMs | undefined
}

/**
 * Creates the schedule of one reader. The random share differs per reader, so one reader appends
 * and the others note its snapshot before their own is due.
 *
 * @example
 * const schedule = createSnapshotSchedule({ clock, random, retentionMs: 86_400_000 })
 * schedule.noteRetained(record.timeMs)
 * if (schedule.isDue()) schedule.noteAppended()
 */
export const createSnapshotSchedule = (
  { clock, random, retentionMs }: { clock: Clock, random: Random, retentionMs: number }
): SnapshotSchedule => {
  let retainedSinceMs: TimestampMs | undefined
  let dueMs = Number.POSITIVE_INFINITY

  const between = (earliestShare: number, latestShare: number) =>
    retentionMs * (earliestShare + random.next() * (latestShare - earliestShare))

  return {
    noteRetained: timeMs => {
      if (retainedSinceMs !== undefined && timeMs <= retainedSinceMs) return
      retainedSinceMs = timeMs
      dueMs = timeMs + between(SNAPSHOT_EARLIEST_SHARE, SNAPSHOT_LATEST_SHARE)
    },
    noteAppended: () => {
      dueMs = clock.nowMs() + between(SNAPSHOT_RETRY_EARLIEST_SHARE, SNAPSHOT_RETRY_LATEST_SHARE)
    },
    isDue: () => clock.nowMs() >= dueMs,
    get retainedSinceMs () { return retainedSinceMs }
  }
}
