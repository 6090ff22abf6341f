import { describe, expect, it } from 'vitest'
import { moveOneExpert, runFaultSchedule } from '../../bench/maps/faultSchedule.js'
import { createSwitchSimulation, type SimulationOptions, StoreBehaviour } from '../../bench/maps/switchSimulation.js'
import { createManualClock } from '../core/index.js'
import { STAGE_BYTES_PER_S, STAGE_LIMIT_MS } from './constants.js'
import { SwitchOutcome } from './coordinatorTypes.js'
import { createSwitchRank, RankEffectKind, RankMessageKind } from './createSwitchRank.js'
import { createInitialMap, createMap, encodeChanges } from './expertMap.js'
import {
  ALL_SWITCH_RULES, type Ballot, type RankBoundMessage, ReleaseChoice, SwitchKind, type SwitchRules
} from './switchTypes.js'
import type { ExpertMap, GroupShape } from './types.js'

const shape: GroupShape = { ranks: 4, experts: 8, layers: 2, expertBytes: 1_000 }
const initial = createInitialMap(shape)
const first = moveOneExpert(initial, shape, 0)
const second = moveOneExpert(first, shape, 1)
const reliableNetwork = { delayMinMs: 1, delayMaxMs: 4, lossRatio: 0, duplicateRatio: 0 }

const simulate = (options: Partial<SimulationOptions> = {}) => {
  const sim = createSwitchSimulation({ seed: 1, shape, network: { ...reliableNetwork }, ...options })
  const runFor = (durationMs: number) => sim.queue.runUntil(sim.queue.clock.nowMs() + durationMs)
  /** Fails if the group mixes maps or does not run steps with `map` after the given time. */
  const expectRunning = (map: ExpertMap, durationMs: number) => {
    runFor(durationMs)
    const { completedSteps } = sim.engine
    runFor(2_000)
    expect(sim.engine.mixedSteps).toBe(0)
    expect(sim.engine.completedSteps).toBeGreaterThan(completedSteps + 20)
    expect(sim.engine.lastHash).toBe(map.id.hash)
  }
  return { ...sim, sim, runFor, expectRunning }
}

describe('switch without faults', () => {
  it('starts a group and switches it without stalling a step', () => {
    const { sim, runFor, expectRunning } = simulate()
    runFor(4_000)
    const { stalledRequests } = sim.engine
    sim.request(0, initial, first)
    expectRunning(first, 4_000)
    expect(sim.outcomes).toEqual([SwitchOutcome.Done])
    expect(sim.engine.stalledRequests).toBe(stalledRequests)
  })

  it('limits messages, concurrent copies and the bytes of changes', () => {
    // Guards against a burst of staging that slows all ranks at once, and against excessive messages.
    const wide: GroupShape = { ranks: 16, experts: 64, layers: 4, expertBytes: 1_000 }
    const base = createInitialMap(wide)
    const map = createMap(1, base.layers.map(layer => layer.map((replicas, expert) =>
      expert % 4 === 0 ? [{ rank: (replicas[0]!.rank + 1) % wide.ranks, share: 1 }] : replicas)))
    let messages = 0
    const bytesByS = new Map<number, number>()
    const { sim, runFor } = simulate({
      shape: wide,
      onSend: message => {
        messages += 1
        const second = Math.floor(sim.queue.clock.nowMs() / 1_000)
        const bytes = message.kind === SwitchKind.Stage ? message.changes?.bytes.length ?? 0 : 0
        bytesByS.set(second, (bytesByS.get(second) ?? 0) + bytes)
        return [0]
      }
    })
    runFor(10_000)
    sim.takeLoadsAtOnceMax()
    messages = 0
    bytesByS.clear()
    sim.request(0, base, map)
    runFor(30_000)
    expect(sim.outcomes).toEqual([SwitchOutcome.Done])
    expect(sim.takeLoadsAtOnceMax()).toBe(2)
    expect(messages).toBeLessThanOrEqual(wide.ranks * 12)
    const one = encodeChanges(base, map).length
    expect(Math.max(...bytesByS.values())).toBeLessThanOrEqual(2 * STAGE_BYTES_PER_S + one)
  })

  it('distinguishes an outdated request from a completed one', () => {
    const { sim, runFor, expectRunning } = simulate()
    runFor(4_000)
    sim.request(0, initial, first)
    runFor(4_000)
    sim.request(0, initial, moveOneExpert(initial, shape, 3))
    expectRunning(first, 2_000)
    expect(sim.outcomes).toEqual([SwitchOutcome.Done, SwitchOutcome.Outdated])
  })
})

