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

interface Scenario {
  world: World
  queue: EventQueue
  log: LogFaults
  calls: CallRecord[]
}

interface Fault {
  name: string
  inject: (scenario: Scenario) => void
  /** Codes with which the last retry may end after the fault is over, besides Ok. */
  lastCodes?: ResultCode[]
}

const applyTemporarily = (queue: EventQueue, start: () => void, end: () => void) => {
  start()
  queue.after(1_500, end)
}

const FAULTS: Fault[] = [
  { name: 'the entry crashes', inject: ({ world }) => world.crashEntry(ENTRY, 500) },
  { name: 'the entry process pauses', inject: ({ world }) => world.pauseEntry(ENTRY, 3_000) },
  { name: 'the caller disconnects', inject: ({ world, calls }) => world.callerGone(calls[0]!) },
  { name: 'the owner crashes', inject: ({ world }) => world.crashEntry(OWNER, 500) },
  { name: 'the owner process pauses', inject: ({ world }) => world.pauseEntry(OWNER, 3_000) },
  {
    name: 'the owner process pauses and another entry takes over',
    inject: ({ world }) => {
      world.pauseEntry(OWNER, 3_000)
      for (const entry of [ENTRY, OTHER_ENTRY]) world.setOwnerView(entry, OTHER_ENTRY)
    }
  },
  {
    name: 'the owner changes everywhere while a batch may be in flight',
    inject: ({ world }) => { for (const entry of [OWNER, ENTRY, OTHER_ENTRY]) world.setOwnerView(entry, ENTRY) }
  },
  { name: 'two entries own the shard', inject: ({ world }) => world.setOwnerView(OTHER_ENTRY, OTHER_ENTRY) },
  {
    name: 'both agents are replaced',
    inject: ({ world }) => [0, 1].forEach(agent => world.crashAgent(agent, 300)),
    lastCodes: [ResultCode.BoundAgentGone]
  },
  { name: 'both agent processes pause', inject: ({ world }) => [0, 1].forEach(agent => world.pauseAgent(agent, 3_000)) },
  ...[true, false].map((isDetected): Fault => ({
    name: `the links to both agents are cut, ${isDetected ? 'detected' : 'undetected'} by the entry`,
    inject: ({ world }) => [0, 1].forEach(agent => world.partition(ENTRY, agent, 3_000, isDetected))
  })),
  {
    name: 'the log is unavailable',
    inject: ({ queue, log }) => applyTemporarily(queue, () => { log.isUnavailable = () => true }, () => { log.isUnavailable = () => false })
  },
  ...(['lostResponseRatio', 'lateAppendRatio', 'duplicateAppendRatio'] as const).map((ratio): Fault => ({
    name: `appends with ${ratio} = 1`,
    inject: ({ queue, log }) => applyTemporarily(queue, () => { log[ratio] = 1 }, () => { log[ratio] = 0 })
  }))
]

const createScenario = (seed: number, options: Partial<WorldOptions> = {}): Scenario => {
  const queue = createEventQueue(START_MS)
  const log: LogFaults = {
    delayMinMs: 2, delayMaxMs: 10, lostResponseRatio: 0, lateAppendRatio: 0, duplicateAppendRatio: 0, isUnavailable: () => false
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

/** Sends a call, retries it through another entry while the first attempt runs, and once more at the end. */
const runScenario = (seed: number, faultStep: number, fault?: Fault) => {
  let step = 0
  const scenario: Scenario = createScenario(seed, {
    onStep: () => { if (step++ === faultStep) fault?.inject(scenario) }
  })
  const { world, queue, calls } = scenario
  const submit = (entry: number) => calls.push(world.submit({ entry, key: keyAt(START_MS), body: 'order 1' }))
  submit(ENTRY)
  queue.after(150, () => submit(OTHER_ENTRY))
  queue.after(15_000, () => submit(OTHER_ENTRY))
  world.run(60_000)
  return { ...scenario, stepCount: step }
}

const NO_VIOLATIONS = { doubleRuns: 0, falseNotRun: 0, wrongOrCutAnswers: 0, overtakenNotRun: 0, endless: 0 }

describe('keyed calls with one fault injected at every step', () => {
  it.each(FAULTS)('run at most once and end with a correct outcome: $name', fault => {
    for (let seed = 1; seed <= 3; seed++) {
      const { stepCount } = runScenario(seed, Number.POSITIVE_INFINITY)
      expect(stepCount).toBeGreaterThan(20)
      for (let step = 0; step < stepCount; step++) {
        const { world, calls } = runScenario(seed, step, fault)
        expect(addChecks(getDefaultCounts(), world), `seed ${seed} step ${step}`).toMatchObject(NO_VIOLATIONS)
        expect([ResultCode.Ok, ...fault.lastCodes ?? []], `seed ${seed} step ${step}`).toContain(calls[2]!.code)
      }
    }
  })

  it('return the same response to every caller without a fault', () => {
    const { world, calls } = runScenario(1, Number.POSITIVE_INFINITY)
    expect(world.runs).toHaveLength(1)
    expect(calls.map(({ forwardedBody }) => forwardedBody)).toEqual(Array(3).fill(world.runs[0]!.answer))
  })
})

describe('keyed calls at their limits', () => {
  it('end as unknown when the key leaves the window while an agent is replaced', () => {
    const { world, queue } = createScenario(1)
    const key = keyAt(START_MS - WINDOW_MS + 1_000)
    world.submit({ entry: ENTRY, key, body: 'order 1' })
    queue.after(2_000, () => [0, 1].forEach(agent => world.crashAgent(agent, 100)))
    queue.after(20_000, () => world.submit({ entry: OTHER_ENTRY, key, body: 'order 1' }))
    world.run(60_000)
    expect(world.calls.map(({ code }) => code)).toEqual([ResultCode.Ok, ResultCode.KeyOutsideWindow])
    expect(world.runs).toHaveLength(1)
  })

  it('end as not run, without a run, when every agent is full', () => {
    const { world } = createScenario(1, { agentKeysMax: 0 })
    const call = world.submit({ entry: ENTRY, key: keyAt(START_MS), body: 'order 1' })
    world.run(60_000)
    expect(call).toMatchObject({ outcome: Outcome.NotRun, code: ResultCode.KeyTableFull })
    expect(world.runs).toEqual([])
  })

  it('report that the key ran when its response was too large to keep', () => {
    const { world, queue } = createScenario(1, { answerBytesMax: 10 })
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
    const { world, queue } = createScenario(1, { rules: { owner: { refusesForgottenKeys } } })
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
