import type { CustomerLimit } from '../configuration/index.js'
import type { LimitShare } from './types.js'

/**
 * Divides an amount by demand with max-min fairness: small demands are met in full, larger ones get equal
 * shares, and any surplus is spread evenly.
 *
 * @example
 * divideAmount(10, [1, 20, 20]) // [1, 4.5, 4.5]
 */
export const divideAmount = (amount: number, demands: readonly number[]): number[] => {
  const shares = demands.map(() => 0)
  const order = demands.map((demand, i) => ({ demand, i })).sort((a, b) => a.demand - b.demand)
  let remaining = amount
  order.forEach(({ demand, i }, rank) => {
    const share = Math.min(demand, remaining / (order.length - rank))
    shares[i] = share
    remaining -= share
  })
  return shares.map(share => share + remaining / demands.length)
}

/** Rounds shares to integers by the largest remainder method, which preserves the sum. */
export const roundShares = (shares: readonly number[]): number[] => {
  // Floating-point sums may fall just short of an integer.
  let remainder = Math.floor(shares.reduce((sum, share) => sum + share, 0) + 1e-9)
  const rounded = shares.map(share => Math.floor(share + 1e-9))
  remainder -= rounded.reduce((sum, share) => sum + share, 0)
  const byLoss = shares.map((share, i) => ({ loss: share - rounded[i]!, i })).sort((a, b) => b.loss - a.loss || a.i - b.i)
  for (const { i } of byLoss.slice(0, Math.max(0, remainder))) rounded[i]! += 1
  return rounded
}

/**
 * Returns the equal share of a limit that an entry uses without a grant. Every member computes the same
 * division, so the shares never add up to more than the limit.
 */
export const equalShare = (limit: CustomerLimit, memberIds: readonly string[], selfId: string): LimitShare => {
  const members = [...new Set([...memberIds, selfId])].sort()
  const equal = members.map(() => 1 / members.length)
  return {
    requestsPerS: limit.requestsPerS / members.length,
    burstRequests: limit.burstRequests / members.length,
    concurrentMax: roundShares(equal.map(part => part * limit.concurrentMax))[members.indexOf(selfId)]!
  }
}
