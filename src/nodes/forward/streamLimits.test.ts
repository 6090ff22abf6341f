import { beforeEach, describe, expect, it } from 'vitest'
import type { PeerReport } from '../../membership/index.js'
import { createStreamLimits, type StreamLimits } from './streamLimits.js'

const WORKERS = 10
const OBJECTIVE_MS = 120
const LONG_MS = 300
const SHORT_MS = 20

const reportOf = (pauses: PeerReport['pauses']): PeerReport => ({
  nodeId: 'p', incarnation: 'p-1', sequence: 1, zone: 'a', frontAddress: 'p:80', isReady: true, configurationVersion: 1, storeOffsets: {}, running: {}, crashes: {}, paces: {}, pauses
})

describe('limits of streams by service', () => {
  let limits: StreamLimits

  beforeEach(() => {
    limits = createStreamLimits({ workersOf: () => WORKERS, runningIn: () => WORKERS * 4, log: () => {} })
  })

  const note = (service: string, pauseMs: number) => {
    for (let at = 0; at < 50; at++) limits.of(service).recordEventGap(pauseMs, OBJECTIVE_MS)
  }

  // Guards against one service whose long pauses lower the limit of another one.
  it('adjusts each service by its own pauses', () => {
    note('slow', LONG_MS)
    note('fast', SHORT_MS)
    const before = limits.inForce()
    limits.adjust([])
    expect(limits.inForce().slow).toBeLessThan(before.slow!)
    expect(limits.inForce().fast).toBeGreaterThanOrEqual(before.fast!)
  })

  it('reports the pauses of every service, not only of the one adjusted last', () => {
    note('slow', LONG_MS)
    note('fast', SHORT_MS)
    limits.adjust([])
    expect(limits.ownPauses()).toEqual({ slow: { pauseCount: 50, pauseSumMs: 50 * LONG_MS }, fast: { pauseCount: 50, pauseSumMs: 50 * SHORT_MS } })
    limits.adjust([])
    expect(limits.ownPauses().slow).toEqual({ pauseCount: 0, pauseSumMs: 0 })
  })

  it('counts the pauses that peers report for the same service', () => {
    note('slow', SHORT_MS)
    const before = limits.inForce().slow!
    limits.adjust([reportOf({ slow: { pauseCount: 500, pauseSumMs: 500 * LONG_MS }, other: { pauseCount: 9, pauseSumMs: 1 } })])
    expect(limits.inForce().slow).toBeLessThan(before)
  })
})
