import type { Clock, TimestampMs } from '../core/index.js'
import type { WorkerRun } from '../membership/index.js'

/** Workers that have turned a request of this process away and said when they want the next one. */
export interface PauseTable {
  /** Records a response; an earlier one that asked for more time still holds. */
  record (run: WorkerRun, pauseMs: number): void
  /** Time until the worker wants a request again; 0 if it does now. */
  remainingMs (run: WorkerRun): number
  expire (): void
}

/**
 * Creates the table of one process.
 *
 * @example
 * const pauses = createPauseTable({ clock })
 * pauses.record(worker, 2_000)
 * pauses.remainingMs(worker) // 2000
 */
export const createPauseTable = ({ clock }: { clock: Clock }): PauseTable => {
  const pauses = new Map<string, { startedAtUnixMs: number, untilMs: TimestampMs }>()

  const remainingMs = ({ workerId, startedAtUnixMs }: WorkerRun) => {
    const pause = pauses.get(workerId)
    return pause?.startedAtUnixMs === startedAtUnixMs ? Math.max(0, pause.untilMs - clock.nowMs()) : 0
  }

  return {
    record: (run, pauseMs) => {
      const untilMs = clock.nowMs() + Math.max(pauseMs, remainingMs(run))
      pauses.set(run.workerId, { startedAtUnixMs: run.startedAtUnixMs, untilMs })
    },
    remainingMs,
    expire: () => {
      for (const [workerId, { untilMs }] of pauses) if (untilMs <= clock.nowMs()) pauses.delete(workerId)
    }
  }
}
