import { describe, expect, it } from 'vitest'
import { runLimitScenario } from './limitOvershoot.js'
import { measureRetries } from './retries.js'
import { createRoundRobin, createRouters } from './dispatchers.js'
import { runScenario } from './scenario.js'
import { selectionSettings } from './selection.js'

const steady = { isPartitioned: false, losesCoordinator: false, lossRatio: 0.1, isNaive: false }

describe('fleet-wide limits at a demand of ten times the limit', () => {
  it.each([
    ['with a tenth of the messages lost', steady, 1.1],
    ['with the coordinator lost', { ...steady, losesCoordinator: true }, 1.1],
    ['with 60% of the messages lost', { ...steady, lossRatio: 0.6 }, 1.1],
    ['with all messages lost', { ...steady, lossRatio: 1 }, 1.1],
    ['during a network partition', { ...steady, isPartitioned: true }, 2]
  ])('hold %s', (_case, scenario, bound) => {
    for (const seed of [1, 2, 3]) {
      const { rateOvershoot, concurrencyOvershoot } = runLimitScenario(seed, scenario)
      expect(rateOvershoot).toBeLessThanOrEqual(bound)
      expect(concurrencyOvershoot).toBeLessThanOrEqual(bound)
    }
  })

  it('are used in full: the division among entries leaves little of the limit unused', () => {
    expect(runLimitScenario(1, steady).usedShare).toBeGreaterThan(0.9)
  })

  it('are exceeded when every entry enforces the entire limit, which shows that the check detects overshoot', () => {
    expect(runLimitScenario(1, { ...steady, isNaive: true }).rateOvershoot).toBeGreaterThan(1.1)
  })
})

describe('retries while a third of the upstreams fails', () => {
  it('add at most a tenth of attempts, and more without retry budget and ejection', () => {
    const [figure] = measureRetries(1)
    expect(figure!.value).toBeLessThanOrEqual(1.1)
    expect(figure!.baseline).toBeGreaterThan(1.1)
  })
})

describe('routing with delayed reports and an upstream at a third of the normal speed', () => {
  it('halves the time to first token of round robin and raises the prefix hit ratio', () => {
    const settings = { ...selectionSettings(5, 12), durationMs: 30_000, warmUpMs: 10_000 }
    const [routed, naive] = [createRouters(), createRoundRobin].map(create => runScenario(settings, create))
    const p95 = (samples: number[]) => samples.sort((a, b) => a - b)[Math.floor(samples.length * 0.95)]!
    expect(p95(routed!.firstTokenMs)).toBeLessThan(0.5 * p95(naive!.firstTokenMs))
    expect(routed!.hitRatio).toBeGreaterThan(1.8 * naive!.hitRatio)
  })
})
