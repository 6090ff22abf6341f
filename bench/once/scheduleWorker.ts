import { parentPort, workerData } from 'node:worker_threads'
import { getDefaultCounts } from './checks.js'
import { NAIVE_FACTORIES } from './naive.js'
import { runSchedules } from './randomSchedule.js'

/** Share of the schedules that one worker thread runs. */
export interface WorkerPart {
  seed: number
  count: number
  naiveCount: number
}

const { seed, count, naiveCount } = workerData as WorkerPart
parentPort!.postMessage({
  counts: runSchedules(getDefaultCounts(), { seed, count }),
  naive: runSchedules(getDefaultCounts(), { seed, count: naiveCount, factories: NAIVE_FACTORIES })
})
