import type { Clock, TimestampMs } from '../../core/index.js'
import type { PeerReport } from '../../membership/index.js'
import { type EventLog, LogEvent } from '../../observe/index.js'
import { SLOW_WORKER_FACTOR } from '../../routing/index.js'

/** Agents repeat the pace of a slow worker more often than this; an older one says nothing. */
export const PACE_KEEP_MS = 1_500

export interface PaceWatchOptions {
  clock: Clock
  reports: () => readonly PeerReport[]
  log: EventLog
  /** The slow workers that agents have told this entry of are others than before. */
  onChanged: () => void
}

/** Paces of workers: their agents tell a few entries, and the reports of those tell the others. */
export interface PaceWatch {
  /** An agent has told the pace of its worker. */
  note (workerId: string, pace: number): void
  /** Slow workers that agents have told this entry of, for its reports. */
  slow (): Record<string, number>
  /** Time that a worker needs for its work, over that of a sound one; 1 if nothing is known. */
  paceOf (workerId: string): number
}

/**
 * Creates the watch of one entry.
 *
 * @example
 * const watch = createPaceWatch({ clock, reports, log, onChanged })
 * watch.note('i-7f3a91c2', 2.5)
 */
export const createPaceWatch = ({ clock, reports, log, onChanged }: PaceWatchOptions): PaceWatch => {
  const told = new Map<string, { pace: number, atMs: TimestampMs }>()

  const slow = () => Object.fromEntries([...told]
    .filter(([, { pace, atMs }]) => pace >= SLOW_WORKER_FACTOR && clock.nowMs() - atMs < PACE_KEEP_MS)
    .map(([workerId, { pace }]) => [workerId, pace]))

  return {
    note: (workerId, pace) => {
      const before = slow()[workerId] ?? 1
      told.set(workerId, { pace, atMs: clock.nowMs() })
      const after = slow()[workerId] ?? 1
      if (after === before) return
      log(LogEvent.PaceChanged, { workerId, before, pace })
      onChanged()
    },
    slow,
    paceOf: workerId => Math.max(1, slow()[workerId] ?? 1, ...reports().map(({ paces }) => paces[workerId] ?? 1))
  }
}
