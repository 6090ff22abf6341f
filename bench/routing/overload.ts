import type { Figure } from '../harness/index.js'
import { createPerfectDispatcher, createRouters } from './dispatchers.js'
import { runScenario, type ScenarioResult, type ScenarioSettings } from './scenario.js'

const ENGINE_COUNT = 12
const DEADLINE_MS = 8_000
/** Loads around saturation; capacity is the best goodput among them. */
const CAPACITY_LOADS = [12, 12.5, 13, 13.5]

export const overloadSettings = (seed: number, requestsPerSPerEngine: number): ScenarioSettings => ({
  seed,
  engineCount: ENGINE_COUNT,
  requestsPerS: requestsPerSPerEngine * ENGINE_COUNT,
  durationMs: 90_000,
  warmUpMs: 30_000,
  deadlineMs: DEADLINE_MS,
  familyCount: 60
})

const describe = ({ finishedPerS, expiredCount, refusedCount, arrivedCount }: ScenarioResult) =>
  `${finishedPerS.toFixed(1)}/s, ${(100 * expiredCount / arrivedCount).toFixed(1)}% expired, ${(100 * refusedCount / arrivedCount).toFixed(1)}% refused`

/** Measures the requests finished before their deadline at twice the capacity. */
export const measureOverload = (seed: number): Figure[] => {
  const capacity = Math.max(...CAPACITY_LOADS.map(load => runScenario(overloadSettings(seed, load), createPerfectDispatcher).finishedPerS))
  const settings = overloadSettings(seed, 2 * capacity / ENGINE_COUNT)
  const ours = runScenario(settings, createRouters({ withAdmission: true }))
  const naive = runScenario(settings, createRouters())
  return [{
    suite: 'routing',
    figure: 'goodput_at_overload',
    unit: 'of capacity',
    baseline: naive.finishedPerS / capacity,
    value: ours.finishedPerS / capacity,
    seed,
    target: { min: 0.95 },
    note: `capacity ${capacity.toFixed(1)}/s with perfect knowledge; ours ${describe(ours)}; without admission ${describe(naive)}`
  }]
}
