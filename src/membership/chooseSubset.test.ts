import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { assignSubsets, chooseSubset } from './chooseSubset.js'
import { apportionSeats } from './apportionSeats.js'

const entriesOf = (count: number) => Array.from({ length: count }, (_, i) => ({ nodeId: `entry-${i}` }))
const agentsOf = (count: number, domains: number) =>
  Array.from({ length: count }, (_, i) => ({ nodeId: `agent-${i}`, failureDomain: `domain-${i % domains}` }))

const entriesPerAgent = (subsets: Map<string, string[]>) => {
  const counts = new Map<string, number>()
  for (const agentId of [...subsets.values()].flat()) counts.set(agentId, (counts.get(agentId) ?? 0) + 1)
  return counts
}

const changes = (before: Map<string, string[]>, after: Map<string, string[]>) =>
  [...after].reduce((sum, [entryId, agentIds]) =>
    sum + agentIds.filter(agentId => !before.get(entryId)!.includes(agentId)).length, 0)

describe('subsets', () => {
  // Guards against agents without entries, and against entries that compute different assignments.
  it.each([
    [18, 12, 3, 12], [13, 12, 3, 5], [72, 42, 6, 12], [340, 200, 6, 12], [340, 600, 6, 12], [18, 3, 3, 12], [5, 40, 6, 4]
  ])('balances %i entries over %i agents in %i domains, %i each', (entryCount, agentCount, domains, subsetSize) => {
    const input = { entries: entriesOf(entryCount), agents: agentsOf(agentCount, domains), subsetSize }
    const subsets = assignSubsets(input)
    const size = Math.min(subsetSize, agentCount)
    const mean = entryCount * size / agentCount
    for (const agentIds of subsets.values()) expect(new Set(agentIds).size).toBe(size)
    for (const { nodeId } of input.agents) {
      expect(Math.abs((entriesPerAgent(subsets).get(nodeId) ?? 0) - mean)).toBeLessThan(2)
    }
    const domainOf = new Map(input.agents.map(({ nodeId, failureDomain }) => [nodeId, failureDomain]))
    for (const agentIds of subsets.values()) {
      expect(new Set(agentIds.map(agentId => domainOf.get(agentId))).size).toBe(Math.min(domains, size))
    }
    const reversed = { ...input, entries: [...input.entries].reverse(), agents: [...input.agents].reverse() }
    expect(chooseSubset('entry-1', reversed)).toEqual([...subsets.get('entry-1')!].sort())
  })

  // Guards against a reassignment of all links when one process leaves.
  it.each([[72, 42, 6, 12], [340, 200, 6, 12]])('changes few links of %i entries, %i agents', (entryCount, agentCount, domains, subsetSize) => {
    const input = { entries: entriesOf(entryCount), agents: agentsOf(agentCount, domains), subsetSize }
    const before = assignSubsets(input)
    for (const removedIndex of [3, 17, 31]) {
      const withoutEntry = assignSubsets({ ...input, entries: input.entries.filter((_, i) => i !== removedIndex) })
      const withoutAgent = assignSubsets({ ...input, agents: input.agents.filter((_, i) => i !== removedIndex) })
      expect(changes(before, withoutEntry) / (entryCount * subsetSize)).toBeLessThan(0.1)
      expect(changes(before, withoutAgent) / (entryCount * subsetSize)).toBeLessThan(0.1)
    }
  })

  // Guards against lost or duplicate seats due to rounding.
  it('apportions exactly the given number of seats', () => {
    fc.assert(fc.property(
      fc.array(fc.nat(40), { minLength: 1, maxLength: 8 }), fc.integer({ min: 1, max: 60 }), fc.double({ min: 0, max: 0.999, noNaN: true }),
      (sizes, seats, phase) => {
        const counts = apportionSeats(sizes, seats, phase)
        const total = sizes.reduce((sum, size) => sum + size, 0)
        expect(counts.reduce((sum, count) => sum + count, 0)).toBe(Math.min(seats, total))
        counts.forEach((count, i) => expect(count).toBeLessThanOrEqual(sizes[i]!))
        if (seats >= sizes.filter(size => size > 0).length) {
          counts.forEach((count, i) => expect(count > 0).toBe(sizes[i]! > 0))
        }
      }
    ), { seed: 1 })
  })
})
