import { type Core, createRandom, type Random } from '../../src/core/index.js'
import {
  ALL_SWITCH_RULES, type CoordinatorEffect, CoordinatorEffectKind, type CoordinatorMessage, CoordinatorMessageKind,
  createSwitchCoordinator, createSwitchRank, type ExpertMap, type GroupShape,
  type RankBoundMessage, type RankEffect, RankEffectKind, type RankMessage, RankMessageKind, SwitchOutcome,
  type SwitchMessage, type SwitchRules, WeightEffectKind
} from '../../src/expertMaps/index.js'
import { createEventQueue, createFakeNetwork, type EventQueue, type NetworkFaults } from '../harness/index.js'
import { createLockStepEngine } from './lockStepEngine.js'

/** How the weight store responds to loads. */
export enum StoreBehaviour {
  Ready = 'ready',
  Slow = 'slow',
  Refusing = 'refusing'
}

export interface SimulationOptions {
  seed: number
  shape: GroupShape
  network: NetworkFaults
  rules?: SwitchRules
  store?: StoreBehaviour
  stepMs?: number
  copyMs?: number
  movesAtOnceMax?: number
  /** Creates the cores of a rank's process; the naive switch replaces the default. */
  createCores?: (options: CoreOptions) => ProcessCores
  /** Whether ranks copy weights from one another; otherwise every load comes from the store. */
  hasPeerCopies?: boolean
  /**
   * Called for each message; returns one delay in ms for each copy that is sent. An empty list loses the
   * message.
   */
  onSend?: (message: SwitchMessage, from: number, to: number) => readonly number[]
}

export interface CoreOptions {
  rank: number
  incarnation: string
  queue: EventQueue
  random: Random
  shape: GroupShape
  rules: SwitchRules
  movesAtOnceMax: number
}

export interface ProcessCores {
  rank: Core<RankMessage, RankEffect>
  coordinator: Core<CoordinatorMessage, CoordinatorEffect>
}

interface Process {
  incarnation: string
  cores: ProcessCores
  isUp: boolean
  /** While the coordinator is paused, until this time, its messages wait. */
  pausedUntilMs: number
}

const TICK_MS = 250
const STORE_LOAD_MS: Record<StoreBehaviour, number> =
  { [StoreBehaviour.Ready]: 20, [StoreBehaviour.Slow]: 700, [StoreBehaviour.Refusing]: 5 }

const createProtocolCores = ({ rank, incarnation, queue, random, shape, rules, movesAtOnceMax }: CoreOptions): ProcessCores => ({
  rank: createSwitchRank({ shape, rank, incarnation, clock: queue.clock, rules }),
  coordinator: createSwitchCoordinator({ shape, rank, incarnation, movesAtOnceMax, clock: queue.clock, random, rules })
})

