import { beforeEach, describe, expect, it } from 'vitest'
import { createManualClock, type ManualClock } from '../../core/index.js'
import type { RankReading } from '../../expertMaps/index.js'
import { type Worker, WorkerState } from '../../membership/index.js'
import { createRemoteRanks, DIRECT_RANKS_MAX, DIRECT_READ_INTERVAL_MS, READING_SILENCE_MS, type RemoteRanks, UNKNOWN_GROUP_READ_INTERVAL_MS } from './remoteRanks.js'
import type { RankPort } from './types.js'

const workerOf = (rank: number): Worker => ({
  workerId: `w${rank}`, startedAtUnixMs: 1, service: 's', address: `10.0.0.${rank}:80`, zone: 'a', slots: 8, isDraining: false, heartbeat: 1, storePosition: { era: 1, offset: 1 }, state: WorkerState.Serving, missingSinceMs: undefined
})
const readingOf = (rank: number): RankReading => ({
  group: 'g', isOpen: true, ranks: 2, pace: 1, experts: [], choices: [], view: { rank, epoch: 1, step: 1, stepAtMs: 0, mapVersion: 0, preparedVersion: undefined, armed: undefined, heldStep: undefined }
})

describe('ranks on other hosts', () => {
  let clock: ManualClock
  let reads: string[]
  let received: number[]
  let ranks: RemoteRanks
  let members: Record<string, boolean | undefined>
  let groups: Record<string, string>

  beforeEach(() => {
    clock = createManualClock(0)
    reads = []
    received = []
    groups = {}
    members = { '10.0.0.1': true, '10.0.0.2': true }
    const rankPortOf = ({ workerId }: Worker): RankPort => ({
      read: async () => {
        reads.push(workerId)
        return readingOf(Number(workerId.slice(1)))
      },
      order: async () => true
    })
    ranks = createRemoteRanks({
      clock, workers: () => [workerOf(1), workerOf(2)], isMember: ip => members[ip], rankPortOf, onReading: ({ view }) => received.push(view.rank), onGroup: (ip, group) => { groups[ip] = group }, onFault: () => {}
    })
    ranks.poll()
  })

  const pollAfter = async (durationMs: number) => {
    clock.advance(durationMs)
    ranks.poll()
    await new Promise(resolve => setImmediate(resolve))
  }

  // Guards against network reads, which cost money, of ranks whose agents send readings.
  it('are read only while their agents are silent, and not more often than needed', async () => {
    await pollAfter(READING_SILENCE_MS / 2)
    ranks.recordReading(1, '10.0.0.1')
    await pollAfter(READING_SILENCE_MS / 2)
    expect(reads).toEqual(['w2'])
    await pollAfter(DIRECT_READ_INTERVAL_MS - 1)
    expect(received).toEqual([2, 1])
    await pollAfter(1)
    expect(reads).toEqual(['w2', 'w1', 'w2'])
  })

  it('get orders directly while their agents are silent, and are found at any time once they are known', async () => {
    expect(ranks.findSilent(2)).toBeUndefined()
    await pollAfter(READING_SILENCE_MS)
    expect(ranks.findSilent(2)).toBeDefined()
    ranks.recordReading(2, '10.0.0.2')
    expect(ranks.findSilent(2)).toBeUndefined()
    expect(ranks.findSilent(1)).toBeDefined()
    expect(ranks.find(2)).toBeDefined()
    expect(ranks.find(7)).toBeUndefined()
  })

  // Guards against a coordinator that keeps reading the workers of every other group, whose agents send it nothing.
  it('are not read if they are in another group, and rarely while their group is not known', async () => {
    members = { '10.0.0.1': false, '10.0.0.2': undefined }
    await pollAfter(READING_SILENCE_MS)
    expect(reads).toEqual(['w2'])
    await pollAfter(UNKNOWN_GROUP_READ_INTERVAL_MS - 1)
    expect(reads).toEqual(['w2'])
    await pollAfter(1)
    expect(reads).toEqual(['w2', 'w2'])
    expect(groups).toEqual({ '10.0.0.2': 'g' })
    expect(received).toEqual([])
  })

  // Guards against a coordinator on an overloaded link that adds calls to every rank of a large group to it.
  it('are not reached directly while many of them are silent', async () => {
    const count = DIRECT_RANKS_MAX + 1
    const many = Array.from({ length: count }, (_, rank) => workerOf(rank))
    const directReads: string[] = []
    const remoteRanks = createRemoteRanks({
      clock,
      workers: () => many,
      isMember: () => true,
      rankPortOf: ({ workerId }) => ({
        read: async () => {
          directReads.push(workerId)
          return readingOf(Number(workerId.slice(1)))
        },
        order: async () => true
      }),
      onReading: () => {},
      onGroup: () => {},
      onFault: () => {}
    })
    remoteRanks.poll()
    clock.advance(READING_SILENCE_MS)
    remoteRanks.poll()
    expect(directReads).toEqual([])
    remoteRanks.recordReading(0, '10.0.0.0')
    remoteRanks.poll()
    expect(directReads).toHaveLength(DIRECT_RANKS_MAX)
  })
})
