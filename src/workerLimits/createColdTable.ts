import { type Clock, comparePositions, type LogPosition, type TimestampMs } from '../core/index.js'
import type { WorkerRegistration, WorkerRun } from '../membership/index.js'
import type { WarmUp } from './warmUp.js'

interface ColdWorker extends WorkerRun {
  service: string
  storePosition: LogPosition
  readAtMs: TimestampMs
  leftWhenReadMs: number
  /** Whether the last change that was taken said that the worker is cold. */
  isSaidCold: boolean
}

/** A worker that has become cold, or warm if no time is left. */
export interface ColdChange {
  workerId: string
  service: string
  coldLeftMs: number
  /** Permits for the worker that are issued per second. */
  permitsPerS: number
}

/** The workers that are cold, as their registrations say. The end of the cold time needs no record. */
export interface ColdTable {
  /** Records a registration when it is read; one that is not later than the known one has no effect. */
  record (registration: WorkerRegistration): void
  /** How much longer the run stays cold; 0 if it is warm. */
  leftMs (run: WorkerRun): number
  /** Permits that may be issued per second for the run; undefined if it is warm. */
  permitsPerS (run: WorkerRun): number | undefined
  /** Workers that have become cold or warm since the last call. */
  takeChanges (): ColdChange[]
  /** Forgets workers that are gone. */
  expire (isWorkerKnown: (workerId: string) => boolean): void
  readonly coldCount: number
}

export interface ColdTableOptions {
  clock: Clock
  warmUpOf: (service: string) => WarmUp | undefined
}

/**
 * Creates the table of one entry. The time left counts from when the record was read, on the clock of this process, so
 * that a record which is read late makes it longer and never shorter.
 *
 * @example
 * const cold = createColdTable({ clock, warmUpOf: () => ({ durationMs: 3_000, permitsPerS: 12 }) })
 * cold.record({ ...registration, coldLeftMs: 3_000 })
 * cold.leftMs(registration) // 3000
 */
export const createColdTable = ({ clock, warmUpOf }: ColdTableOptions): ColdTable => {
  const workers = new Map<string, ColdWorker>()

  const leftOf = ({ service, readAtMs, leftWhenReadMs }: ColdWorker): number => {
    if (leftWhenReadMs === 0) return 0
    const leftMs = Math.min(leftWhenReadMs, warmUpOf(service)?.durationMs ?? 0) - (clock.nowMs() - readAtMs)
    return Math.max(0, leftMs)
  }

  const leftMs = ({ workerId, startedAtUnixMs }: WorkerRun): number => {
    const known = workers.get(workerId)
    return known?.startedAtUnixMs === startedAtUnixMs ? leftOf(known) : 0
  }

  const rateOf = (service: string) => warmUpOf(service)?.permitsPerS ?? 0

  return {
    record: ({ workerId, startedAtUnixMs, service, storePosition, coldLeftMs = 0 }) => {
      const known = workers.get(workerId)
      if (known === undefined && coldLeftMs === 0) return
      if (known !== undefined && comparePositions(storePosition, known.storePosition) <= 0) return
      const isSaidCold = known?.startedAtUnixMs === startedAtUnixMs && known.isSaidCold
      workers.set(workerId, { workerId, startedAtUnixMs, service, storePosition, readAtMs: clock.nowMs(), leftWhenReadMs: coldLeftMs, isSaidCold })
    },
    leftMs,
    permitsPerS: run => leftMs(run) > 0 ? rateOf(workers.get(run.workerId)!.service) : undefined,
    takeChanges: () => [...workers.values()].flatMap(worker => {
      const { workerId, service, isSaidCold } = worker
      const coldLeftMs = leftOf(worker)
      const isCold = coldLeftMs > 0
      if (isSaidCold === isCold) return []
      worker.isSaidCold = isCold
      return [{ workerId, service, coldLeftMs, permitsPerS: rateOf(service) }]
    }),
    expire: isWorkerKnown => {
      for (const worker of workers.values()) if (!isWorkerKnown(worker.workerId) && leftOf(worker) === 0) workers.delete(worker.workerId)
    },
    get coldCount () { return [...workers.values()].filter(worker => leftOf(worker) > 0).length }
  }
}