/** Delays in ms of the deliveries of one message; an empty list drops it. */
const DELIVERIES: Record<string, readonly number[]> = { lost: [], late: [2_500], duplicated: [0, 2_500] }
const kinds = Object.values(SwitchKind)

describe('each message of the switch', () => {
  it.each(kinds.flatMap(kind => Object.keys(DELIVERIES).map(delivery => [kind, delivery] as const)))('%s %s', (kind, delivery) => {
    // The run covers a start, a switch, a restart of the coordinator and a second switch.
    const seen = new Map<string, number>()
    let lateHolds = 0
    const { sim, runFor, expectRunning } = simulate({
      onSend: (message, from, to) => {
        // A rank replies with HoldMissed to a hold that arrives after its step has begun.
        const isLateHold = kind === SwitchKind.HoldMissed && message.kind === SwitchKind.Hold && message.step !== null && to === 2
        if (isLateHold && lateHolds++ < 4) return [1_200]
        if (message.kind !== kind) return [0]
        const path = `${from}-${to}`
        const count = (seen.get(path) ?? 0) + 1
        seen.set(path, count)
        return count % 3 === 1 ? DELIVERIES[delivery]! : [0]
      }
    })
    runFor(10_000)
    sim.request(0, initial, first)
    expectRunning(first, 12_000)
    sim.crash(0, 700)
    runFor(15_000)
    sim.request(0, first, second)
    expectRunning(second, 12_000)
    expect(seen.size).toBeGreaterThan(0)
  })
})

describe('coordinator', () => {
  const phases = [SwitchKind.Stage, SwitchKind.Hold, SwitchKind.Release]

  /** Runs a switch and calls `injectFault` at the `count`-th message of a kind that the coordinator sends. */
  const injectFaultAt = (kind: SwitchKind, count: number, injectFault: (sim: ReturnType<typeof simulate>['sim']) => readonly number[]) => {
    let isArmed = false
    let left = count
    let faultMs: number | undefined
    const subject = simulate({
      onSend: (message, from) => {
        if (!isArmed || from !== 0 || message.kind !== kind) return [0]
        const nowMs = subject.sim.queue.clock.nowMs()
        left -= 1
        if (left === 0) faultMs = nowMs
        // Later messages that it sends at the same time are affected as well.
        return nowMs === faultMs ? injectFault(subject.sim) : [0]
      }
    })
    subject.runFor(5_000)
    isArmed = true
    subject.sim.request(0, initial, first)
    return subject
  }

  it.each(phases.flatMap(kind => [1, 2, 4].map(count => [kind, count] as const)))(
    'crashes at %s message %i and restarts', (kind, count) => {
      const { sim, runFor } = injectFaultAt(kind, count, simulation => {
        simulation.crash(0, 1_500)
        return []
      })
      runFor(20_000)
      const { completedSteps } = sim.engine
      runFor(2_000)
      expect(sim.engine.mixedSteps).toBe(0)
      expect(sim.engine.completedSteps).toBeGreaterThan(completedSteps + 20)
      expect([initial.id.hash, first.id.hash]).toContain(sim.engine.lastHash)
    })

  it.each(phases.flatMap(kind => [1, 2, 4].map(count => [kind, count] as const)))(
    'pauses at %s message %i; a successor ends the round and the late messages have no effect', (kind, count) => {
      const { sim, runFor } = injectFaultAt(kind, count, simulation => {
        simulation.pauseCoordinator(0, 6_000)
        return [6_000]
      })
      runFor(5_500)
      const { completedSteps } = sim.engine
      runFor(25_000)
      expect(sim.engine.mixedSteps).toBe(0)
      expect(sim.engine.completedSteps).toBeGreaterThan(completedSteps + 200)
    })

  it('runs concurrently with a second coordinator without mixing maps', () => {
    const { sim, runFor } = simulate()
    runFor(5_000)
    sim.setLiveRanks(1, [1, 2, 3])
    sim.request(0, initial, first)
    sim.request(1, initial, moveOneExpert(initial, shape, 5))
    runFor(20_000)
    const { completedSteps } = sim.engine
    runFor(2_000)
    expect(sim.engine.mixedSteps).toBe(0)
    expect(sim.engine.completedSteps).toBeGreaterThan(completedSteps + 20)
  })
})

