import { beforeEach, describe, expect, it } from 'vitest'
import type { FleetReport } from '../../peers/index.js'
import { EMPTY_CRASH_REPORT } from '../../quarantine/index.js'
import { createStreamLimits, type StreamLimits } from './streamLimits.js'

const WORKERS = 10
const GAP_TARGET_MS = 120
const LONG_MS = 300
const SHORT_MS = 20

const reportOf = (pauses: FleetReport['pauses']): FleetReport => ({
  configurationVersion: 1, storePositions: {}, running: {}, crashes: EMPTY_CRASH_REPORT, paces: {}, workerLimits: [], pauses
})

describe('stream limits by service', () => {
  let limits: StreamLimits

  beforeEach(() => {
    limits = createStreamLimits({ countUsableWorkers: () => WORKERS, runningIn: () => WORKERS * 4, log: () => {} })
  })

  const recordGaps = (service: string, gapMs: number) => {
    for (let count = 0; count < 50; count++) limits.of(service).recordEventGap(gapMs, GAP_TARGET_MS)
  }

  // Guards against long gaps of one service that lower the limit of another.
  it('adjusts each service by its own gaps', () => {
    recordGaps('slow', LONG_MS)
    recordGaps('fast', SHORT_MS)
    const before = limits.inForce()
    limits.adjust([])
    expect(limits.inForce().slow).toBeLessThan(before.slow!)
    expect(limits.inForce().fast).toBeGreaterThanOrEqual(before.fast!)
  })

  it('reports the gaps of every service, not only of the one adjusted last', () => {
    recordGaps('slow', LONG_MS)
    recordGaps('fast', SHORT_MS)
    limits.adjust([])
    expect(limits.ownEventGaps()).toEqual({ slow: { pauseCount: 50, pauseSumMs: 50 * LONG_MS }, fast: { pauseCount: 50, pauseSumMs: 50 * SHORT_MS } })
    limits.adjust([])
    expect(limits.ownEventGaps().slow).toEqual({ pauseCount: 0, pauseSumMs: 0 })
  })

  it('counts the gaps that peers report for the same service', () => {
    recordGaps('slow', SHORT_MS)
    const before = limits.inForce().slow!
    limits.adjust([reportOf({ slow: { pauseCount: 500, pauseSumMs: 500 * LONG_MS }, other: { pauseCount: 9, pauseSumMs: 1 } })])
    expect(limits.inForce().slow).toBeLessThan(before)
  })
})
