import { describe, expect, it } from 'vitest'
import { addChecks, getDefaultCounts } from '../../bench/once/checks.js'
import type { LogFaults } from '../../bench/once/fakeLog.js'
import { createKey } from '../../bench/once/randomSchedule.js'
import { createWorld } from '../../bench/once/world.js'
import type { CallRecord, World, WorldOptions } from '../../bench/once/worldTypes.js'
import { createEventQueue, type EventQueue } from '../../bench/harness/index.js'
import { createRandom, Outcome, ResultCode } from '../core/index.js'

const START_MS = 1_790_000_000_000
const WINDOW_MS = 120_000
const OWNER = 0
const ENTRY = 1
const OTHER_ENTRY = 2

interface Scene {
  world: World
  queue: EventQueue
  log: LogFaults
  calls: CallRecord[]
}

interface Fault {
  name: string
  act: (scene: Scene) => void
  /** Ends that the last resend may have when all faults are over, besides the complete answer. */
  lastCodes?: ResultCode[]
}

const forAWhile = (queue: EventQueue, start: () => void, end: () => void) => {
  start()
  queue.after(1_500, end)
}

const FAULTS: Fault[] = [
  { name: 'the entry crashes', act: ({ world }) => world.crashEntry(ENTRY, 500) },
  { name: 'the entry pauses', act: ({ world }) => world.pauseEntry(ENTRY, 3_000) },
  { name: 'the caller leaves', act: ({ world, calls }) => world.callerGone(calls[0]!) },
  { name: 'the owner crashes', act: ({ world }) => world.crashEntry(OWNER, 500) },
  { name: 'the owner pauses', act: ({ world }) => world.pauseEntry(OWNER, 3_000) },
  {
    name: 'the owner pauses and another entry takes over',
    act: ({ world }) => {
      world.pauseEntry(OWNER, 3_000)
      for (const entry of [ENTRY, OTHER_ENTRY]) world.setOwnerView(entry, OTHER_ENTRY)
    }
  },
  {
    name: 'the owner changes everywhere while a batch may be in flight',
    act: ({ world }) => { for (const entry of [OWNER, ENTRY, OTHER_ENTRY]) world.setOwnerView(entry, ENTRY) }
  },
  { name: 'two entries own the shard', act: ({ world }) => world.setOwnerView(OTHER_ENTRY, OTHER_ENTRY) },
  {
    name: 'both agents are replaced',
    act: ({ world }) => [0, 1].forEach(agent => world.crashAgent(agent, 300)),
    lastCodes: [ResultCode.BoundAgentGone]
  },
  { name: 'both agents pause', act: ({ world }) => [0, 1].forEach(agent => world.pauseAgent(agent, 3_000)) },
  ...[true, false].map((isNoticed): Fault => ({
    name: `the links to both agents are cut, ${isNoticed ? 'with' : 'without'} notice`,
    act: ({ world }) => [0, 1].forEach(agent => world.cut(ENTRY, agent, 3_000, isNoticed))
  })),
  {
    name: 'the log is out',
    act: ({ queue, log }) => forAWhile(queue, () => { log.isOut = () => true }, () => { log.isOut = () => false })
  },
  ...(['answerLostRatio', 'lateRatio', 'twiceRatio'] as const).map((ratio): Fault => ({
    name: `appends suffer from ${ratio}`,
    act: ({ queue, log }) => forAWhile(queue, () => { log[ratio] = 1 }, () => { log[ratio] = 0 })
  }))
]

const createScene = (seed: number, options: Partial<WorldOptions> = {}): Scene => {
  const queue = createEventQueue(START_MS)
  const log: LogFaults = {
    delayMinMs: 2, delayMaxMs: 10, answerLostRatio: 0, lateRatio: 0, twiceRatio: 0, isOut: () => false
  }
  const world = createWorld({
    queue,
    seed,
    entries: 3,
    agents: 2,
    windowMs: WINDOW_MS,
    network: { delayMinMs: 1, delayMaxMs: 5, lossRatio: 0, duplicateRatio: 0 },
    log,
    upstream: { chunksMax: 3, chunkDelayMaxMs: 200, failedRatio: 0, notStartedRatio: 0 },
    ...options
  })
  return { world, queue, log, calls: [] }
}

const keyAt = (timeMs: number, seed = 1) =>
  createKey({ timeMs, random: createRandom(seed), nowMs: START_MS, windowMs: WINDOW_MS })!

