import { describe, expect, it } from 'vitest'
import { CrashPolicy, runCrashSchedule } from './crashSchedule.js'

const SEEDS = Array.from({ length: 20 }, (_, i) => 100_000 + i)
const runAll = (policy: CrashPolicy) => SEEDS.map(seed => runCrashSchedule(seed, policy))
const findLostMax = (policy: CrashPolicy) => Math.max(...runAll(policy).flatMap(({ lostByPoison }) => lostByPoison))
const countInnocentsQuarantined = (policy: CrashPolicy) => runAll(policy).reduce((sum, { innocentsQuarantined }) => sum + innocentsQuarantined, 0)

describe('requests that crash upstreams, resent every 200 ms through different entries', () => {
  it('crash at most 2 upstreams each and get no innocent request quarantined', () => {
    expect(findLostMax(CrashPolicy.Product)).toBeLessThanOrEqual(2)
    expect(countInnocentsQuarantined(CrashPolicy.Product)).toBe(0)
  })

  it.each([
    ['without quarantine', CrashPolicy.None],
    ['without notices on links', CrashPolicy.BroadcastOnly]
  ])('crash more than 2 upstreams %s, so the check above detects it', (_case, policy) => {
    expect(findLostMax(policy)).toBeGreaterThan(2)
  })

  it('get innocent requests quarantined when suspects do not run alone, so the check above detects it', () => {
    expect(countInnocentsQuarantined(CrashPolicy.CountOnly)).toBeGreaterThan(0)
  })
})
