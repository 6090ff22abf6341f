import { v7 } from 'uuid'
import { createRandom, type Random, ResultCode } from '../../src/core/index.js'
import { type IdempotencyKey, parseIdempotencyKey } from '../../src/once/index.js'
import { createEventQueue, type EventQueue } from '../harness/index.js'
import { addChecks, type Counts } from './checks.js'
import { createWorld } from './world.js'
import type { CallRecord, CoreFactories, World, WorldRules } from './worldTypes.js'

const START_MS = 1_790_000_000_000
const WINDOW_MS = 30_000
const SUBMIT_SPREAD_MS = 3_000
const FAULT_SPREAD_MS = 5_000
const LIMIT_MS = 60_000

export interface ScheduleOptions {
  seed: number
  rules?: WorldRules
  factories?: Partial<CoreFactories>
}

/** Creates an idempotency key with the timestamp `timeMs`, as a caller would. */
export const createKey = (
  { timeMs, random, nowMs, windowMs }: { timeMs: number, random: Random, nowMs: number, windowMs: number }
): IdempotencyKey | undefined => {
  const header = v7({ msecs: timeMs, random: Uint8Array.from({ length: 16 }, () => random.int(0, 255)) })
  const parsed = parseIdempotencyKey({ header, customer: 'kpakpo', windowMs, nowMs })
  return parsed.code === ResultCode.Ok ? parsed.key : undefined
}

/** Returns true with the given probability. */
const chance = (random: Random, share: number) => random.next() < share

type Fault = (world: World, random: Random, queue: EventQueue) => void

const ENTRIES = 3
const AGENTS = 3
const anyEntry = (random: Random) => random.int(0, ENTRIES - 1)
const anyAgent = (random: Random) => random.int(0, AGENTS - 1)
const anyRestart = (random: Random) => chance(random, 0.8) ? random.int(50, 2_000) : undefined

/** Faults that a schedule injects at random times. */
const FAULTS: readonly Fault[] = [
  (world, random) => world.crashEntry(anyEntry(random), anyRestart(random)),
  (world, random) => world.crashAgent(anyAgent(random), anyRestart(random)),
  (world, random) => world.pauseEntry(anyEntry(random), random.int(100, 4_000)),
  (world, random) => world.pauseAgent(anyAgent(random), random.int(100, 4_000)),
  (world, random) => world.partition(anyEntry(random), anyAgent(random), random.int(100, 4_000), chance(random, 0.5)),
  (world, random, queue) => {
    // Membership views differ for a while, so that shards have two owners or none, and then converge.
    const owner = anyEntry(random)
    for (let entry = 0; entry < ENTRIES; entry++) {
      queue.after(random.int(0, 3_000), () => world.setOwnerView(entry, owner))
    }
  },
  (world, random, queue) => {
    const entry = anyEntry(random)
    world.setOwnerView(entry, entry)
    queue.after(random.int(0, 3_000), () => world.setOwnerView(entry, 0))
  },
  (world, random) => {
    if (world.calls.length > 0) world.callerGone(random.pick(world.calls as CallRecord[]))
  }
]

/**
 * Runs one seeded schedule: one or two keys, each sent up to 3 times through random entries, under faults of
 * processes, network and log. Each kind of fault is absent from a share of the schedules.
 */
export const runSchedule = ({ seed, rules, factories }: ScheduleOptions): World => {
  const random = createRandom(seed)
  const queue = createEventQueue(START_MS)
  const isLossy = chance(random, 0.5)
  const isLogFaulty = chance(random, 0.4)
  const outageStartMs = chance(random, 0.2) ? random.int(0, 3_000) : Number.POSITIVE_INFINITY
  const outageEndMs = outageStartMs + random.int(200, 8_000)
  const isUnavailable = () => {
    const elapsedMs = queue.clock.nowMs() - START_MS
    return elapsedMs >= outageStartMs && elapsedMs < outageEndMs
  }
  const world = createWorld({
    queue,
    seed: seed ^ 0x5bd1e995,
    entries: ENTRIES,
    agents: AGENTS,
    windowMs: WINDOW_MS,
    clockSkewMaxMs: 2_000,
    agentKeysMax: chance(random, 0.2) ? 1 : undefined,
    answerBytesMax: chance(random, 0.1) ? 80 : undefined,
    network: {
      delayMinMs: 1,
      // With a long delay, a dispatch can arrive after its binding was voided.
      delayMaxMs: chance(random, 0.3) ? 3_000 : 20,
      lossRatio: isLossy ? 0.1 : 0,
      duplicateRatio: isLossy ? 0.1 : 0
    },
    log: {
      delayMinMs: 2,
      delayMaxMs: chance(random, 0.2) ? 1_000 : 15,
      lostResponseRatio: isLogFaulty ? 0.2 : 0,
      lateAppendRatio: isLogFaulty ? 0.1 : 0,
      duplicateAppendRatio: isLogFaulty ? 0.2 : 0,
      isUnavailable
    },
    upstream: {
      chunksMax: 3,
      chunkDelayMaxMs: chance(random, 0.1) ? 2_000 : 100,
      failedRatio: chance(random, 0.1) ? 0.3 : 0,
      notStartedRatio: chance(random, 0.1) ? 0.5 : 0
    },
    rules,
    factories
  })

  const keyCount = random.int(1, 2)
  for (let i = 0; i < keyCount; i++) {
    // Some keys expire during the schedule.
    const ageMs = chance(random, 0.1) ? random.int(WINDOW_MS - 4_000, WINDOW_MS) : random.int(0, 1_000)
    const key = createKey({ timeMs: START_MS - ageMs, random, nowMs: START_MS, windowMs: WINDOW_MS })
    if (key === undefined) continue
    const sendCount = random.int(1, 3)
    for (let send = 0; send < sendCount; send++) {
      const body = send > 0 && chance(random, 0.05) ? `order ${i} changed` : `order ${i}`
      queue.after(random.int(0, SUBMIT_SPREAD_MS) * send, () => world.submit({ entry: anyEntry(random), key, body }))
    }
  }
  const faultCount = random.int(0, 4)
  for (let i = 0; i < faultCount; i++) {
    const fault = random.pick(FAULTS)
    queue.after(random.int(0, FAULT_SPREAD_MS), () => fault(world, random, queue))
  }
  queue.runUntil(START_MS)
  world.run(LIMIT_MS)
  return world
}

/** Runs `count` schedules, whose seeds are derived from one seed, and adds up their results. */
export const runSchedules = (
  counts: Counts, { count, seed, rules, factories }: ScheduleOptions & { count: number }
): Counts => {
  const seeds = createRandom(seed)
  for (let i = 0; i < count; i++) {
    addChecks(counts, runSchedule({ seed: seeds.int(0, 0x7fffffff), rules, factories }))
  }
  return counts
}
