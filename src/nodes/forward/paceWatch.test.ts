import { beforeEach, describe, expect, it } from 'vitest'
import { createManualClock, type ManualClock } from '../../core/index.js'
import type { PeerReport } from '../../membership/index.js'
import { createPaceWatch, PACE_KEEP_MS, type PaceWatch } from './paceWatch.js'

const reportOf = (paces: Record<string, number>): PeerReport => ({
  nodeId: 'c', incarnation: 'c-1', sequence: 1, zone: 'a', frontAddress: 'p:80', isReady: true, configurationVersion: 1, storeOffsets: {}, running: {}, pauses: {}, crashes: {}, paces
})

describe('paces of workers', () => {
  let clock: ManualClock
  let reports: PeerReport[]
  let changes: number
  let watch: PaceWatch

  beforeEach(() => {
    clock = createManualClock(0)
    reports = []
    changes = 0
    watch = createPaceWatch({ clock, reports: () => reports, log: () => {}, onChanged: () => { changes += 1 } })
  })

  it('are told to the others when a worker turns slow or sound, and not at each repeat', () => {
    watch.note('w1', 1)
    expect(changes).toBe(0)
    watch.note('w2', 2.5)
    watch.note('w2', 2.5)
    expect(watch.slow()).toEqual({ w2: 2.5 })
    expect(changes).toBe(1)
    watch.note('w2', 1)
    expect(watch.slow()).toEqual({})
    expect(changes).toBe(2)
  })

  it('are known from the reports of others', () => {
    reports = [reportOf({ w1: 4 })]
    watch.note('w1', 2)
    expect([watch.paceOf('w1'), watch.paceOf('w2')]).toEqual([4, 1])
  })

  // Guards against a worker that is passed over for ever because its agent went away while it was slow.
  it('are forgotten when no agent repeats them', () => {
    watch.note('w1', 4)
    clock.advance(PACE_KEEP_MS)
    expect(watch.paceOf('w1')).toBe(1)
  })
})
