import { beforeEach, describe, expect, it } from 'vitest'
import { createManualClock, type ManualClock } from '../../core/index.js'
import { type PeerReport, type Worker, WorkerState } from '../../membership/index.js'
import { createPaceWatch, PACE_KEEP_MS, PACE_READ_INTERVAL_MS, type PaceWatch } from './paceWatch.js'

const workerOf = (workerId: string): Worker => ({
  workerId, startedAtUnixMs: 1, service: 's', address: '10.0.0.1:80', zone: 'a', slots: 8, isDraining: false, state: WorkerState.Serving, missingSinceMs: undefined
})
const reportOf = (nodeId: string, paces: Record<string, number> = {}, isReady = true): PeerReport => ({
  nodeId, incarnation: nodeId, sequence: 1, zone: 'a', frontAddress: 'p:80', isReady, configurationVersion: 1, storeOffsets: {}, running: {}, pauses: {}, crashes: {}, paces
})

describe('paces of workers', () => {
  let clock: ManualClock
  let reports: PeerReport[]
  let paces: Record<string, number>
  let reads: string[]
  let changes: number
  let watch: PaceWatch

  beforeEach(() => {
    clock = createManualClock(0)
    reports = []
    paces = { w1: 1, w2: 2.5 }
    reads = []
    changes = 0
    watch = createPaceWatch({
      clock,
      nodeId: 'b',
      isReady: () => true,
      workers: () => [workerOf('w1'), workerOf('w2')],
      reports: () => reports,
      probe: {
        readPace: async ({ workerId }) => {
          reads.push(workerId)
          return paces[workerId]!
        }
      },
      log: () => {},
      onChanged: () => { changes += 1 }
    })
  })

  const tickAfter = async (durationMs: number) => {
    clock.advance(durationMs)
    watch.tick()
    await new Promise(resolve => setImmediate(resolve))
  }

  it('are read once a second, and slow workers are told to the others', async () => {
    await tickAfter(0)
    await tickAfter(PACE_READ_INTERVAL_MS / 2)
    expect(reads).toEqual(['w1', 'w2'])
    expect(watch.slow()).toEqual({ w2: 2.5 })
    expect(changes).toBe(1)
    await tickAfter(PACE_READ_INTERVAL_MS)
    expect(changes).toBe(1)
  })

  // Guards against a price for each entry where one is enough.
  it('are read by the ready entry with the lowest id only', async () => {
    reports = [reportOf('a'), reportOf('c')]
    await tickAfter(0)
    expect(reads).toEqual([])
    reports = [reportOf('a', {}, false), reportOf('c')]
    await tickAfter(0)
    expect(reads).toHaveLength(2)
  })

  it('are known from the reports of others, and forgotten when they are old', async () => {
    reports = [reportOf('c', { w1: 4 })]
    expect(watch.paceOf('w1')).toBe(4)
    await tickAfter(0)
    expect(watch.paceOf('w2')).toBe(2.5)
    reports = []
    clock.advance(PACE_KEEP_MS)
    expect([watch.paceOf('w1'), watch.paceOf('w2')]).toEqual([1, 1])
  })
})
