import { Worker } from 'node:worker_threads'
import type { Figure, Suite } from '../harness/index.js'
import { addTotals, ZERO_TOTALS, RuleSet, type ScheduleRange, type ScheduleTotals, WorldKind } from './scheduleRange.js'
import { measureSnapshotBytes } from './snapshotBytes.js'

const SUITE = 'control'
/** Schedules of each of the two simulations, 24,000 in all; the target requires 20,000. */
const SCHEDULE_COUNT = 12_000
/** The naive version fails in most schedules, so fewer are enough to count its failures. */
const NAIVE_SCHEDULE_COUNT = 500
const WORKERS_PER_WORLD = 2
/** Distance between the first seeds of two runs, so that their schedules' seeds do not overlap. */
const SEED_STRIDE = 1_000_000
const HOUR_MS = 3_600_000

const runInWorker = (range: ScheduleRange): Promise<ScheduleTotals> => new Promise((resolve, reject) => {
  const worker = new Worker(new URL('./scheduleWorker.mjs', import.meta.url), { workerData: range })
  worker.once('message', resolve)
  worker.once('error', reject)
})

const splitRange = (range: ScheduleRange): ScheduleRange[] => {
  const count = range.count / WORKERS_PER_WORLD
  return Array.from({ length: WORKERS_PER_WORLD }, (_, i) => ({ ...range, count, firstSeed: range.firstSeed + i * count }))
}

const runAll = async (ruleSet: RuleSet, seed: number, count: number): Promise<ScheduleTotals> => {
  const firstSeed = seed * SEED_STRIDE
  const ranges = Object.values(WorldKind).flatMap(world => splitRange({ world, ruleSet, firstSeed, count }))
  return (await Promise.all(ranges.map(runInWorker))).reduce(addTotals, ZERO_TOTALS)
}

const snapshotFigures = (seed: number): Figure[] => {
  const day = measureSnapshotBytes({ seed, retentionMs: 24 * HOUR_MS })
  const hour = measureSnapshotBytes({ seed, retentionMs: HOUR_MS })
  const base = { suite: SUITE, unit: 'ratio', baseline: 1, seed }
  return [
    {
      ...base,
      figure: 'snapshot_bytes_ratio',
      value: day.recordRatio,
      note: `changed rows over full (${Math.round(day.fullBytes)} B), retention 24 h; ${hour.recordRatio.toFixed(3)} at 1 h`
    },
    {
      ...base,
      figure: 'snapshot_log_bytes_ratio',
      value: day.logRatio,
      note: `with the full ones that changed-row snapshots need, over full ones alone; ${hour.logRatio.toFixed(3)} at 1 h`
    }
  ]
}

/** Runs random schedules of configuration edits and lease records under faults, and measures snapshot sizes. */
export const run: Suite = async ({ seed }) => {
  const totals = await runAll(RuleSet.All, seed, SCHEDULE_COUNT)
  const naive = await runAll(RuleSet.None, seed, NAIVE_SCHEDULE_COUNT)
  const note = `${totals.schedules} schedules, half of edits, half of leases; baseline over ${naive.schedules}`
  const base = { suite: SUITE, unit: 'count', seed, target: { max: 0 }, note }
  return [
    { ...base, figure: 'reverts', baseline: naive.reverts, value: totals.reverts },
    { ...base, figure: 'split_verdicts', baseline: naive.splitVerdicts, value: totals.splitVerdicts },
    { ...base, figure: 'superseded_orders_accepted', baseline: naive.supersededOrders, value: totals.supersededOrders },
    ...snapshotFigures(seed)
  ]
}
