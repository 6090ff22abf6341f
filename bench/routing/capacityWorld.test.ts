import { setImmediate as nextTurn } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import type { Random } from '../../src/core/index.js'
import { type CapacityFigures, type CapacityWorldOptions, playCapacityWorld, type WorldUpstream } from './capacityWorld.js'

// The test runner gives up on a worker process that handles no messages for 60 s.
afterEach(async () => { await nextTurn() })

const SEEDS = [1, 2, 3]
const ZONES = ['a', 'b', 'c'] as const
const DURATION_MS = 40_000

type Load = Omit<CapacityWorldOptions, 'seed' | 'isLearned' | 'durationMs'> & { durationMs?: number }

const mean = (figures: readonly CapacityFigures[], read: (figures: CapacityFigures) => number) =>
  figures.reduce((sum, one) => sum + read(one), 0) / figures.length

/** Plays the same load with fixed slots and with learned capacity. */
const compare = (load: Load) => {
  const play = (isLearned: boolean) => {
    const figures = SEEDS.map(seed => playCapacityWorld({ durationMs: DURATION_MS, ...load, seed, isLearned }))
    return {
      lateShare: 1 - mean(figures, ({ onTimeShare }) => onTimeShare),
      p95Ms: mean(figures, ({ p95Ms }) => p95Ms),
      busiestOverMean: mean(figures, ({ busiestOverMean }) => busiestOverMean),
      figures
    }
  }
  return { fixed: play(false), learned: play(true) }
}

/** Each upstream in turn works slower for 5 s, then all work as usual for 5 s. */
const inTurn = (factor: number): WorldUpstream[] => ZONES.map((zone, index) => ({
  zone, slowness: nowMs => Math.floor(nowMs / 5_000) % (ZONES.length + 1) === index ? factor : 1
}))

const slowBetween = (fromMs: number, toMs: number, factor: number): WorldUpstream[] => [
  { zone: 'a', slowness: nowMs => nowMs >= fromMs && nowMs < toMs ? factor : 1 }, { zone: 'b' }, { zone: 'c' }
]

describe('what callers get from upstreams that differ, compared with fixed slots', () => {
  it.each([
    ['one of three four times slower for good', { entries: 17, requestsPerS: 100, upstreams: slowBetween(0, Infinity, 4) }, 0.4, 0.5],
    ['each in turn eight times slower for 5 s', { entries: 17, requestsPerS: 100, upstreams: inTurn(8) }, 0.7, 0.8],
    ['each in turn four times slower for 5 s', { entries: 17, requestsPerS: 100, upstreams: inTurn(4) }, 0.75, 0.9],
    ['each in turn eight times slower, few requests', { entries: 17, requestsPerS: 20, upstreams: inTurn(8) }, 0.8, 1],
    ['two of five three times slower for good', { entries: 72, requestsPerS: 150, upstreams: [...slowBetween(0, Infinity, 3), { zone: 'b', slowness: () => 3 }, { zone: 'a' }] }, 0.6, 0.9],
    ['two of five slow down long before they are full', { entries: 72, requestsPerS: 150, upstreams: [{ zone: 'a', knee: 1 }, { zone: 'b', knee: 2 }, { zone: 'c' }, { zone: 'a' }, { zone: 'b' }] }, 0.65, 0.75]
  ] as const)('%s', (_name, load, lateShareMax, p95ShareMax) => {
    const { fixed, learned } = compare(load)
    expect(learned.lateShare / fixed.lateShare).toBeLessThan(lateShareMax)
    expect(learned.p95Ms / fixed.p95Ms).toBeLessThan(p95ShareMax)
  })

  it('spreads the work by what each upstream can do', () => {
    const { fixed, learned } = compare({ entries: 17, requestsPerS: 100, upstreams: slowBetween(0, Infinity, 4) })
    expect(fixed.busiestOverMean).toBeGreaterThan(1.5)
    expect(learned.busiestOverMean).toBeLessThan(1.2)
  })

  it('follows a slowdown and a recovery within a few seconds', () => {
    const { fixed, learned } = compare({ entries: 72, requestsPerS: 60, upstreams: slowBetween(15_000, 30_000, 4), countedFromMs: 18_000, countedToMs: 30_000 })
    expect(learned.lateShare / fixed.lateShare).toBeLessThan(0.4)
    const recovered = compare({ entries: 72, requestsPerS: 60, upstreams: slowBetween(5_000, 12_000, 4), countedFromMs: 18_000 }).learned
    // The upstream gets its share again: a third of the work.
    expect(recovered.busiestOverMean).toBeLessThan(1.15)
  })

  it('sends to an upstream that is new under the same id as to any other', () => {
    const upstreams: WorldUpstream[] = [
      { zone: 'a', slowness: nowMs => nowMs >= 5_000 && nowMs < 15_000 ? 8 : 1, restartsAtMs: 15_000 }, { zone: 'b' }, { zone: 'c' }
    ]
    const { learned } = compare({ entries: 24, requestsPerS: 60, upstreams, countedFromMs: 15_500, countedToMs: 20_000, durationMs: 20_000 })
    expect(learned.busiestOverMean).toBeLessThan(1.2)
  })
})

describe('upstreams that do not differ', () => {
  // Guards against a placement that differs from the one by slots, and against reports that grow, without a reason.
  it('are placed exactly as by their slots, and add no bytes to the reports', () => {
    const { fixed, learned } = compare({ entries: 72, requestsPerS: 20, upstreams: ZONES.map(zone => ({ zone })), serviceMs: random => random.int(20, 60) })
    expect(learned.figures.map(({ changes, reportedBytes }) => ({ changes, reportedBytes }))).toEqual(SEEDS.map(() => ({ changes: [], reportedBytes: 0 })))
    expect(learned.figures.map(({ sent }) => sent)).toEqual(fixed.figures.map(({ sent }) => sent))
  })

  it('keep their callers on time beside single responses that take very long', () => {
    const oneInFifty = (random: Random) => random.next() < 0.02 ? 2_000 : random.int(15, 90)
    const { fixed, learned } = compare({ entries: 24, requestsPerS: 60, upstreams: ZONES.map(zone => ({ zone })), serviceMs: oneInFifty })
    expect(learned.lateShare).toBeLessThan(fixed.lateShare + 0.005)
    expect(learned.busiestOverMean).toBeLessThan(1.25)
  })
})
