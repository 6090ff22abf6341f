import { describe, expect, it } from 'vitest'
import { Priority } from '../configuration/index.js'
import { createManualClock, createRandom, Outcome, RESULT_TABLE, ResultCode } from '../core/index.js'
import {
  AdmissionEffectKind, AdmissionMessageKind, CoordinatorMessageKind, CustomerLimitsEffectKind, CustomerLimitsMessageKind,
  RetryBudgetEffectKind, RetryBudgetMessageKind, SHARE_LIFETIME_MS, START_WAIT_LIMIT_MS
} from './constants.js'
import { createAdmission } from './createAdmission.js'
import { createCustomerLimits } from './createCustomerLimits.js'
import { createLimitCoordinator } from './createLimitCoordinator.js'
import { createRetryBudget } from './createRetryBudget.js'
import type { LimitDemand, LimitGrant } from './types.js'

const limitKey = 'quotes/large'
const limit = { requestsPerS: 10, concurrentMax: 4, burstRequests: 4 }
const memberIds = ['e1', 'e2']

const createLimits = () => {
  const clock = createManualClock(1_000_000)
  const limits = createCustomerLimits({ clock, selfId: 'e1' })
  let counter = 0
  const admit = () => limits.handle({ kind: CustomerLimitsMessageKind.AdmitRequested, requestId: `r${counter++}`, limitKey, limit, memberIds })[0]!
  const grant = (share: LimitGrant['share'], demandSequence = 1, ageMs = 0) => limits.handle({
    kind: CustomerLimitsMessageKind.ShareReceived,
    memberIds,
    grant: { limitKey, limit, share, coordinatorId: 'e2', demandSequence, demandSentMs: clock.nowMs() - ageMs }
  })
  const admitAll = (count: number) => Array.from({ length: count }, admit).filter(({ kind }) => kind === CustomerLimitsEffectKind.Admitted).length
  return { clock, limits, admit, grant, admitAll }
}

const share = (requestsPerS: number, concurrentMax = 100) => ({ requestsPerS, concurrentMax, burstRequests: requestsPerS })

describe('customer limits', () => {
  it('starts with an equal share and refuses with result codes of its own whose outcome is not run', () => {
    const { admitAll, admit, clock } = createLimits()
    expect(admitAll(10)).toBe(2)
    const refused = admit()
    expect(refused).toMatchObject({ code: ResultCode.CustomerRateLimited, retryAfterMs: 200 })
    clock.advance(1_000)
    expect(admit()).toMatchObject({ code: ResultCode.CustomerConcurrencyLimited })
    expect(RESULT_TABLE[ResultCode.CustomerRateLimited].outcome).toBe(Outcome.NotRun)
  })

  it.each([
    ['a grant is used', 1, 0, 0, 8],
    ['a grant that arrives after its lifetime is ignored', 1, SHARE_LIFETIME_MS, 0, 2],
    ['an expired grant falls back to the equal share', 1, 0, SHARE_LIFETIME_MS, 2]
  ])('shares: %s', (_case, sequence, ageMs, waitMs, expected) => {
    const { admitAll, clock, grant } = createLimits()
    grant(share(8), sequence, ageMs)
    clock.advance(1_000)
    clock.advance(Math.max(0, waitMs - 1_000))
    expect(admitAll(20)).toBe(expected)
  })

  it('ignores a reordered grant that replies to an older demand', () => {
    const { admitAll, clock, grant } = createLimits()
    grant(share(2), 5)
    grant(share(9), 4)
    clock.advance(1_000)
    expect(admitAll(20)).toBe(2)
  })

  it('frees a concurrency slot once when a request ends', () => {
    const { admit, clock, limits } = createLimits()
    admit()
    admit()
    limits.handle({ kind: CustomerLimitsMessageKind.Ended, requestId: 'r0' })
    limits.handle({ kind: CustomerLimitsMessageKind.Ended, requestId: 'r0' })
    clock.advance(1_000)
    expect([admit().kind, admit().kind]).toEqual([CustomerLimitsEffectKind.Admitted, CustomerLimitsEffectKind.Refused])
  })
})

