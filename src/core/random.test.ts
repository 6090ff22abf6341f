import { expect, it } from 'vitest'
import { createRandom } from './random.js'

it('gives uncorrelated first numbers for small adjacent seeds', () => {
  const firsts = Array.from({ length: 200 }, (_, seed) => createRandom(seed).next())
  const mean = firsts.reduce((sum, first) => sum + first, 0) / firsts.length
  expect(mean).toBeGreaterThan(0.4)
  expect(mean).toBeLessThan(0.6)
  expect(new Set(firsts.map(first => Math.floor(first * 10))).size).toBe(10)
})
