import { beforeEach, describe, expect, it } from 'vitest'
import { createManualClock, type ManualClock } from '../core/index.js'
import { createUpstreamGate, type UpstreamGate } from './createUpstreamGate.js'

const LIMIT_PER_S = 2

describe('the gate of an upstream', () => {
  let clock: ManualClock
  let gate: UpstreamGate

  beforeEach(() => {
    clock = createManualClock(0)
    gate = createUpstreamGate({ clock })
  })

  const admittedIn = (durationMs: number) => {
    let count = 0
    for (let passedMs = 0; passedMs < durationMs; passedMs += 10) {
      clock.advance(10)
      if (gate.admit()) count += 1
    }
    return count
  }

  it('is open until the upstream names a limit, and after it names none', () => {
    expect(admittedIn(1_000)).toBe(100)
    gate.recordNotice({ limitPerS: LIMIT_PER_S, isLeaving: false, pauseMs: undefined }, 500)
    expect(gate.admit()).toBe(false)
    gate.recordNotice({ limitPerS: undefined, isLeaving: false, pauseMs: undefined }, clock.nowMs())
    expect(gate.admit()).toBe(true)
  })

  it('admits requests at the rate of the limit, and knows when it admits the next one', () => {
    gate.recordNotice({ limitPerS: LIMIT_PER_S, isLeaving: false, pauseMs: undefined }, 0)
    const count = admittedIn(10_000)
    expect(count).toBeGreaterThanOrEqual(10 * LIMIT_PER_S - 1)
    expect(count).toBeLessThanOrEqual(10 * LIMIT_PER_S)
    clock.advance(1_000 / LIMIT_PER_S)
    expect(gate.admit()).toBe(true)
    const waitMs = gate.closedForMs()
    expect(waitMs).toBeGreaterThan(0)
    clock.advance(waitMs)
    expect(gate.admit()).toBe(true)
  })

  it('admits many requests a second if the limit is high', () => {
    gate.recordNotice({ limitPerS: 80, isLeaving: false, pauseMs: undefined }, 0)
    expect(admittedIn(10_000)).toBeGreaterThan(10 * 80 * 0.9)
  })

  it('forgets the limit when the upstream restarts', () => {
    gate.recordNotice({ limitPerS: LIMIT_PER_S, isLeaving: false, pauseMs: undefined }, 0)
    gate.reset()
    expect(gate.admit()).toBe(true)
  })
})
