import { expect, it } from 'vitest'
import { createManualClock } from '../../core/index.js'
import { createSlowdownNotices, SLOWDOWN_NOTICE_INTERVAL_MS } from './slowdownNotices.js'

// Guards against a slow worker that is not reported to any entry, and against datagrams about healthy workers.
it('reports a slow worker at once and then periodically, and a healthy one only after it was slow', () => {
  const clock = createManualClock(0)
  const notices = createSlowdownNotices({ clock })
  const sent = (slowdownFactor: number, durationMs = 100) => {
    clock.advance(durationMs)
    return notices.onReading('w', slowdownFactor)?.pace
  }
  expect(sent(1, 10_000)).toBeUndefined()
  expect(sent(3)).toBe(3)
  expect(sent(3)).toBeUndefined()
  expect(sent(3, SLOWDOWN_NOTICE_INTERVAL_MS)).toBe(3)
  expect(sent(1)).toBe(1)
  expect([1, 2, 3, 4].map(() => sent(1, SLOWDOWN_NOTICE_INTERVAL_MS))).toEqual([1, 1, undefined, undefined])
})
