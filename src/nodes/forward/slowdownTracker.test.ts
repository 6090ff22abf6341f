import { beforeEach, describe, expect, it } from 'vitest'
import { createManualClock, type ManualClock } from '../../core/index.js'
import type { FleetReport } from '../../peers/index.js'
import { EMPTY_CRASH_REPORT } from '../../quarantine/index.js'
import { createSlowdownTracker, SLOWDOWN_LIFETIME_MS, type SlowdownTracker } from './slowdownTracker.js'

const reportOf = (paces: Record<string, number>): FleetReport => ({
  configurationVersion: 1, storePositions: {}, running: {}, pauses: {}, crashes: EMPTY_CRASH_REPORT, workerLimits: [], paces
})

describe('slowdown factors of workers', () => {
  let clock: ManualClock
  let reports: FleetReport[]
  let changes: number
  let tracker: SlowdownTracker

  beforeEach(() => {
    clock = createManualClock(0)
    reports = []
    changes = 0
    tracker = createSlowdownTracker({ clock, reports: () => reports, log: () => {}, onChanged: () => { changes += 1 } })
  })

  it('are reported to peers when a worker becomes slow or healthy, not each time an agent resends them', () => {
    tracker.record('w1', 1)
    expect(changes).toBe(0)
    tracker.record('w2', 2.5)
    tracker.record('w2', 2.5)
    expect(tracker.slowWorkers()).toEqual({ w2: 2.5 })
    expect(changes).toBe(1)
    tracker.record('w2', 1)
    expect(tracker.slowWorkers()).toEqual({})
    expect(changes).toBe(2)
  })

  it('are also taken from the reports of peers', () => {
    reports = [reportOf({ w1: 4 })]
    tracker.record('w1', 2)
    expect([tracker.slowdownOf('w1'), tracker.slowdownOf('w2')]).toEqual([4, 1])
  })

  // Guards against a worker that is skipped forever because its agent stopped while the worker was slow.
  it('expire when no agent resends them', () => {
    tracker.record('w1', 4)
    clock.advance(SLOWDOWN_LIFETIME_MS)
    expect(tracker.slowdownOf('w1')).toBe(1)
  })
})
