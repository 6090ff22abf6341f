import { beforeEach, describe, expect, it } from 'vitest'
import { createManualClock, type ManualClock } from '../../core/index.js'
import type { RankReading } from '../../expertMaps/index.js'
import { type Worker, WorkerState } from '../../membership/index.js'
import { createSilentRanks, DIRECT_READ_INTERVAL_MS, READING_SILENCE_MS, type SilentRanks } from './silentRanks.js'
import type { RankPort } from './types.js'

const workerOf = (rank: number): Worker => ({
  workerId: `w${rank}`, startedAtUnixMs: 1, service: 's', address: `10.0.0.${rank}:80`, zone: 'a', slots: 8, isDraining: false, state: WorkerState.Serving, missingSinceMs: undefined
})
const readingOf = (rank: number): RankReading => ({
  group: 'g', isOpen: true, ranks: 2, experts: [], choices: [], view: { rank, epoch: 1, step: 1, stepAtMs: 0, mapVersion: 0, preparedVersion: undefined, armed: undefined, heldStep: undefined }
})

describe('ranks whose agents are silent', () => {
  let clock: ManualClock
  let reads: string[]
  let received: number[]
  let silent: SilentRanks

  beforeEach(() => {
    clock = createManualClock(0)
    reads = []
    received = []
    const rankAt = ({ workerId }: Worker): RankPort => ({
      read: async () => {
        reads.push(workerId)
        return readingOf(Number(workerId.slice(1)))
      },
      order: async () => true
    })
    silent = createSilentRanks({
      clock, workers: () => [workerOf(1), workerOf(2)], rankAt, onReading: ({ view }) => received.push(view.rank), onFault: () => {}
    })
    silent.poll()
  })

  const pollAfter = async (durationMs: number) => {
    clock.advance(durationMs)
    silent.poll()
    await new Promise(resolve => setImmediate(resolve))
  }

  // Guards against reads over the network, which cost money, of ranks whose agents report.
  it('reads only those, and not more often than needed', async () => {
    await pollAfter(READING_SILENCE_MS / 2)
    silent.noteHeard('10.0.0.1')
    await pollAfter(READING_SILENCE_MS / 2)
    expect(reads).toEqual(['w2'])
    await pollAfter(DIRECT_READ_INTERVAL_MS - 1)
    expect(received).toEqual([2, 1])
    await pollAfter(1)
    expect(reads).toEqual(['w2', 'w1', 'w2'])
  })

  it('gives orders to a rank directly only while its agent is silent', async () => {
    expect(silent.find(2)).toBeUndefined()
    await pollAfter(READING_SILENCE_MS)
    expect(silent.find(2)).toBeDefined()
    silent.noteHeard('10.0.0.2')
    expect(silent.find(2)).toBeUndefined()
    expect(silent.find(1)).toBeDefined()
  })
})
