import type { Random } from '../core/index.js'
import { OrderAnswer, type RankOrder, RankOrderKind } from './mapSwitchTypes.js'
import type { RankReading } from './mapCoordinatorTypes.js'
import type { ReplicaMap } from './replicaTypes.js'

interface FakeRank {
  mapVersion: number
  experts: readonly (readonly number[])[]
  prepared: { version: number, experts: readonly (readonly number[])[], readyAtMs: number } | undefined
  armed: { version: number, step: number } | undefined
  heldStep: number | undefined
  highestVersion: number
}

export interface RankGroupFakeOptions {
  random: Random
  ranks: number
  baseMap: ReplicaMap
  passMs: number
  copyMs: number
}

/** Fake group of ranks in lockstep, for tests. It executes orders as a worker does and counts mixed passes. */
export interface RankGroupFake {
  readonly mixedPasses: number
  readonly passes: number
  readonly switches: number
  readonly isHeld: boolean
  /** Runs the passes that are due up to the given time. */
  advance (nowMs: number): void
  order (rank: number, epoch: number, order: RankOrder, nowMs: number): OrderAnswer
  /** Simulates the crash of a rank: the group starts a new epoch with map 0 and discards all orders. */
  crash (): void
  read (rank: number, nowMs: number): RankReading
}

const BASE_CHOICES = 200

/**
 * Creates a fake group of ranks.
 *
 * @example
 * const group = createRankGroupFake({ random, ranks: 4, baseMap, passMs: 40, copyMs: 300 })
 */
export const createRankGroupFake = ({ random, ranks, baseMap, passMs, copyMs }: RankGroupFakeOptions): RankGroupFake => {
  const expertsOf = (map: ReplicaMap, rank: number) => map.map(set => set[rank] ?? [])
  const createRank = (_: unknown, rank: number): FakeRank => ({
    mapVersion: 0, experts: expertsOf(baseMap, rank), prepared: undefined, armed: undefined, heldStep: undefined, highestVersion: 0
  })
  let group = Array.from({ length: ranks }, createRank)
  let epoch = 1
  let step = 0
  let nextPassMs = 0
  let mixedPasses = 0
  let passes = 0
  let switches = 0
  let lastVersion = 0
  const expertCount = Math.max(...baseMap.flatMap(set => set.flat())) + 1
  let hotExpert = 0

  const isHeld = () => group.some(({ heldStep }) => heldStep === step + 1)

  const beginPass = () => {
    step += 1
    passes += 1
    for (const rank of group) {
      if (rank.armed?.step !== step) continue
      rank.mapVersion = rank.armed.version
      rank.experts = rank.prepared!.experts
      rank.armed = undefined
    }
    const versions = new Set(group.map(({ mapVersion }) => mapVersion))
    if (versions.size > 1) mixedPasses += 1
    else if (!versions.has(lastVersion)) switches += 1
    lastVersion = group[0]!.mapVersion
  }

  const areCopiesDone = (rank: FakeRank, nowMs: number) => rank.prepared !== undefined && nowMs >= rank.prepared.readyAtMs

  const handlers: { [Kind in RankOrderKind]: (rank: FakeRank, order: Extract<RankOrder, { kind: Kind }>, at: number, nowMs: number) => boolean } = {
    [RankOrderKind.Prepare]: (rank, { version, map }, at, nowMs) => {
      if (version === rank.prepared?.version) return true
      if (version <= rank.highestVersion || rank.armed !== undefined) return false
      const experts = expertsOf(map, at)
      const isCopy = experts.some((list, set) => list.some(expert => !rank.experts[set]!.includes(expert)))
      rank.highestVersion = version
      rank.prepared = { version, experts, readyAtMs: nowMs + (isCopy ? copyMs : 0) }
      return true
    },
    [RankOrderKind.Arm]: (rank, { version, step: armStep }, _at, nowMs) => {
      if (rank.armed?.version === version && rank.armed.step === armStep) return true
      if (armStep <= step || rank.prepared?.version !== version || !areCopiesDone(rank, nowMs)) return false
      rank.armed = { version, step: armStep }
      return true
    },
    [RankOrderKind.Disarm]: (rank, { version }) => {
      if (rank.mapVersion === version) return false
      if (rank.armed?.version === version) rank.armed = undefined
      return true
    },
    [RankOrderKind.Hold]: (rank, { step: holdStep }) => {
      if (rank.heldStep === holdStep) return true
      if (holdStep <= step || rank.heldStep !== undefined) return false
      rank.heldStep = holdStep
      return true
    },
    [RankOrderKind.Go]: (rank, { step: goStep }) => {
      if (rank.heldStep === goStep) rank.heldStep = undefined
      return true
    }
  }

  return {
    get mixedPasses () { return mixedPasses },
    get passes () { return passes },
    get switches () { return switches },
    get isHeld () { return isHeld() },
    advance: nowMs => {
      while (nextPassMs <= nowMs) {
        if (!isHeld()) beginPass()
        nextPassMs += passMs
        if (random.next() < 0.01) hotExpert = random.int(0, expertCount - 1)
      }
    },
    order: (at, orderEpoch, order, nowMs) => {
      if (orderEpoch !== epoch) return OrderAnswer.Rejected
      const handle = handlers[order.kind] as (rank: FakeRank, order: RankOrder, at: number, nowMs: number) => boolean
      return handle(group[at]!, order, at, nowMs) ? OrderAnswer.Accepted : OrderAnswer.Rejected
    },
    crash: () => {
      epoch += 1
      group = Array.from({ length: ranks }, createRank)
    },
    read: (at, nowMs) => {
      const { mapVersion, experts, prepared, armed, heldStep } = group[at]!
      const choices = baseMap.map(() => Array.from({ length: expertCount }, (_, expert) => expert === hotExpert ? BASE_CHOICES * 4 : BASE_CHOICES / 4))
      return {
        group: 'g',
        isOpen: true,
        ranks,
        pace: 1,
        experts,
        choices,
        view: {
          rank: at,
          epoch,
          step,
          stepAtMs: nowMs,
          mapVersion,
          preparedVersion: prepared !== undefined && nowMs >= prepared.readyAtMs ? prepared.version : undefined,
          armed,
          heldStep
        }
      }
    }
  }
}
