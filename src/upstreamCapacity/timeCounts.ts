import type { TimestampMs } from '../core/index.js'
import { BAND_WEIGHT_MAX, LOAD_BANDS, SAMPLE_HALF_LIFE_MS, TIME_CLASS_BOUNDS, TIME_CLASS_FACTORS, TIME_CLASSES, USUAL_CLASS } from './constants.js'

/** Decayed numbers of responses, by band of requests in flight and class of response time. */
export interface TimeCounts {
  counts: number[]
  decayedAtMs: TimestampMs
}

const COUNT = LOAD_BANDS * TIME_CLASSES

export const getDefaultTimeCounts = (nowMs: TimestampMs): TimeCounts => ({ counts: Array<number>(COUNT).fill(0), decayedAtMs: nowMs })

/** Band of the requests in flight at an upstream, of which there is at least one. */
export const bandOf = (inFlight: number, slots: number): number =>
  Math.max(0, Math.min(LOAD_BANDS - 1, Math.floor((inFlight - 1) * LOAD_BANDS / Math.max(1, slots))))

/** Highest number of requests in flight in a band. */
export const bandEnd = (band: number, slots: number): number => Math.max(1, Math.ceil((band + 1) * slots / LOAD_BANDS))

/** Class of a response time, given as a multiple of the typical one. */
export const timeClassOf = (factor: number): number => {
  const index = TIME_CLASS_BOUNDS.findIndex(bound => factor < bound)
  return index < 0 ? TIME_CLASSES - 1 : index
}

/** Lets all counts decay to a time. */
export const decayCounts = (times: TimeCounts, nowMs: TimestampMs): TimeCounts => {
  const factor = 2 ** (-Math.max(0, nowMs - times.decayedAtMs) / SAMPLE_HALF_LIFE_MS)
  times.counts.forEach((count, index) => { times.counts[index] = count * factor })
  times.decayedAtMs = nowMs
  return times
}

/** Adds one response; those before it in the same band give way beyond BAND_WEIGHT_MAX. */
export const addResponse = (times: TimeCounts, band: number, timeClass: number): void => {
  const start = band * TIME_CLASSES
  const total = weightOf(times.counts, band)
  const factor = total <= BAND_WEIGHT_MAX - 1 ? 1 : (BAND_WEIGHT_MAX - 1) / total
  for (let index = start; index < start + TIME_CLASSES; index++) times.counts[index]! *= factor
  times.counts[start + timeClass]! += 1
}

/** Decayed number of responses in one band. */
const weightOf = (counts: readonly number[], band: number): number => {
  let sum = 0
  for (let index = band * TIME_CLASSES; index < (band + 1) * TIME_CLASSES; index++) sum += counts[index] ?? 0
  return sum
}

/** Decayed number of responses slower than usual, in all bands. */
export const slowWeightOf = (counts: readonly number[]): number =>
  counts.reduce((sum, count, index) => index % TIME_CLASSES > USUAL_CLASS ? sum + count : sum, 0)

/** Decayed numbers of responses in one band, or in all of them. */
export interface Weights {
  usual: number
  slow: number
  /** Multiple of the typical time that the median of the slow ones took, so that one outlier does not move it. */
  slowFactor (): number
}

const weigh = (byClass: readonly number[]): Weights => {
  const usual = byClass[USUAL_CLASS] ?? 0
  const slow = byClass.reduce((sum, count) => sum + count, -usual)
  const slowFactor = () => {
    let left = slow / 2
    const index = byClass.findIndex((count, timeClass) => timeClass !== USUAL_CLASS && (left -= count) <= 0)
    return TIME_CLASS_FACTORS[index < 0 ? TIME_CLASSES - 1 : index]!
  }
  return { usual, slow, slowFactor }
}

export const weighBand = (counts: readonly number[], band: number): Weights => weigh(counts.slice(band * TIME_CLASSES, (band + 1) * TIME_CLASSES))

export const weighAll = (counts: readonly number[]): Weights =>
  weigh(Array.from({ length: TIME_CLASSES }, (_, timeClass) => {
    let sum = 0
    for (let band = 0; band < LOAD_BANDS; band++) sum += counts[band * TIME_CLASSES + timeClass] ?? 0
    return sum
  }))
