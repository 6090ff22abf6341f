import type { Clock, TimestampMs } from '../../core/index.js'
import { type EventLog, LogEvent } from '../../observe/index.js'
import type { FleetReport } from '../../peers/index.js'
import { SLOW_WORKER_FACTOR } from '../../routing/index.js'

/** Agents resend the slowdown factor of a slow worker more often than this; an older factor has expired. */
export const SLOWDOWN_LIFETIME_MS = 1_500

export interface SlowdownTrackerOptions {
  clock: Clock
  reports: () => readonly FleetReport[]
  log: EventLog
  /** Called when the slow workers reported to this entry by agents, or their slowdown factors, have changed. */
  onChanged: () => void
}

/**
 * Slowdown factors of workers: the time that a worker needs for its work, relative to a healthy one.
 * Agents report them to a few entries, which pass them on to the others in their peer reports.
 */
export interface SlowdownTracker {
  /** Records the slowdown factor that an agent has reported for its worker. */
  record (workerId: string, pace: number): void
  /** Slowdown factors of the slow workers that agents have reported to this entry, for its peer reports. */
  slowWorkers (): Record<string, number>
  /** Highest slowdown factor known of a worker, from its agent or from peers; 1 if none is known. */
  slowdownOf (workerId: string): number
}

/**
 * Creates the tracker of one entry.
 *
 * @example
 * const tracker = createSlowdownTracker({ clock, reports, log, onChanged })
 * tracker.record('i-7f3a91c2', 2.5)
 */
export const createSlowdownTracker = ({ clock, reports, log, onChanged }: SlowdownTrackerOptions): SlowdownTracker => {
  const reported = new Map<string, { pace: number, atMs: TimestampMs }>()

  const slowWorkers = () => Object.fromEntries([...reported]
    .filter(([, { pace, atMs }]) => pace >= SLOW_WORKER_FACTOR && clock.nowMs() - atMs < SLOWDOWN_LIFETIME_MS)
    .map(([workerId, { pace }]) => [workerId, pace]))

  return {
    record: (workerId, pace) => {
      const before = slowWorkers()[workerId] ?? 1
      reported.set(workerId, { pace, atMs: clock.nowMs() })
      const after = slowWorkers()[workerId] ?? 1
      if (after === before) return
      log(LogEvent.SlowdownFactorChanged, { workerId, before, pace })
      onChanged()
    },
    slowWorkers,
    slowdownOf: workerId => Math.max(1, slowWorkers()[workerId] ?? 1, ...reports().map(({ paces }) => paces[workerId] ?? 1))
  }
}
