import type { Suite } from '../harness/index.js'
import { measureControlBytes } from './controlBytes.js'
import { Firm, SHAPES, WEIGHTS } from './deployments.js'
import { DriftProfile } from './drift.js'
import { driftFigures, runAllDrifts } from './driftFigures.js'
import { measureMixedSteps } from './mixedSteps.js'
import { measurePlanTime } from './planTime.js'

const largest = SHAPES[SHAPES.length - 1]!

/**
 * Measures load accounting, planning and switching of expert maps.
 *
 * @example
 * const figures = await run({ seed: 1 })
 */
export const run: Suite = async ({ seed }) => {
  // Plan times are wall-clock times, so they are measured before the threads of the fault schedules load the
  // machine.
  const planFigures = await measurePlanTime(seed, largest, WEIGHTS[Firm.Fellesly])
  const mixedSteps = measureMixedSteps(seed)
  const runs = runAllDrifts(seed)
  const drift = runs.find(({ firm, profile, shape }) =>
    firm === Firm.Fellesly && profile === DriftProfile.WarmWeekend && shape === largest)!
  return [
    ...driftFigures(runs, seed),
    ...planFigures,
    ...measureControlBytes(seed, largest, drift.result),
    ...await mixedSteps
  ]
}
