import type { TimestampMs } from '../core/index.js'
import { BAND_KEEP_MS, FACTOR_CHANGE_MIN, RECOVERED_WEIGHT_MIN, RISE_MIN, SLOW_SHARE_MIN, SLOW_WEIGHT_MIN } from './constants.js'
import { bandEnd, type Weights, weighAll, weighBand } from './timeCounts.js'
import type { CapacityEstimate, UpstreamRun } from './types.js'

/** What the responses in one band have shown. */
export interface BandState {
  /** Multiple of the typical time; undefined while it is not known. */
  factor: number | undefined
  learnedAtMs: TimestampMs
}

/** What is known of one run: the counts of the whole fleet, and what they showed before. */
export interface RunEvidence {
  run: UpstreamRun
  counts: readonly number[]
  /** State of all responses together; updated by the estimate, as is that of the bands. */
  overall: BandState
  bands: BandState[]
}

export const getDefaultBand = (): BandState => ({ factor: undefined, learnedAtMs: 0 })

/** Whether the responses of a band are slower than usual, as far as known. */
export const isSlow = ({ factor }: BandState): boolean => (factor ?? 1) > 1

/** What responses show now; undefined if they are too few. */
const judge = ({ usual, slow, slowFactor }: Weights): number | undefined => {
  if (slow >= SLOW_WEIGHT_MIN && slow >= SLOW_SHARE_MIN * (slow + usual)) return slowFactor()
  return usual >= RECOVERED_WEIGHT_MIN && usual > slow ? 1 : undefined
}

/** A known slowdown is kept while nothing shows another one; its strength changes only by much. */
const updateState = (state: BandState, weights: Weights, nowMs: TimestampMs): number | undefined => {
  const seen = judge(weights)
  const known = state.factor ?? 1
  const isRevised = seen !== undefined && (known === 1 || seen === 1 || Math.max(known / seen, seen / known) >= FACTOR_CHANGE_MIN)
  if (isRevised) state.factor = seen
  // Usual responses too few to end a slowdown do not prolong it either.
  if (seen !== undefined || weights.slow >= 1) state.learnedAtMs = nowMs
  else if (nowMs - state.learnedAtMs > BAND_KEEP_MS) state.factor = undefined
  return state.factor
}

/** What was learned with more requests while an upstream was slow says nothing about it once it has recovered. */
const forgetAbove = (bands: readonly BandState[]) => bands.slice(1).forEach(state => { state.factor = undefined })

/**
 * Factor with the fewest requests for which it is known, and the number of requests before it rises. Where responses are
 * few, those of all bands together show a slowdown sooner, unless the ones with the fewest requests take the usual time.
 */
const describeRun = ({ run: { slots }, overall, bands, counts }: RunEvidence, nowMs: TimestampMs): { factor: number, capacity: number } => {
  const isKnownSlow = isSlow(overall) || isSlow(bands[0]!)
  const overallFactor = updateState(overall, weighAll(counts), nowMs) ?? 1
  updateState(bands[0]!, weighBand(counts, 0), nowMs)
  if (isKnownSlow && !isSlow(overall) && !isSlow(bands[0]!)) forgetAbove(bands)
  const factors = bands.map((state, band) => updateState(state, weighBand(counts, band), nowMs))
  const lowest = weighBand(counts, 0)
  const isSlowThroughout = overallFactor > 1 && (factors[0] ?? 1) === 1 && lowest.usual <= Math.max(lowest.slow, SLOW_SHARE_MIN)
  if (isSlowThroughout) return { factor: overallFactor, capacity: slots }
  const factor = factors.find(known => known !== undefined) ?? 1
  const firstSlow = factors.findIndex(known => known !== undefined && known >= RISE_MIN * factor)
  return { factor, capacity: firstSlow <= 0 ? slots : bandEnd(firstSlow - 1, slots) }
}

/**
 * Estimates the upstreams of one service against each other. If all are alike, also if all are equally slow, the
 * estimate is undefined and nothing but the slots counts.
 *
 * @example
 * estimateService([{ run, counts, overall, bands }, ...], nowMs)?.get('w1') // { capacity: 0.7, speed: 0.34 }
 */
export const estimateService = (runs: readonly RunEvidence[], nowMs: TimestampMs): Map<string, Omit<CapacityEstimate, 'isTrialDue'>> | undefined => {
  const described = runs.map(evidence => ({ run: evidence.run, ...describeRun(evidence, nowMs) }))
  const fastest = Math.min(...described.map(({ factor }) => factor))
  const areAlike = described.every(({ run, factor, capacity }) =>
    factor === fastest && capacity / run.slots === described[0]!.capacity / described[0]!.run.slots)
  if (areAlike) return undefined
  return new Map(described.map(({ run, factor, capacity }) => {
    const speed = fastest / factor
    return [run.workerId, { capacity: capacity * speed ** 2, speed }]
  }))
}
