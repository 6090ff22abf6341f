import { Worker } from 'node:worker_threads'
import { createRandom } from '../../src/core/index.js'
import { type Counts, getDefaultCounts } from './checks.js'
import type { WorkerPart } from './scheduleWorker.js'

/** Most objects are garbage after their schedule; a larger young generation halves the collection time. */
const YOUNG_GENERATION_MB = 64

/** Each thread runs its part of the schedules with its own seed. */
const THREADS = 4

export interface ScheduleCounts {
  counts: Counts
  naive: Counts
}

const addCounts = (sum: Counts, part: Counts): Counts => {
  for (const name of Object.keys(sum) as Array<keyof Counts>) sum[name] += part[name]
  return sum
}

const runPart = (part: WorkerPart): Promise<ScheduleCounts> => new Promise((resolve, reject) => {
  const worker = new Worker(new URL('./workerMain.mjs', import.meta.url), {
    workerData: part, resourceLimits: { maxYoungGenerationSizeMb: YOUNG_GENERATION_MB }
  })
  worker.once('message', resolve)
  worker.once('error', reject)
})

/** Runs `count` schedules in worker threads, and `naiveCount` of the naive version with the same seeds. */
export const runInWorkers = async (
  { seed, count, naiveCount }: { seed: number, count: number, naiveCount: number }
): Promise<ScheduleCounts> => {
  const random = createRandom(seed)
  const parts: WorkerPart[] = Array.from({ length: THREADS }, () => ({
    seed: random.int(0, 0x7fffffff), count: Math.ceil(count / THREADS), naiveCount: Math.ceil(naiveCount / THREADS)
  }))
  const sum: ScheduleCounts = { counts: getDefaultCounts(), naive: getDefaultCounts() }
  for (const result of await Promise.all(parts.map(runPart))) {
    addCounts(sum.counts, result.counts)
    addCounts(sum.naive, result.naive)
  }
  return sum
}
