import { describe, expect, it } from 'vitest'
import { createManualClock } from '../core/index.js'
import { createRepeatBudget } from './createRepeatBudget.js'
import { createStreamLimit } from './createStreamLimit.js'

describe('budget for repeats', () => {
  const settings = { ratio: 0.2, windowMs: 10_000, fleetSlack: 200 }

  // Guards against a fleet whose entries each keep the budget and break it together.
  it.each([1, 12, 18, 60])('keeps the limit of the fleet when all of %i entries use theirs up', entries => {
    const clock = createManualClock(100_000)
    const budgets = Array.from({ length: entries }, () => createRepeatBudget({ clock, settings: () => settings, countEntries: () => entries }))
    const requests = 20
    const taken = budgets.reduce((sum, budget) => {
      for (let at = 0; at < requests; at++) budget.noteRequest('s')
      let count = 0
      while (budget.take('s')) count += 1
      return sum + count
    }, 0)
    expect(taken).toBeLessThanOrEqual(requests * entries * settings.ratio + settings.fleetSlack)
    expect(taken).toBeGreaterThan(0)
  })

  it('frees the budget after the window, for each service apart', () => {
    const clock = createManualClock(100_000)
    const budget = createRepeatBudget({ clock, settings: () => settings, countEntries: () => 18 })
    while (budget.take('s'));
    expect(budget.take('other')).toBe(true)
    clock.advance(settings.windowMs / 2)
    expect(budget.take('s')).toBe(false)
    clock.advance(settings.windowMs)
    expect(budget.take('s')).toBe(true)
  })
})

describe('limit of streams', () => {
  const WORKERS = 12
  const windowOf = (meanMs: number) => ({ pauseCount: 100, pauseSumMs: 100 * meanMs })

  it('falls when pauses come near their objective, and rises only while it binds', () => {
    const limit = createStreamLimit()
    limit.notePause(90, 120)
    limit.adjust(windowOf(50), { runningStreams: 10, workers: WORKERS })
    const first = limit.streamsFor(WORKERS)
    limit.adjust(windowOf(50), { runningStreams: first, workers: WORKERS })
    const risen = limit.streamsFor(WORKERS)
    expect(risen).toBeGreaterThan(first)
    limit.adjust(windowOf(50), { runningStreams: 5, workers: WORKERS })
    expect(limit.streamsFor(WORKERS)).toBe(risen)
    limit.adjust(windowOf(160), { runningStreams: risen, workers: WORKERS })
    expect(limit.streamsFor(WORKERS)).toBeLessThan(risen)
  })

  // Guards against a process that refuses its first requests because no adjustment has told it the size of the group.
  it('counts all workers of the group before its first adjustment', () => {
    expect(createStreamLimit().streamsFor(WORKERS)).toBe(WORKERS * createStreamLimit().streamsFor(1))
  })

  it('stays above its floor however long the pauses are', () => {
    const limit = createStreamLimit()
    limit.notePause(500, 120)
    for (let at = 0; at < 100; at++) limit.adjust(windowOf(900), { runningStreams: limit.streamsFor(WORKERS), workers: WORKERS })
    expect(limit.streamsFor(WORKERS)).toBeGreaterThanOrEqual(WORKERS / 2)
  })

  it('is not moved by a few pauses', () => {
    const limit = createStreamLimit()
    limit.notePause(500, 120)
    limit.adjust({ pauseCount: 2, pauseSumMs: 1_000 }, { runningStreams: 40, workers: WORKERS })
    const before = limit.streamsFor(WORKERS)
    limit.adjust({ pauseCount: 2, pauseSumMs: 1_000 }, { runningStreams: 40, workers: WORKERS })
    expect(limit.streamsFor(WORKERS)).toBe(before)
  })
})
