import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { divideAmount, equalShare, roundShares } from './divideLimit.js'

const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0)

/** Naive max-min fairness: gives small portions of the amount to the member with the smallest share. */
const divideNaively = (amount: number, demands: readonly number[]) => {
  const portion = amount / 2_000
  const shares = demands.map(() => 0)
  for (let left = amount; left > portion / 2; left -= portion) {
    const unmet = shares.map((share, i) => ({ share, i })).filter(({ share, i }) => share + portion / 2 < demands[i]!)
    if (unmet.length === 0) return shares.map(share => share + left / shares.length)
    shares[unmet.reduce((a, b) => a.share <= b.share ? a : b).i]! += portion
  }
  return shares
}

describe('division of a limit', () => {
  it('matches a naive division in small portions', () => {
    fc.assert(fc.property(fc.array(fc.double({ min: 0, max: 30, noNaN: true }), { minLength: 1, maxLength: 6 }), demands => {
      const naive = divideNaively(20, demands)
      divideAmount(20, demands).forEach((share, i) => expect(Math.abs(share - naive[i]!)).toBeLessThan(0.15))
    }), { seed: 3, numRuns: 100 })
  })

  it('preserves the sum when rounding and when every member takes its equal share', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 50 }), fc.integer({ min: 1, max: 9 }), (concurrentMax, count) => {
      const limit = { requestsPerS: 10, burstRequests: 5, concurrentMax }
      const ids = Array.from({ length: count }, (_, i) => `e${i}`)
      expect(sum(ids.map(id => equalShare(limit, ids, id).concurrentMax))).toBe(concurrentMax)
      expect(sum(roundShares(divideAmount(concurrentMax, ids.map((_, i) => i))))).toBe(concurrentMax)
    }), { seed: 4 })
  })
})
