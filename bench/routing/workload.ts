import { createRandom } from '../../src/core/index.js'
import { BLOCK_TOKENS, type BenchRequest } from './engineFake.js'

export interface WorkloadSettings {
  seed: number
  requestsPerS: number
  durationMs: number
  /** Number of request families; the prompts of a family share a prefix. */
  familyCount: number
  deadlineMs: number
}

const PREFIX_BLOCKS = 14
const DRIFT_INTERVAL_MS = 10_000
const DEMAND_PERIOD_MS = 40_000
const DEMAND_SWING = 0.1

/**
 * Generates the requests of one scenario: Poisson arrivals with a slowly changing rate, and shared prompt
 * prefixes with a Zipf-like popularity that moves from family to family, as traffic does that moves from
 * quotes to cut lists.
 */
export const makeWorkload = ({ seed, requestsPerS, durationMs, familyCount, deadlineMs }: WorkloadSettings): BenchRequest[] => {
  const random = createRandom(seed)
  const familiesByPopularity = random.shuffle(Array.from({ length: familyCount }, (_, i) => i))
  const cumulative: number[] = []
  let total = 0
  for (let popularityRank = 0; popularityRank < familyCount; popularityRank++) cumulative.push(total += 1 / (popularityRank + 3) ** 0.8)
  const pickFamily = (nowMs: number) => {
    const point = random.next() * total
    const popularityRank = cumulative.findIndex(sum => sum > point)
    return familiesByPopularity[(popularityRank + Math.floor(nowMs / DRIFT_INTERVAL_MS)) % familyCount]!
  }

  const requests: BenchRequest[] = []
  let nowMs = 0
  for (let i = 0; nowMs < durationMs; i++) {
    const demandFactor = 1 + DEMAND_SWING * Math.sin(2 * Math.PI * nowMs / DEMAND_PERIOD_MS)
    nowMs += random.exponential(1_000 / (requestsPerS * demandFactor))
    const family = pickFamily(nowMs)
    const ownTokens = 32 + Math.min(1_200, Math.round(random.exponential(160)))
    const prefixBlocks = Array.from({ length: PREFIX_BLOCKS }, (_, block) => `f${family}.${block}`)
    const ownBlocks = Array.from({ length: Math.floor(ownTokens / BLOCK_TOKENS) }, (_, block) => `r${i}.${block}`)
    requests.push({
      requestId: `r${i}`,
      customer: `customer-${family % 10}`,
      blocks: [...prefixBlocks, ...ownBlocks],
      promptTokens: PREFIX_BLOCKS * BLOCK_TOKENS + ownTokens,
      outputTokens: 4 + Math.min(400, Math.round(random.exponential(60))),
      arrivedMs: nowMs,
      deadlineMs: nowMs + deadlineMs
    })
  }
  return requests
}
