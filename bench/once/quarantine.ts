import type { Suite } from '../harness/index.js'
import { CrashPolicy, runCrashSchedule } from './crashSchedule.js'

const SCHEDULE_COUNT = 300

const measure = (seed: number, policy: CrashPolicy, scheduleCount: number) => {
  let lostMax = 0
  let innocents = 0
  let finished = 0
  let sent = 0
  for (let i = 0; i < scheduleCount; i++) {
    const result = runCrashSchedule(seed * 100_000 + i, policy)
    lostMax = Math.max(lostMax, ...result.lostByPoison)
    innocents += result.innocentsQuarantined
    finished += result.innocentsFinished
    sent += result.innocentsSent
  }
  return { lostMax, innocents, finishedShare: finished / sent }
}

/** Measures, over seeded schedules, how many upstreams and innocent requests a crashing request affects. */
export const run: Suite = async ({ seed }) => {
  const product = measure(seed, CrashPolicy.Product, SCHEDULE_COUNT)
  const none = measure(seed, CrashPolicy.None, SCHEDULE_COUNT / 3)
  const countOnly = measure(seed, CrashPolicy.CountOnly, SCHEDULE_COUNT / 3)
  const base = { suite: 'once', seed }
  return [
    {
      ...base,
      figure: 'upstreams_lost_per_crashing_request',
      unit: 'upstreams',
      baseline: none.lostMax,
      value: product.lostMax,
      target: { max: 2 },
      note: `most over ${SCHEDULE_COUNT} schedules; baseline without quarantine`
    },
    {
      ...base,
      figure: 'innocents_quarantined',
      unit: 'requests',
      baseline: countOnly.innocents,
      value: product.innocents,
      target: { max: 0 },
      note: 'baseline quarantines whatever was in flight at two crashes'
    },
    {
      ...base,
      figure: 'innocents_finished_ratio',
      unit: 'share',
      baseline: none.finishedShare,
      value: product.finishedShare,
      note: 'within 20 resends by the caller'
    }
  ]
}
