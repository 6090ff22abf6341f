import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { CACHE_GAP_LIMIT_MS, CacheEventKind, CONFIDENCE_MIN } from './constants.js'
import { createPrefixIndex } from './prefixIndex.js'
import type { CacheEvent } from './types.js'

const stored = (...blocks: string[]): CacheEvent[] => blocks.map(block => ({ kind: CacheEventKind.Stored, block }))

describe('prefix index', () => {
  it.each<[string, Array<[number, CacheEvent[]]>, number, boolean]>([
    ['in order', [[1, stored('a')], [2, stored('b')]], 2, false],
    ['reordered', [[1, stored('a')], [3, stored('c')], [2, stored('b')]], 3, false],
    ['repeated', [[1, stored('a')], [1, stored('a')], [2, stored('b')]], 2, false],
    ['removed late', [[1, stored('a', 'b')], [3, stored('c')], [2, [{ kind: CacheEventKind.Removed, block: 'b' }]]], 1, false],
    ['cleared', [[1, stored('a', 'b')], [2, [{ kind: CacheEventKind.Cleared }]]], 0, false],
    ['with a gap', [[1, stored('a')], [3, stored('b')]], 2, true]
  ])('applies cache events %s', (_case, batches, matched, hasGap) => {
    const index = createPrefixIndex()
    for (const [sequence, events] of batches) index.applyEvents(sequence, events, 0)
    expect(index.expireGaps(CACHE_GAP_LIMIT_MS)).toBe(hasGap)
    expect(index.matchBlocks(['a', 'b', 'c'])).toBe(matched)
    expect(index.confidence < 1).toBe(hasGap)
  })

  it('detects missing events at the end, regains full confidence from a snapshot and keeps a minimum confidence', () => {
    const index = createPrefixIndex()
    index.applyEvents(1, stored('a'), 0)
    index.updateState({ eventSequence: 4, blocksMax: 100 }, 0)
    expect(index.expireGaps(CACHE_GAP_LIMIT_MS)).toBe(true)
    index.replace(4, ['x'])
    expect([index.confidence, index.matchBlocks(['a']), index.matchBlocks(['x'])]).toEqual([1, 0, 1])
    for (let gap = 0; gap < 20; gap++) {
      index.applyEvents(10 + 2 * gap, stored('y'), gap * 10_000)
      index.expireGaps(gap * 10_000 + CACHE_GAP_LIMIT_MS)
    }
    expect(index.confidence).toBe(CONFIDENCE_MIN)
  })

  it('stays within the size of the cache and evicts the end of the oldest prompt first', () => {
    const index = createPrefixIndex()
    index.updateState({ eventSequence: 0, blocksMax: 3 }, 0)
    index.addPrompt(['a', 'b', 'c'])
    index.addPrompt(['x'])
    expect([index.size, index.matchBlocks(['a', 'b', 'c']), index.matchBlocks(['x'])]).toEqual([3, 2, 1])
  })

  it('matches a naive in-order replay of all events, whatever the order of arrival', () => {
    const batch = fc.array(fc.record({
      kind: fc.constantFrom(CacheEventKind.Stored, CacheEventKind.Removed), block: fc.constantFrom('a', 'b', 'c', 'd')
    }), { maxLength: 4 })
    fc.assert(fc.property(fc.array(batch, { minLength: 1, maxLength: 10 }), fc.infiniteStream(fc.nat(100)), (batches, priorities) => {
      const naive = new Set<string>()
      for (const { kind, block } of batches.flat()) kind === CacheEventKind.Stored ? naive.add(block) : naive.delete(block)
      const index = createPrefixIndex()
      index.applyEvents(0, [], 0)
      const order = batches.map((events, i) => ({ events, sequence: i + 1, priority: priorities.next().value as number }))
      for (const { sequence, events } of order.sort((a, b) => a.priority - b.priority)) index.applyEvents(sequence, events, 0)
      for (const block of ['a', 'b', 'c', 'd']) expect(index.matchBlocks([block])).toBe(Number(naive.has(block)))
    }), { seed: 11, numRuns: 300 })
  })
})
