import { Worker } from 'node:worker_threads'
import type { Figure } from '../harness/index.js'
import type { ScheduleCounts, ScheduleRange } from './faultSchedule.js'

const SCHEDULES = 20_000
/** Schedules are independent and run in parallel threads, which keeps the suite under a minute. */
const WORKERS = 4

/** Node 20 doesn't pass the TypeScript loader to worker threads, so each thread registers it first. */
const WORKER_SCRIPT = `
  const { workerData } = require('node:worker_threads')
  import('tsx/esm/api').then(({ register }) => {
    register()
    return import(workerData.script)
  })
`

const countInWorker = (range: ScheduleRange): Promise<ScheduleCounts> => new Promise((resolve, reject) => {
  const script = new URL('./scheduleWorker.ts', import.meta.url).href
  const worker = new Worker(WORKER_SCRIPT, { eval: true, workerData: { script, ...range } })
  worker.once('message', resolve)
  worker.once('error', reject)
})

/**
 * Counts the mixed steps of the switch protocol and of the naive switch over the same seeded fault schedules.
 */
export const measureMixedSteps = async (seed: number): Promise<Figure[]> => {
  const size = SCHEDULES / WORKERS
  const parts = await Promise.all(Array.from({ length: WORKERS }, (_worker, index) =>
    countInWorker({ firstSeed: seed * 1_000_000 + index * size, size })))
  const sum = (read: (counts: ScheduleCounts) => number) => parts.reduce((total, counts) => total + read(counts), 0)
  return [
    {
      suite: 'maps',
      figure: 'mixed_steps',
      unit: 'steps',
      baseline: sum(({ naiveMixedSteps }) => naiveMixedSteps),
      value: sum(({ mixedSteps }) => mixedSteps),
      seed,
      target: { max: 0 },
      note: `${SCHEDULES} fault schedules, ${sum(({ steps }) => steps)} steps, ${sum(({ switched }) => switched)} ended on a new map; ` +
        `the naive switch mixed maps in ${sum(({ naiveMixed }) => naiveMixed)} schedules`
    },
    {
      suite: 'maps',
      figure: 'groups_stuck_after_faults',
      unit: 'schedules',
      baseline: sum(({ naiveStuck }) => naiveStuck),
      value: sum(({ stuck }) => stuck),
      seed,
      target: { max: 0 },
      note: 'groups that run no steps within 34 s after the last fault; the naive switch has no way to place a restarted rank'
    }
  ]
}
