import { beforeEach, describe, expect, it } from 'vitest'
import { createManualClock, type ManualClock } from '../core/index.js'
import { LIFTED_LIMIT_KEEP_MS } from './constants.js'
import { createRateLimitTable, type RateLimitTable } from './createRateLimitTable.js'

const RUN = { workerId: 'w1', startedAtUnixMs: 5 }
const LIMITED = { limitPerS: 1.6, isLeaving: false, pauseMs: undefined }
const UNLIMITED = { limitPerS: undefined, isLeaving: false, pauseMs: undefined }

describe('limits that workers name', () => {
  let clock: ManualClock
  let limits: RateLimitTable

  beforeEach(() => {
    clock = createManualClock(1_000)
    limits = createRateLimitTable({ clock })
  })

  it('hold until a response names another one or none', () => {
    expect(limits.record(RUN, LIMITED, 900)).toBe(true)
    expect(limits.record(RUN, LIMITED, 950)).toBe(false)
    expect(limits.limitOf(RUN)).toBe(1.6)
    clock.advance(60_000)
    expect(limits.limitOf(RUN)).toBe(1.6)
    expect(limits.record(RUN, { limitPerS: 0.8, isLeaving: false, pauseMs: undefined }, clock.nowMs())).toBe(true)
    expect(limits.record(RUN, UNLIMITED, clock.nowMs())).toBe(true)
    expect(limits.limitOf(RUN)).toBeUndefined()
  })

  // Guards against a limit that is dropped because of a response that the worker began before it named the limit.
  it('are not lifted by the response to a request that was sent before they were known', () => {
    limits.record(RUN, LIMITED, 900)
    clock.advance(100)
    expect(limits.record(RUN, UNLIMITED, 950)).toBe(false)
    expect(limits.limitOf(RUN)).toBe(1.6)
  })

  it('belong to one run of a worker', () => {
    limits.record(RUN, LIMITED, 900)
    expect(limits.limitOf({ ...RUN, startedAtUnixMs: 6 })).toBeUndefined()
    limits.record({ ...RUN, startedAtUnixMs: 6 }, { limitPerS: 3, isLeaving: false, pauseMs: undefined }, 950)
    expect(limits.record(RUN, LIMITED, 950)).toBe(false)
    expect(limits.limitOf({ ...RUN, startedAtUnixMs: 6 })).toBe(3)
  })

  it('are adopted from another entry if its response is newer', () => {
    limits.record(RUN, LIMITED, 900)
    clock.advance(500)
    expect(limits.merge({ ...RUN, limitPerS: null, ageMs: 600 })).toBe(false)
    expect(limits.merge({ ...RUN, limitPerS: null, ageMs: 100 })).toBe(true)
    expect(limits.limitOf(RUN)).toBeUndefined()
    expect(limits.report()).toEqual([{ ...RUN, limitPerS: null, ageMs: 100 }])
  })

  it('are forgotten some time after they were lifted, or if their worker is gone', () => {
    limits.record(RUN, LIMITED, 900)
    limits.record({ workerId: 'w2', startedAtUnixMs: 1 }, LIMITED, 900)
    limits.record(RUN, UNLIMITED, 1_000)
    clock.advance(LIFTED_LIMIT_KEEP_MS + 1)
    limits.expire(() => true)
    expect(limits.report().map(({ workerId }) => workerId)).toEqual(['w2'])
    limits.expire(() => false)
    expect(limits.report()).toEqual([])
  })
})
