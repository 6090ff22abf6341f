import { CAPACITY_DEFAULT, CAPACITY_MIN, LOAD_FACTOR, LoadStep } from './constants.js'
import type { EntryWeight, ReportedWeight } from './types.js'

/** Fills in the defaults of a report, and keeps its values in their ranges. */
export const toWeight = ({ capacity = CAPACITY_DEFAULT, loadStep = LoadStep.Calm }: ReportedWeight): EntryWeight => ({
  capacity: Math.max(CAPACITY_MIN, capacity),
  loadStep: Math.round(Math.min(LoadStep.Saturated, Math.max(LoadStep.Calm, loadStep)))
})

/** Leaves out the values that are the default. */
export const toReportedWeight = ({ capacity, loadStep }: EntryWeight): ReportedWeight => ({
  ...(capacity === CAPACITY_DEFAULT ? {} : { capacity }),
  ...(loadStep === LoadStep.Calm ? {} : { loadStep })
})

/**
 * Returns the share of the callers that an entry is to get, relative to the other entries.
 *
 * @example
 * weightOf({ capacity: 1.35, loadStep: LoadStep.Calm }) // 1.35
 */
export const weightOf = ({ capacity, loadStep }: EntryWeight): number => capacity * LOAD_FACTOR[loadStep]
