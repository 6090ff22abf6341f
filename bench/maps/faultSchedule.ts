import { createRandom, type Random } from '../../src/core/index.js'
import {
  createInitialMap, createMap, type ExpertMap, type GroupShape, type SwitchRules
} from '../../src/expertMaps/index.js'
import type { NetworkFaults } from '../harness/index.js'
import { createNaiveCores } from './naiveSwitch.js'
import { createSwitchSimulation, StoreBehaviour, type SwitchSimulation } from './switchSimulation.js'

export interface ScheduleResult {
  mixedSteps: number
  /** Whether the group completed steps again after the faults ended. */
  isRunning: boolean
  /** Whether the last completed step used a map other than the initial one. */
  hasSwitched: boolean
  completedSteps: number
}

const SHAPE: GroupShape = { ranks: 3, experts: 3, layers: 1, expertBytes: 1_000 }
/** End of all faults; from then on the group must recover without help. */
const FAULTS_END_MS = 6_000
const RECOVERY_LIMIT_MS = 40_000
const RECOVERY_STEPS = 4

const createFaultlessNetwork = (): NetworkFaults => ({ delayMinMs: 1, delayMaxMs: 4, lossRatio: 0, duplicateRatio: 0 })

/** Returns a map that moves one expert, selected by `turn`, to the next rank. */
export const moveOneExpert = (map: ExpertMap, shape: GroupShape, turn: number): ExpertMap =>
  createMap(map.id.version + 1, map.layers.map((layer, index) => index > 0
    ? layer
    : layer.map((replicas, expert) => expert === turn % shape.experts
      ? [{ rank: (replicas[0]!.rank + 1) % shape.ranks, share: 1 }]
      : replicas)))

type Fault = (sim: SwitchSimulation, random: Random) => void

const randomRank = (random: Random) => random.int(0, SHAPE.ranks - 1)

const requestFrom = (sim: SwitchSimulation, rank: number, turn: number) => {
  const base = sim.activated[rank]
  if (base !== undefined) sim.request(rank, base, moveOneExpert(base, SHAPE, turn))
}

/** Faults by name; a schedule picks at random and may pick a fault several times. */
const FAULT_TABLE: Record<string, Fault> = {
  crash: (sim, random) => sim.crash(randomRank(random), random.int(50, 2_000)),
  crashCoordinator: (sim, random) => sim.crash(0, random.int(50, 2_000)),
  pauseCoordinator: (sim, random) => sim.pauseCoordinator(0, random.int(100, 4_000)),
  pauseAnyCoordinator: (sim, random) => sim.pauseCoordinator(randomRank(random), random.int(100, 4_000)),
  secondCoordinator: (sim, random) => {
    const rank = random.int(1, SHAPE.ranks - 1)
    sim.setLiveRanks(rank, [rank])
    requestFrom(sim, rank, random.int(0, SHAPE.experts - 1))
  },
  restoreLiveRanks: (sim) => {
    for (let rank = 0; rank < SHAPE.ranks; rank++) sim.setLiveRanks(rank, [0, 1, 2])
  },
  slowStore: sim => sim.setStore(StoreBehaviour.Slow),
  refusingStore: sim => sim.setStore(StoreBehaviour.Refusing)
}
const FAULT_NAMES = Object.keys(FAULT_TABLE)

const endFaults = (sim: SwitchSimulation) => {
  Object.assign(sim.faults, createFaultlessNetwork())
  sim.setStore(StoreBehaviour.Ready)
  for (let rank = 0; rank < SHAPE.ranks; rank++) sim.setLiveRanks(rank, [0, 1, 2])
}

/**
 * Starts one group, requests two or three switches and injects random faults, then ends the faults and waits
 * until the group completes steps again. A seed gives the protocol and the naive switch the same faults.
 */
export const runFaultSchedule = (
  { seed, rules, isNaive = false }: { seed: number, rules?: SwitchRules, isNaive?: boolean }
): ScheduleResult => {
  const random = createRandom(seed)
  const delayMaxMs = random.pick([4, 40, 300, 900])
  const faults: NetworkFaults =
    { delayMinMs: 1, delayMaxMs, lossRatio: random.pick([0, 0.05, 0.2]), duplicateRatio: random.pick([0, 0.1, 0.3]) }
  const network = random.next() < 0.7 ? createFaultlessNetwork() : faults
  const sim = createSwitchSimulation({
    seed: random.int(1, 1 << 30), shape: SHAPE, network, rules, copyMs: 5, createCores: isNaive ? createNaiveCores : undefined
  })
  sim.queue.after(random.int(500, 2_500), () => Object.assign(network, faults))
  const requests = random.int(2, 3)
  for (let turn = 0; turn < requests; turn++) {
    const rank = random.next() < 0.8 ? 0 : randomRank(random)
    sim.queue.after(random.int(1_500, FAULTS_END_MS - 500), () => requestFrom(sim, rank, turn))
  }
  const faultCount = random.int(0, 5)
  for (let i = 0; i < faultCount; i++) {
    const fault = FAULT_TABLE[random.pick(FAULT_NAMES)]!
    const faultRandom = createRandom(random.int(1, 1 << 30))
    sim.queue.after(random.int(300, FAULTS_END_MS), () => fault(sim, faultRandom))
  }
  sim.queue.runUntil(FAULTS_END_MS)
  endFaults(sim)
  const stepsAtFaultsEnd = sim.engine.completedSteps
  // A coordinator that is still paused may resume with a switch of its own up to four seconds after the
  // faults end.
  sim.queue.runUntil(FAULTS_END_MS + 1_000)
  while (sim.engine.completedSteps < stepsAtFaultsEnd + RECOVERY_STEPS && sim.queue.clock.nowMs() < RECOVERY_LIMIT_MS) {
    sim.queue.runUntil(sim.queue.clock.nowMs() + 500)
  }
  const { engine } = sim
  return {
    mixedSteps: engine.mixedSteps,
    isRunning: engine.completedSteps >= stepsAtFaultsEnd + RECOVERY_STEPS,
    hasSwitched: engine.lastHash !== undefined && engine.lastHash !== createInitialMap(SHAPE).id.hash,
    completedSteps: engine.completedSteps
  }
}

export interface ScheduleRange {
  firstSeed: number
  size: number
}

export interface ScheduleCounts {
  mixedSteps: number
  stuck: number
  switched: number
  steps: number
  naiveMixedSteps: number
  /** Schedules with at least one mixed step under the naive switch. */
  naiveMixed: number
  naiveStuck: number
}

/** Runs consecutive seeds with the switch protocol and with the naive switch, and sums the results. */
export const countSchedules = ({ firstSeed, size }: ScheduleRange): ScheduleCounts => {
  const counts: ScheduleCounts =
    { mixedSteps: 0, stuck: 0, switched: 0, steps: 0, naiveMixedSteps: 0, naiveMixed: 0, naiveStuck: 0 }
  for (let seed = firstSeed; seed < firstSeed + size; seed++) {
    const protocol = runFaultSchedule({ seed })
    const naive = runFaultSchedule({ seed, isNaive: true })
    counts.mixedSteps += protocol.mixedSteps
    counts.stuck += Number(!protocol.isRunning)
    counts.switched += Number(protocol.hasSwitched)
    counts.steps += protocol.completedSteps
    counts.naiveMixedSteps += naive.mixedSteps
    counts.naiveMixed += Number(naive.mixedSteps > 0)
    counts.naiveStuck += Number(!naive.isRunning)
  }
  return counts
}
