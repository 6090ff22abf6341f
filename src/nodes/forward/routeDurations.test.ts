import { expect, it } from 'vitest'
import { createManualClock } from '../../core/index.js'
import { createRouteDurations, DURATION_PERIOD_MS } from './routeDurations.js'

it('keeps the longest duration of each route for one to two periods', () => {
  const clock = createManualClock(0)
  const durations = createRouteDurations({ clock })
  expect(durations.longestMs('a')).toBeUndefined()
  durations.record('a', 300)
  durations.record('a', 200)
  durations.record('b', 50)
  expect([durations.longestMs('a'), durations.longestMs('b')]).toEqual([300, 50])
  clock.advance(DURATION_PERIOD_MS)
  durations.record('a', 100)
  expect(durations.longestMs('a')).toBe(300)
  clock.advance(DURATION_PERIOD_MS)
  expect(durations.longestMs('a')).toBe(100)
  clock.advance(2 * DURATION_PERIOD_MS)
  expect(durations.longestMs('a')).toBeUndefined()
})
