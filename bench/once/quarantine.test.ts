import { describe, expect, it } from 'vitest'
import { CrashPolicy, runCrashSchedule } from './crashSchedule.js'

const SEEDS = Array.from({ length: 20 }, (_, i) => 100_000 + i)
const runAll = (policy: CrashPolicy) => SEEDS.map(seed => runCrashSchedule(seed, policy))
const mostLost = (policy: CrashPolicy) => Math.max(...runAll(policy).flatMap(({ lostByPoison }) => lostByPoison))
const innocents = (policy: CrashPolicy) => runAll(policy).reduce((sum, { innocentsQuarantined }) => sum + innocentsQuarantined, 0)

describe('crashing requests resent every 200 ms through different entries', () => {
  it('cost at most 2 upstreams each and harm no innocent request', () => {
    expect(mostLost(CrashPolicy.Product)).toBeLessThanOrEqual(2)
    expect(innocents(CrashPolicy.Product)).toBe(0)
  })

  it.each([
    ['without quarantine', CrashPolicy.None],
    ['without notices on links', CrashPolicy.BroadcastOnly]
  ])('the count of lost upstreams fires %s', (_case, policy) => {
    expect(mostLost(policy)).toBeGreaterThan(2)
  })

  it('the count of innocents fires when suspects do not run alone', () => {
    expect(innocents(CrashPolicy.CountOnly)).toBeGreaterThan(0)
  })
})
