import type { Random } from '../../src/core/index.js'
import { type GroupShape, itemCountOf } from '../../src/expertMaps/index.js'

/** Kinds of drift in the popularity of experts. */
export enum DriftProfile {
  /** Fast drift: requests for shelter suggestions before a warm weekend. */
  WarmWeekend = 'warm-weekend',
  /** Slow drift: roofing requests move from quotes to cut lists. */
  Roofing = 'roofing'
}

export const DRIFT_DURATION_S: Record<DriftProfile, number> = { [DriftProfile.WarmWeekend]: 300, [DriftProfile.Roofing]: 900 }

/** Start and end of the phases of a run, in seconds of virtual time. */
export interface Timeline {
  driftStartS: number
  driftEndS: number
  stragglerStartS: number
  stragglerEndS: number
  endS: number
}

/**
 * The group settles, then the drift starts; a straggler slows down in the middle of the drift and recovers
 * after it.
 */
export const timelineOf = (profile: DriftProfile): Timeline => {
  const driftStartS = 300
  const driftEndS = driftStartS + DRIFT_DURATION_S[profile]
  return {
    driftStartS,
    driftEndS,
    stragglerStartS: driftStartS + DRIFT_DURATION_S[profile] / 2,
    stragglerEndS: driftEndS + 300,
    endS: driftEndS + 600
  }
}

const MEAN_TOKENS = 100
/** Standard deviation of the logarithm of popularity: the hottest of 64 experts gets about 5 times the mean. */
const POPULARITY_SIGMA = 0.8

const gaussian = (random: Random) =>
  Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())

const sampleExpectedTokens = (random: Random, { experts, layers }: GroupShape): Float64Array => {
  const tokens = new Float64Array(experts * layers)
  for (let layer = 0; layer < layers; layer++) {
    const weights = Array.from({ length: experts }, () => Math.exp(POPULARITY_SIGMA * gaussian(random)))
    const sum = weights.reduce((total, weight) => total + weight, 0)
    weights.forEach((weight, expert) => { tokens[layer * experts + expert] = weight / sum * experts * MEAN_TOKENS })
  }
  return tokens
}

/** Tokens of each item in single steps, while traffic drifts from one topic to another. */
export interface Traffic {
  /** Expected tokens of each item at the given time, without noise. */
  expectedAt (timeS: number): Float64Array
  /**
   * Tokens of each item in one step at the given time, with Poisson-like noise per item and an autocorrelated
   * random offset of the topic mix.
   */
  stepAt (timeS: number): Float64Array
}

/** Creates the traffic of one run; the seed of `random` determines topics and noise. */
export const createTraffic = (random: Random, shape: GroupShape, timeline: Timeline): Traffic => {
  const tokensBefore = sampleExpectedTokens(random, shape)
  const tokensAfter = sampleExpectedTokens(random, shape)
  const items = itemCountOf(shape)
  let mixOffset = 0

  const mixAt = (timeS: number) =>
    Math.min(1, Math.max(0, (timeS - timeline.driftStartS) / (timeline.driftEndS - timeline.driftStartS)))
  const blendTopics = (mix: number) => tokensBefore.map((tokens, item) => tokens + mix * (tokensAfter[item]! - tokens))

  return {
    expectedAt: timeS => blendTopics(mixAt(timeS)),
    stepAt: timeS => {
      mixOffset = 0.9 * mixOffset + 0.01 * gaussian(random)
      const tokens = blendTopics(Math.min(1, Math.max(0, mixAt(timeS) + mixOffset)))
      for (let item = 0; item < items; item++) {
        // Uniform noise with the variance of Poisson arrivals; summed over the experts of a rank it is close
        // to normal.
        const noise = (random.next() - 0.5) * Math.sqrt(12)
        tokens[item] = Math.max(0, Math.round(tokens[item]! + noise * Math.sqrt(tokens[item]!)))
      }
      return tokens
    }
  }
}

/** Relative speed of each rank at the given time: 1, except for the straggler. */
export const speedsAt = (shape: GroupShape, timeline: Timeline, timeS: number): Float64Array => {
  const speeds = new Float64Array(shape.ranks).fill(1)
  if (timeS >= timeline.stragglerStartS && timeS < timeline.stragglerEndS) speeds[shape.ranks >> 1] = 0.7
  return speeds
}