describe('rank', () => {
  it('that restarts while holding receives a map again and the group continues', () => {
    let hasCrashed = false
    const { sim, runFor, expectRunning } = simulate({
      onSend: (message, from) => {
        if (message.kind !== SwitchKind.Held || from !== 2 || hasCrashed || sim.queue.clock.nowMs() < 5_000) return [0]
        hasCrashed = true
        sim.queue.after(0, () => sim.crash(2, 800))
        return [0]
      }
    })
    runFor(5_000)
    sim.request(0, initial, first)
    runFor(15_000)
    expect(hasCrashed).toBe(true)
    expectRunning(sim.activated[0]!, 1_000)
  })

  it.each([
    ['ignores messages addressed to its earlier run', ALL_SWITCH_RULES, false],
    ['would execute them without the incarnation check', { ...ALL_SWITCH_RULES, checksIncarnation: false }, true]
  ])('%s', (_case, rules: SwitchRules, isPlaced) => {
    const clock = createManualClock()
    const rank = createSwitchRank({ shape, rank: 0, incarnation: 'second-run', clock, rules })
    const ballot: Ballot = [1, 'coordinator']
    const address = { ballot, incarnation: 'first-run' }
    const late: RankBoundMessage[] = [
      { kind: SwitchKind.Prepare, ballot },
      { kind: SwitchKind.Stage, ...address, mapId: initial.id, hasPeers: false, changes: { base: initial.id, bytes: new Uint8Array() } },
      { kind: SwitchKind.Hold, ...address, step: null },
      { kind: SwitchKind.Release, ...address, choice: ReleaseChoice.Restart, mapId: initial.id, step: 1 }
    ]
    const effects = late.flatMap(message => {
      const handled = rank.handle({ kind: RankMessageKind.SwitchReceived, from: 0, message })
      const loaded = [0, 4, 8, 12].flatMap(item => rank.handle({ kind: RankMessageKind.LoadFinished, item, isDone: true }))
      return [...handled, ...loaded]
    })
    expect(effects.some(({ kind }) => kind === RankEffectKind.MapActivated)).toBe(isPlaced)
  })
})

describe('weight store', () => {
  it.each([
    [StoreBehaviour.Slow, SwitchOutcome.Done, first],
    [StoreBehaviour.Refusing, SwitchOutcome.RolledBack, initial]
  ])('%s: the switch is %s and no step stalls', (store, outcome, map) => {
    const { sim, runFor, expectRunning } = simulate({ hasPeerCopies: false })
    runFor(5_000)
    const { stalledRequests } = sim.engine
    sim.setStore(store)
    sim.request(0, initial, first)
    expectRunning(map, STAGE_LIMIT_MS + 5_000)
    expect(sim.outcomes).toEqual([outcome])
    expect(sim.engine.stalledRequests).toBe(stalledRequests)
  })
})

describe('fault schedules', () => {
  const seeds = Array.from({ length: 600 }, (_seed, index) => index + 1)
  const mixes = (seed: number, rules?: SwitchRules, isNaive = false) =>
    runFaultSchedule({ seed, rules, isNaive }).mixedSteps > 0

  it('neither cause mixed maps nor leave a group stopped', () => {
    const results = seeds.slice(0, 300).map(seed => ({ seed, ...runFaultSchedule({ seed }) }))
    expect(results.filter(({ mixedSteps, isRunning }) => mixedSteps > 0 || !isRunning)).toEqual([])
    expect(results.filter(({ hasSwitched }) => hasSwitched).length).toBeGreaterThan(100)
  })

  it('cause mixed maps in a switch without the protocol', () => {
    expect(seeds.slice(0, 50).filter(seed => mixes(seed, undefined, true)).length).toBeGreaterThan(5)
  })

  it.each(['checksBallot', 'needsAllHolds', 'followsReleased'] as const)('detect that the rule %s is missing', rule => {
    expect(seeds.some(seed => mixes(seed, { ...ALL_SWITCH_RULES, [rule]: false }))).toBe(true)
  })
})