describe('limit coordinator', () => {
  const createCoordinator = () => {
    const clock = createManualClock(1_000_000)
    const coordinator = createLimitCoordinator({ clock, selfId: 'e1' })
    const sequences = new Map<string, number>()
    const held = new Map<string, LimitDemand['held']>()
    const demand = (fromId: string, offeredPerS: number, confirms = true) => {
      const sequence = (sequences.get(fromId) ?? 0) + 1
      sequences.set(fromId, sequence)
      const effects = coordinator.handle({
        kind: CoordinatorMessageKind.DemandReceived,
        fromId,
        memberIds,
        demand: { limitKey, limit, sequence, sentMs: clock.nowMs(), offeredPerS, wantedConcurrent: 1, runningRequests: 0, held: confirms ? held.get(fromId) : undefined }
      })
      for (const { toId, grant } of effects) held.set(toId, { share: grant.share, sequence: grant.demandSequence, coordinatorId: 'e1' })
      return effects.find(({ toId }) => toId === fromId)!.grant.share.requestsPerS
    }
    return { clock, demand }
  }

  it('moves shares to the entry with the demand', () => {
    const { demand } = createCoordinator()
    demand('e1', 100)
    demand('e2', 0)
    for (let i = 0; i < 4; i++) {
      demand('e1', 100)
      demand('e2', 0)
    }
    expect(demand('e1', 100)).toBeCloseTo(10, 1)
  })

  it('does not raise a share while another entry may still use its earlier, larger one', () => {
    const { clock, demand } = createCoordinator()
    demand('e1', 100)
    demand('e2', 100)
    // The grant that lowers e2 is lost: e2 does not confirm it.
    expect(demand('e2', 0, false)).toBeLessThanOrEqual(5)
    expect(demand('e1', 100)).toBeCloseTo(5, 5)
    clock.advance(2 * SHARE_LIFETIME_MS)
    // e2 receives the smaller share in one round and confirms it in the next.
    demand('e1', 100)
    demand('e2', 0)
    demand('e2', 0)
    expect(demand('e1', 100)).toBeGreaterThan(9)
  })
})

describe('retry budget', () => {
  it('allows one retry per ten requests for each customer and pool, up to a maximum', () => {
    const budget = createRetryBudget()
    const requests = (customer: string, count: number) => {
      for (let i = 0; i < count; i++) budget.handle({ kind: RetryBudgetMessageKind.RequestSeen, customer, pool: 'p', ratio: 0.1 })
    }
    const retries = (customer: string, count: number) => Array.from({ length: count }, () =>
      budget.handle({ kind: RetryBudgetMessageKind.RetryRequested, requestId: 'r', customer, pool: 'p' })[0]!)
      .filter(({ kind }) => kind === RetryBudgetEffectKind.RetryAllowed).length
    requests('a', 1)
    expect(retries('a', 100)).toBe(10)
    requests('a', 20)
    expect(retries('a', 100)).toBe(2)
    expect(retries('unknown', 5)).toBe(0)
    requests('b', 1_000)
    expect(retries('b', 1_000)).toBe(10)
  })
})

describe('admission', () => {
  const createTest = () => {
    const clock = createManualClock()
    const admission = createAdmission({ clock, random: createRandom(1) })
    const admit = (predictedWaitMs: number, { customer = 'a', priority = Priority.Standard, deadlineMs = 60_000, tokens = 1 } = {}) => admission.handle({
      kind: AdmissionMessageKind.AdmitRequested, requestId: 'r', customer, priority, tokens, deadlineMs, predictedFirstTokenMs: predictedWaitMs + 50, predictedWaitMs
    })[0]!
    const admittedOf = (count: number, ...args: Parameters<typeof admit>) =>
      Array.from({ length: count }, () => admit(...args)).filter(({ kind }) => kind === AdmissionEffectKind.Admitted).length
    return { clock, admission, admit, admittedOf }
  }

  it('refuses requests that cannot meet their deadline, including the mean stream duration', () => {
    const { admission, admit } = createTest()
    expect(admit(0, { deadlineMs: 40 })).toMatchObject({ code: ResultCode.DeadlineUnreachable })
    expect(admit(0, { deadlineMs: 1_000 }).kind).toBe(AdmissionEffectKind.Admitted)
    for (let i = 0; i < 100; i++) admission.handle({ kind: AdmissionMessageKind.Ended, requestId: 'r', streamMs: 2_000 })
    expect(admit(0, { deadlineMs: 1_000 })).toMatchObject({ code: ResultCode.DeadlineUnreachable })
  })

  it('refuses the lowest priority first', () => {
    const { admittedOf } = createTest()
    const counts = Object.values(Priority).map(priority => admittedOf(200, 0.4 * START_WAIT_LIMIT_MS, { priority }))
    expect(counts[0]).toBe(200)
    expect(counts[1]).toBeGreaterThan(100)
    expect(counts[2]).toBe(0)
    expect(admittedOf(50, 0, { priority: Priority.Batch })).toBe(50)
  })

  it('refuses a customer above its share first', () => {
    const { admit, admittedOf } = createTest()
    for (const customer of ['b', 'c', 'd', 'e']) admit(0, { customer, tokens: 100 })
    admit(0, { customer: 'large', tokens: 10_000 })
    const waitMs = 0.29 * START_WAIT_LIMIT_MS
    expect(admittedOf(100, waitMs, { customer: 'b' })).toBe(100)
    expect(admittedOf(100, waitMs, { customer: 'large' })).toBeLessThan(50)
  })
})
