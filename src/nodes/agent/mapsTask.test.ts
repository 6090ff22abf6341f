import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { RankClient, StepResult } from '../../clients/index.js'
import type { PoolRow } from '../../configuration/index.js'
import { createManualClock } from '../../core/index.js'
import type { Metrics } from '../../observe/index.js'
import { createMapsTask, type MapsTask } from './mapsTask.js'

const GROUP = { ranks: 1, layers: 1, experts: 2, expertBytes: 8 }
const PASSED_MS = 3_000

describe('the expert map of a rank', () => {
  let calls: string[]
  let failures: number
  let failedSteps: number
  let maps: MapsTask

  beforeEach(() => {
    vi.useFakeTimers()
    calls = []
    failures = 0
    failedSteps = 0
    const client: RankClient = {
      nextStep: async () => calls.filter(call => call.startsWith('step ')).length + 1,
      setMap: async ({ hash }) => {
        if (failures-- > 0) {
          calls.push('refused')
          throw new Error('status 503')
        }
        calls.push(`map ${hash}`)
      },
      runStep: (step, hash) => {
        calls.push(`step ${step} with ${hash}`)
        return failedSteps-- > 0 ? Promise.reject(new Error('other side closed')) : new Promise<StepResult>(() => {})
      },
      copyFromPeer: async () => {},
      loadWeights: async () => {},
      dropWeights: async () => {},
      close: async () => {}
    }
    maps = createMapsTask({
      clock: createManualClock(),
      incarnation: 'a1',
      settings: { name: 'g', rank: 0, reportIntervalMs: 1_000, planIntervalMs: 1_000 },
      client,
      weightStoreUrl: undefined,
      metrics: { record: () => {} } as Partial<Metrics> as Metrics,
      sendTo: () => {},
      onExplanation: () => {}
    })
  })
  afterEach(() => {
    maps.stop()
    vi.useRealTimers()
  })

  // Guards against a step that the engine runs without its map, because the call that hands it over got no answer.
  it.each([0, 1, 3])('reaches the engine before the first step that uses it, after %i failed calls', async failed => {
    failures = failed
    maps.setRow({ group: GROUP } as unknown as PoolRow)
    await vi.advanceTimersByTimeAsync(PASSED_MS)
    const hash = calls.find(call => call.startsWith('map '))?.slice('map '.length)
    expect(calls).toEqual([...Array.from({ length: failed }, () => 'refused'), `map ${hash}`, `step 1 with ${hash}`])
  })

  // Guards against an engine that has restarted, knows no map any more and computes as if it hosted nothing.
  it('reaches the engine again after a step that failed', async () => {
    failedSteps = 1
    maps.setRow({ group: GROUP } as unknown as PoolRow)
    await vi.advanceTimersByTimeAsync(PASSED_MS)
    const [handOver] = calls
    expect(calls.map(call => call.split(' with ')[0])).toEqual([handOver, 'step 1', handOver, 'step 2'])
  })
})
