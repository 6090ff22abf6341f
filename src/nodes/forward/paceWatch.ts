import type { Clock, TimestampMs } from '../../core/index.js'
import type { PeerReport, Worker } from '../../membership/index.js'
import { type EventLog, LogEvent } from '../../observe/index.js'
import { SLOW_PACE } from '../../routing/index.js'
import type { WorkerProbe } from './types.js'

/** Each read is a call that costs money, so one entry reads for all. */
export const PACE_READ_INTERVAL_MS = 1_000
/** A pace that was read longer ago says nothing. */
export const PACE_KEEP_MS = 3_000

export interface PaceWatchOptions {
  clock: Clock
  nodeId: string
  isReady: () => boolean
  /** Workers whose pace matters. */
  workers: () => readonly Worker[]
  reports: () => readonly PeerReport[]
  probe: WorkerProbe
  log: EventLog
  /** The slow workers that this entry has read are others than before. */
  onChanged: () => void
}

/** Paces of workers: the ready entry with the lowest id reads them, and its reports tell the others. */
export interface PaceWatch {
  /** Reads what is due if this entry is the reader; expected every few hundred ms. */
  tick (): void
  /** Slow workers that this entry has read, for its reports. */
  slow (): Record<string, number>
  /** Time that a worker needs for its work, over that of a sound one; 1 if nothing is known. */
  paceOf (workerId: string): number
}

/**
 * Creates the watch of one entry.
 *
 * @example
 * const watch = createPaceWatch({ clock, nodeId, isReady, workers, reports, probe, log, onChanged })
 * watch.paceOf('i-7f3a91c2') // 2.5
 */
export const createPaceWatch = ({ clock, nodeId, isReady, workers, reports, probe, log, onChanged }: PaceWatchOptions): PaceWatch => {
  const read = new Map<string, { pace: number, atMs: TimestampMs }>()
  const reading = new Set<string>()
  let readAtMs = -PACE_READ_INTERVAL_MS

  const isReader = () => isReady() && reports().every(report => !report.isReady || report.nodeId > nodeId)

  const slow = () => Object.fromEntries([...read]
    .filter(([, { pace, atMs }]) => pace >= SLOW_PACE && clock.nowMs() - atMs < PACE_KEEP_MS)
    .map(([workerId, { pace }]) => [workerId, pace]))

  const readOne = async (worker: Worker) => {
    const { workerId } = worker
    reading.add(workerId)
    try {
      const before = read.get(workerId)?.pace ?? 1
      const pace = await probe.readPace(worker)
      read.set(workerId, { pace, atMs: clock.nowMs() })
      if (pace === before) return
      log(LogEvent.PaceChanged, { workerId, before, pace })
      onChanged()
    } finally {
      reading.delete(workerId)
    }
  }

  const tick = () => {
    if (clock.nowMs() - readAtMs < PACE_READ_INTERVAL_MS || !isReader()) return
    readAtMs = clock.nowMs()
    const current = workers()
    const known = new Set(current.map(({ workerId }) => workerId))
    for (const workerId of read.keys()) if (!known.has(workerId)) read.delete(workerId)
    for (const worker of current.filter(({ workerId }) => !reading.has(workerId))) {
      readOne(worker).catch(error => log(LogEvent.PaceUnread, {
        workerId: worker.workerId, reason: error instanceof Error ? error.message : String(error)
      }))
    }
  }

  return {
    tick,
    slow,
    paceOf: workerId => Math.max(1, slow()[workerId] ?? 1, ...reports().map(({ paces }) => paces[workerId] ?? 1))
  }
}