/** Simulates one group of ranks in lock-step with its switch cores, on virtual time and with seeded faults. */
export const createSwitchSimulation = (options: SimulationOptions) => {
  const {
    seed, shape, network: faults, rules = ALL_SWITCH_RULES, stepMs = 64, copyMs = 40, movesAtOnceMax = 2,
    hasPeerCopies = true,
    createCores = createProtocolCores, onSend = () => [0]
  } = options
  const random = createRandom(seed)
  const queue = createEventQueue()
  const network = createFakeNetwork<() => void>(queue, random, faults)
  let store = options.store ?? StoreBehaviour.Ready
  const outcomes: SwitchOutcome[] = []
  const activated: ExpertMap[] = []
  let loadsAtOnce = 0
  let loadsAtOnceMax = 0

  const startProcess = (rank: number, runNumber: number): Process => {
    const incarnation = `r${rank}-${runNumber}`
    const cores = createCores({ rank, incarnation, queue, random, shape, rules, movesAtOnceMax })
    return { incarnation, cores, isUp: true, pausedUntilMs: 0 }
  }
  const processes = Array.from({ length: shape.ranks }, (_process, rank) => startProcess(rank, 1))

  const engine = createLockStepEngine({
    ranks: shape.ranks,
    stepMs,
    queue,
    requestStep: (rank, step) => deliverToRank(rank, { kind: RankMessageKind.StepRequested, step })
  })

  const transmit = (from: number, to: number, message: SwitchMessage, deliver: () => void) => {
    if (!processes[from]!.isUp) return
    for (const delayMs of onSend(message, from, to)) {
      if (delayMs === 0) network.send(`p${from}`, `p${to}`, deliver)
      else queue.after(delayMs, () => network.send(`p${from}`, `p${to}`, deliver))
    }
  }

  const scheduleLoadEnd = (rank: number, item: number, delayMs: number, isDone: () => boolean, retryAfterMs?: number) => {
    const process = processes[rank]!
    loadsAtOnce += 1
    loadsAtOnceMax = Math.max(loadsAtOnceMax, loadsAtOnce)
    queue.after(delayMs, () => {
      loadsAtOnce -= 1
      if (processes[rank] !== process || !process.isUp) return
      deliverToRank(rank, { kind: RankMessageKind.LoadFinished, item, isDone: isDone(), retryAfterMs })
    })
  }

  const rankEffectHandlers: { [Kind in RankEffect['kind']]: (rank: number, effect: Extract<RankEffect, { kind: Kind }>) => void } = {
    [RankEffectKind.SendToCoordinator]: (rank, { to, message }) =>
      transmit(rank, to, message, () => deliverToCoordinator(to, { kind: CoordinatorMessageKind.SwitchReceived, from: rank, message })),
    [RankEffectKind.StepAllowed]: (rank, { step, map }) => engine.begin(rank, step, map.id.hash),
    [RankEffectKind.ResumeAt]: (rank, { step }) => engine.resume(rank, step),
    [RankEffectKind.MapActivated]: (rank, { map }) => { activated[rank] = map },
    [RankEffectKind.CoordinatorSuspected]: (rank, effect) =>
      deliverToCoordinator(rank, { kind: CoordinatorMessageKind.CoordinatorSuspected, rank: effect.rank }),
    [WeightEffectKind.CopyFromPeer]: (rank, { item, fromRank }) =>
      scheduleLoadEnd(rank, item, copyMs, () => hasPeerCopies && processes[fromRank]!.isUp),
    [WeightEffectKind.LoadFromStore]: (rank, { item }) =>
      scheduleLoadEnd(rank, item, STORE_LOAD_MS[store], () => store !== StoreBehaviour.Refusing, 500),
    [WeightEffectKind.DropWeights]: () => {}
  }

  const deliverToRank = (rank: number, message: RankMessage) => {
    const process = processes[rank]!
    if (!process.isUp) return
    for (const effect of process.cores.rank.handle(message)) {
      const handleEffect = rankEffectHandlers[effect.kind] as (rank: number, effect: RankEffect) => void
      handleEffect(rank, effect)
    }
  }

  const handleCoordinatorEffect = (rank: number, effect: CoordinatorEffect) => {
    if (effect.kind === CoordinatorEffectKind.SwitchEnded) {
      outcomes.push(effect.outcome)
      return
    }
    const { to, message } = effect as { to: number, message: RankBoundMessage }
    transmit(rank, to, message, () => deliverToRank(to, { kind: RankMessageKind.SwitchReceived, from: rank, message }))
  }

  const deliverToCoordinator = (rank: number, message: CoordinatorMessage) => {
    const process = processes[rank]!
    if (!process.isUp) return
    if (process.pausedUntilMs > queue.clock.nowMs()) {
      // Ticks are periodic, so a missed one is dropped; other messages wait until the pause ends.
      if (message.kind === CoordinatorMessageKind.Tick) return
      queue.after(process.pausedUntilMs - queue.clock.nowMs(), () => {
        if (processes[rank] === process) deliverToCoordinator(rank, message)
      })
      return
    }
    for (const effect of process.cores.coordinator.handle(message)) handleCoordinatorEffect(rank, effect)
  }

  processes.forEach((_process, rank) => {
    network.join(`p${rank}`, deliver => deliver())
    queue.after(1 + rank, () => deliverToRank(rank, { kind: RankMessageKind.Tick }))
    queue.after(random.next() * TICK_MS, () => {
      queue.every(TICK_MS, () => {
        deliverToRank(rank, { kind: RankMessageKind.Tick })
        deliverToCoordinator(rank, { kind: CoordinatorMessageKind.Tick })
      })
    })
    engine.resume(rank, 1)
  })

  let lastRunNumber = 1
  return {
    queue,
    random,
    engine,
    outcomes,
    faults,
    /** Returns the highest number of concurrent loads since the previous call. */
    takeLoadsAtOnceMax: () => {
      const taken = loadsAtOnceMax
      loadsAtOnceMax = loadsAtOnce
      return taken
    },
    /** Most recently activated map of each rank. */
    activated,
    setStore: (behaviour: StoreBehaviour) => { store = behaviour },
    request: (rank: number, base: ExpertMap, map: ExpertMap) =>
      deliverToCoordinator(rank, { kind: CoordinatorMessageKind.SwitchRequested, base, map }),
    setLiveRanks: (rank: number, ranks: number[]) => {
      deliverToRank(rank, { kind: RankMessageKind.LiveRanksChanged, ranks })
      deliverToCoordinator(rank, { kind: CoordinatorMessageKind.LiveRanksChanged, ranks })
    },
    pauseCoordinator: (rank: number, durationMs: number) => {
      processes[rank]!.pausedUntilMs = queue.clock.nowMs() + durationMs
    },
    crash: (rank: number, downMs: number) => {
      processes[rank]!.isUp = false
      engine.crash(rank)
      queue.after(downMs, () => {
        if (processes[rank]!.isUp) return
        lastRunNumber += 1
        processes[rank] = startProcess(rank, lastRunNumber)
        engine.resume(rank, 1)
        deliverToRank(rank, { kind: RankMessageKind.Tick })
      })
    }
  }
}

export type SwitchSimulation = ReturnType<typeof createSwitchSimulation>