/** Sends a key, resends it through another entry while the first call runs, and once more at the end. */
const runScene = (seed: number, faultStep: number, fault?: Fault) => {
  let step = 0
  const scene: Scene = createScene(seed, {
    onStep: () => { if (step++ === faultStep) fault?.act(scene) }
  })
  const { world, queue, calls } = scene
  const submit = (entry: number) => calls.push(world.submit({ entry, key: keyAt(START_MS), body: 'order 1' }))
  submit(ENTRY)
  queue.after(150, () => submit(OTHER_ENTRY))
  queue.after(15_000, () => submit(OTHER_ENTRY))
  world.run(60_000)
  return { ...scene, stepCount: step }
}

const SAFE = { doubleRuns: 0, falseNotRun: 0, wrongOrCutAnswers: 0, overtakenNotRun: 0, endless: 0 }

describe('keyed calls under one fault at every step', () => {
  it.each(FAULTS)('run at most once and end truthfully: $name', fault => {
    for (let seed = 1; seed <= 3; seed++) {
      const { stepCount } = runScene(seed, Number.POSITIVE_INFINITY)
      expect(stepCount).toBeGreaterThan(20)
      for (let step = 0; step < stepCount; step++) {
        const { world, calls } = runScene(seed, step, fault)
        expect(addChecks(getDefaultCounts(), world), `seed ${seed} step ${step}`).toMatchObject(SAFE)
        expect([ResultCode.Ok, ...fault.lastCodes ?? []], `seed ${seed} step ${step}`).toContain(calls[2]!.code)
      }
    }
  })

  it('give every caller the same answer without a fault', () => {
    const { world, calls } = runScene(1, Number.POSITIVE_INFINITY)
    expect(world.runs).toHaveLength(1)
    expect(calls.map(({ forwarded }) => forwarded)).toEqual(Array(3).fill(world.runs[0]!.answer))
  })
})

describe('keyed calls beyond single faults', () => {
  it('end as unknown when the key leaves the window while an agent is replaced', () => {
    const { world, queue } = createScene(1)
    const key = keyAt(START_MS - WINDOW_MS + 1_000)
    world.submit({ entry: ENTRY, key, body: 'order 1' })
    queue.after(2_000, () => [0, 1].forEach(agent => world.crashAgent(agent, 100)))
    queue.after(20_000, () => world.submit({ entry: OTHER_ENTRY, key, body: 'order 1' }))
    world.run(60_000)
    expect(world.calls.map(({ code }) => code)).toEqual([ResultCode.Ok, ResultCode.KeyOutsideWindow])
    expect(world.runs).toHaveLength(1)
  })

  it('end as not run when every agent is full, and leave no trace of a run', () => {
    const { world } = createScene(1, { agentKeysMax: 0 })
    const call = world.submit({ entry: ENTRY, key: keyAt(START_MS), body: 'order 1' })
    world.run(60_000)
    expect(call).toMatchObject({ outcome: Outcome.NotRun, code: ResultCode.KeyTableFull })
    expect(world.runs).toEqual([])
  })

  it('say that the key ran when its answer was too large to keep', () => {
    const { world, queue } = createScene(1, { answerBytesMax: 10 })
    const submit = (entry: number) => world.submit({ entry, key: keyAt(START_MS), body: 'order 1' })
    submit(ENTRY)
    queue.after(5_000, () => submit(OTHER_ENTRY))
    world.run(60_000)
    expect(world.calls.map(({ code }) => code)).toEqual([ResultCode.Ok, ResultCode.AnswerNotKept])
    expect(world.calls[1]!.outcome).toBe(Outcome.Ran)
  })

  it.each([
    ['is refused as unknown', true, [ResultCode.Ok, ResultCode.KeyOutsideWindow], 1],
    ['would run again if the owner ignored the gap', false, [ResultCode.Ok, ResultCode.Ok], 2]
  ])('a key whose binding the log no longer retains %s', (_case, refusesForgottenKeys, codes, runCount) => {
    const { world, queue } = createScene(1, { rules: { owner: { refusesForgottenKeys } } })
    const key = keyAt(START_MS)
    world.submit({ entry: ENTRY, key, body: 'order 1' })
    queue.after(3_000, () => {
      world.expireBefore(key.shard, 2)
      world.crashEntry(OWNER, 100)
      ;[0, 1].forEach(agent => world.crashAgent(agent, 100))
    })
    queue.after(4_000, () => world.submit({ entry: OTHER_ENTRY, key, body: 'order 1' }))
    world.run(60_000)
    expect(world.calls.map(({ code }) => code)).toEqual(codes)
    expect(world.runs).toHaveLength(runCount)
  })
})
