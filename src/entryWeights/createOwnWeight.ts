import type { Clock, TimestampMs } from '../core/index.js'
import { LOAD_FALL_MS, LOAD_RISE_MS, LOAD_SAMPLE_SHARE, LOAD_STEP_FROM, LOAD_STEP_LEAVE_SHARE, LoadStep, TIMER_LATE_MAX_MS } from './constants.js'
import type { EntryWeight, LoadSample } from './types.js'

export interface OwnWeightOptions {
  clock: Clock
  /** Called at each use, as a reload replaces the settings. */
  capacity: () => number
  onStepChanged: (step: LoadStep, means: LoadSample) => void
}

/** The weight that an entry reports of itself. */
export interface OwnWeight {
  current (): EntryWeight
  /** Adds what was measured in one interval. */
  record (sample: LoadSample): void
}

const STEPS = [LoadStep.Calm, LoadStep.Busy, LoadStep.Loaded, LoadStep.Saturated]

/** The highest step whose means are reached; those of the steps up to `current` only need a share of them. */
const stepFor = ({ timerLateMs, inFlightPerCore }: LoadSample, current: LoadStep): LoadStep =>
  STEPS.findLast(step => {
    const share = step <= current ? LOAD_STEP_LEAVE_SHARE : 1
    const from = LOAD_STEP_FROM[step]
    return timerLateMs >= from.timerLateMs * share || inFlightPerCore >= from.inFlightPerCore * share
  }) ?? LoadStep.Calm

/**
 * Creates the weight of one entry. Its load step follows the means of the samples with hysteresis, one step at a time, so
 * that it changes seldom and rides on reports that are sent anyway.
 *
 * @example
 * const weight = createOwnWeight({ clock, capacity: () => 1.35, onStepChanged })
 * weight.record({ timerLateMs: 4, inFlightPerCore: 12 })
 */
export const createOwnWeight = ({ clock, capacity, onStepChanged }: OwnWeightOptions): OwnWeight => {
  const means: LoadSample = { timerLateMs: 0, inFlightPerCore: 0 }
  let loadStep = LoadStep.Calm
  /** Since when the means have asked for a higher or a lower step without a break. */
  let wantsHigherSinceMs: TimestampMs | undefined
  let wantsLowerSinceMs: TimestampMs | undefined

  const moveTo = (step: LoadStep) => {
    loadStep = step
    wantsHigherSinceMs = undefined
    wantsLowerSinceMs = undefined
    onStepChanged(step, { ...means })
  }

  return {
    current: () => ({ capacity: capacity(), loadStep }),
    record: ({ timerLateMs, inFlightPerCore }) => {
      means.timerLateMs += (Math.min(TIMER_LATE_MAX_MS, Math.max(0, timerLateMs)) - means.timerLateMs) * LOAD_SAMPLE_SHARE
      means.inFlightPerCore += (inFlightPerCore - means.inFlightPerCore) * LOAD_SAMPLE_SHARE
      const nowMs = clock.nowMs()
      const wanted = stepFor(means, loadStep)
      wantsHigherSinceMs = wanted > loadStep ? wantsHigherSinceMs ?? nowMs : undefined
      wantsLowerSinceMs = wanted < loadStep ? wantsLowerSinceMs ?? nowMs : undefined
      if (wantsHigherSinceMs !== undefined && nowMs - wantsHigherSinceMs >= LOAD_RISE_MS) moveTo(loadStep + 1)
      else if (wantsLowerSinceMs !== undefined && nowMs - wantsLowerSinceMs >= LOAD_FALL_MS) moveTo(loadStep - 1)
    }
  }
}
