import { expect, it } from 'vitest'
import { createManualClock } from '../../core/index.js'
import { createPaceNotices, PACE_NOTICE_INTERVAL_MS } from './paceNotices.js'

// Guards against a slow worker that no entry hears of, and against datagrams about sound ones.
it('a slow worker is told at once and again and again, and a sound one only after it was slow', () => {
  const clock = createManualClock(0)
  const notices = createPaceNotices({ clock })
  const sent = (pace: number, durationMs = 100) => {
    clock.advance(durationMs)
    return notices.onReading('w', pace)?.pace
  }
  expect(sent(1, 10_000)).toBeUndefined()
  expect(sent(3)).toBe(3)
  expect(sent(3)).toBeUndefined()
  expect(sent(3, PACE_NOTICE_INTERVAL_MS)).toBe(3)
  expect(sent(1)).toBe(1)
  expect([1, 2, 3, 4].map(() => sent(1, PACE_NOTICE_INTERVAL_MS))).toEqual([1, 1, undefined, undefined])
})
