import type { Clock, TimestampMs } from '../core/index.js'
import type { WorkerRun } from '../membership/index.js'
import { LIFTED_LIMIT_KEEP_MS } from './constants.js'
import type { ReportedLimit, WorkerNotice } from './types.js'

interface KnownLimit extends WorkerRun {
  limitPerS: number | undefined
  /** When the value was first heard, and when a response last confirmed it. */
  sinceMs: TimestampMs
  heardAtMs: TimestampMs
}

/** The limits that workers name, as far as this entry knows: the newest response to any entry holds. */
export interface RateLimitTable {
  /** Requests per second that a worker takes from all entries together; undefined without a limit. */
  limitOf (run: WorkerRun): number | undefined
  /** Records a response of a worker to a request that was sent at `sentAtMs`; returns whether the limit has changed. */
  record (run: WorkerRun, notice: WorkerNotice, sentAtMs: TimestampMs): boolean
  /** Adopts the limit that another entry knows if it is newer; returns whether the limit has changed. */
  merge (reported: ReportedLimit): boolean
  /** All limits for the other entries, and those that were lifted a short time ago. */
  report (): ReportedLimit[]
  /** Forgets limits that were lifted long ago, and those of workers that are gone. */
  expire (isWorkerKnown: (workerId: string) => boolean): void
  /** Number of workers that name a limit. */
  readonly limitedCount: number
}

/**
 * Creates the table of one entry.
 *
 * @example
 * const limits = createRateLimitTable({ clock })
 * limits.record(worker, { limitPerS: 1.6 }, sentAtMs)
 * limits.limitOf(worker) // 1.6
 */
export const createRateLimitTable = ({ clock }: { clock: Clock }): RateLimitTable => {
  const limits = new Map<string, KnownLimit>()

  const knownOf = ({ workerId, startedAtUnixMs }: WorkerRun): KnownLimit | undefined => {
    const known = limits.get(workerId)
    return known?.startedAtUnixMs === startedAtUnixMs ? known : undefined
  }

  const put = ({ workerId, startedAtUnixMs }: WorkerRun, limitPerS: number | undefined, heardAtMs: TimestampMs): boolean => {
    const known = knownOf({ workerId, startedAtUnixMs })
    if (known === undefined && limitPerS === undefined) return false
    const hasChanged = known?.limitPerS !== limitPerS
    limits.set(workerId, { workerId, startedAtUnixMs, limitPerS, sinceMs: hasChanged ? heardAtMs : known!.sinceMs, heardAtMs })
    return hasChanged
  }

  const isEarlierRun = ({ workerId, startedAtUnixMs }: WorkerRun) => startedAtUnixMs < (limits.get(workerId)?.startedAtUnixMs ?? startedAtUnixMs)

  return {
    limitOf: run => knownOf(run)?.limitPerS,
    record: (run, { limitPerS }, sentAtMs) => {
      const known = knownOf(run)
      // The worker may have written this response before it named the limit.
      const mayBeOutdated = limitPerS === undefined && known !== undefined && sentAtMs < known.sinceMs
      return isEarlierRun(run) || mayBeOutdated ? false : put(run, limitPerS, clock.nowMs())
    },
    merge: reported => {
      const heardAtMs = clock.nowMs() - reported.ageMs
      const isNewer = heardAtMs > (knownOf(reported)?.heardAtMs ?? -Infinity)
      return isEarlierRun(reported) || !isNewer ? false : put(reported, reported.limitPerS ?? undefined, heardAtMs)
    },
    report: () => [...limits.values()].map(({ workerId, startedAtUnixMs, limitPerS, heardAtMs }) =>
      ({ workerId, startedAtUnixMs, limitPerS: limitPerS ?? null, ageMs: Math.round(clock.nowMs() - heardAtMs) })),
    expire: isWorkerKnown => {
      const nowMs = clock.nowMs()
      for (const { workerId, limitPerS, heardAtMs } of [...limits.values()]) {
        const isNeeded = limitPerS !== undefined && isWorkerKnown(workerId)
        if (!isNeeded && nowMs - heardAtMs > LIFTED_LIMIT_KEEP_MS) limits.delete(workerId)
      }
    },
    get limitedCount () { return [...limits.values()].filter(({ limitPerS }) => limitPerS !== undefined).length }
  }
}
