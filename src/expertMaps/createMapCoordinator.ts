import { type Clock, type Core, dispatch, type HandlerTable, type Random, type TimestampMs } from '../core/index.js'
import { createExpertDemand } from './createExpertDemand.js'
import { createMapSwitch, type MapSwitch } from './createMapSwitch.js'
import {
  type MapCoordinatorEffect, MapCoordinatorEffectKind, type MapCoordinatorMessage, MapCoordinatorMessageKind, type RankReading
} from './mapCoordinatorTypes.js'
import { type MapSwitchEffect, MapSwitchEffectKind, MapSwitchMessageKind, RankOrderKind, type RankStatus, SwitchPhase, type SwitchPlan } from './mapSwitchTypes.js'
import { holderRankOf } from './mapSwitchConstants.js'
import { planReplicas } from './planReplicas.js'
import type { ReplicaLimits, ReplicaMap } from './replicaTypes.js'

/** A reading older than this says nothing about a rank. */
export const READING_STALE_MS = 900
/** A group that is held this long without a switch of this process has lost its coordinator. */
export const HELD_LIMIT_MS = 250
/** A recovery goes by newer readings than a plan: one from before the hold says nothing about a rank that stands still since. */
export const RECOVERY_READING_MAX_MS = 220
/** A recovery that takes longer starts anew, as a rank may have gone out of reach after it began. */
export const RECOVERY_LIMIT_MS = 600
/** Time between two switches; the demand does not depend on the map, so a plan need not wait for its effect. */
export const SETTLE_MS = 50
/** Choices that must be known before a plan; fewer show chance more than demand. */
export const DEMAND_MIN = 1_500
/** A new map must make passes shorter by this share. */
export const PASS_GAIN_MIN = 0.12
/**
 * Versions are unique by the rank of the coordinator that gives them, and by its run: an order of an earlier run may be
 * carried out late, and must not pass for one of this run.
 */
const RANK_STRIDE = 4_096
const RUNS = 256
const PASS_MS_DEFAULT = 60

export interface MapCoordinatorOptions {
  clock: Clock
  random: Random
  ownRank: () => number | undefined
  limits: () => ReplicaLimits | undefined
  /** Share of the work of a pass that follows the experts' loads. */
  expertShare: () => number
}

export interface MapCoordinator extends Core<MapCoordinatorMessage, MapCoordinatorEffect> {
  /** A switch under way has held the group or armed ranks; it must not be left alone. */
  readonly isSwitching: boolean
}

/**
 * Plans the maps of one group and runs their switches, one at a time.
 *
 * @example
 * const coordinator = createMapCoordinator({ clock, random, ownRank, limits, expertShare })
 * coordinator.handle({ kind: MapCoordinatorMessageKind.ReadingReceived, reading })
 */
export const createMapCoordinator = (
  { clock, random, ownRank, limits, expertShare }: MapCoordinatorOptions
): MapCoordinator => {
  const demand = createExpertDemand({ clock })
  const run = random.int(0, RUNS - 1)
  const readings = new Map<number, RankReading>()
  let isCoordinator = false
  let mapSwitch: MapSwitch | undefined
  let switchId = 0
  let switchStartedMs: TimestampMs = 0
  let idleSinceMs: TimestampMs = 0
  let isRecovery = false
  let heldSinceMs: TimestampMs | undefined
  let pass = { step: 0, atMs: 0, ms: PASS_MS_DEFAULT }

  /** Fresh readings of one epoch and map, in order of ranks; without those of ranks that are out of reach. */
  const fresh = (ageMaxMs: number): RankReading[] => {
    const nowMs = clock.nowMs()
    const list = [...readings.values()].filter(({ view }) => nowMs - view.stepAtMs < ageMaxMs).sort((a, b) => a.view.rank - b.view.rank)
    const [first] = list
    const isOne = list.every(({ isOpen, view }) =>
      isOpen && view.epoch === first!.view.epoch && view.mapVersion === first!.view.mapVersion)
    return isOne ? list : []
  }

  const isWhole = (list: readonly RankReading[]) => list.length > 0 && list.length === list[0]!.ranks

  const mapOf = (list: readonly RankReading[]): ReplicaMap =>
    list[0]!.experts.map((_, set) => list.map(({ experts }) => experts[set] ?? []))

  /** A map that asks no rank in reach for a copy: the rank out of reach gets what the others lack. */
  const mapAround = (list: readonly RankReading[], absentRank: number): ReplicaMap => demand.loads().map((loads, set) => {
    const held = new Map(list.map(({ view, experts }) => [view.rank, experts[set] ?? []]))
    const known = new Set([...held.values()].flat())
    const rest = loads.map((_, expert) => expert).filter(expert => !known.has(expert))
    return Array.from({ length: list[0]!.ranks }, (_, rank) => rank === absentRank ? rest : held.get(rank) ?? [])
  })

  const highestVersion = () => Math.max(0, ...[...readings.values()].flatMap(({ view }) =>
    [view.mapVersion, view.preparedVersion ?? 0, view.armed?.version ?? 0]))

  let usedStep = 0
  let usedStepEpoch = 0

  const noteStepUsed = (epoch: number, step: number | undefined) => {
    if (epoch > usedStepEpoch) usedStep = 0
    usedStepEpoch = Math.max(epoch, usedStepEpoch)
    if (epoch === usedStepEpoch) usedStep = Math.max(usedStep, step ?? 0)
  }

  let lastVersion = 0
  /** Higher than all that is known, and never given by another rank. */
  const nextVersion = (): number => {
    const own = ownRank() ?? 0
    const round = Math.floor(Math.max(highestVersion(), lastVersion) / (RUNS * RANK_STRIDE)) + 1
    lastVersion = (round * RUNS + run) * RANK_STRIDE + own
    return lastVersion
  }

  const translate = (effects: readonly MapSwitchEffect[]): MapCoordinatorEffect[] => effects.map(effect => {
    const performers: HandlerTable<MapSwitchEffect, MapCoordinatorEffect> = {
      [MapSwitchEffectKind.SendOrder]: ({ orderId, rank, epoch, order }) => {
        if (order.kind === RankOrderKind.Hold) noteStepUsed(epoch, order.step)
        return { kind: MapCoordinatorEffectKind.SendOrder, switchId, orderId, rank, epoch, order }
      },
      [MapSwitchEffectKind.PhaseChanged]: ({ phase, step, reason }) => ({ kind: MapCoordinatorEffectKind.PhaseChanged, phase, step, reason }),
      [MapSwitchEffectKind.Ended]: ({ result }) => {
        mapSwitch = undefined
        idleSinceMs = clock.nowMs()
        return { kind: MapCoordinatorEffectKind.SwitchEnded, result, tookMs: clock.nowMs() - switchStartedMs }
      }
    }
    return dispatch(performers, effect)
  })

  const views = () => [...readings.values()].map(({ view }) => view)

  const begin = (plan: SwitchPlan): MapSwitch => {
    switchId += 1
    switchStartedMs = clock.nowMs()
    mapSwitch = createMapSwitch({ clock, plan, views: views() })
    return mapSwitch
  }

  const plan = (list: readonly RankReading[]): MapCoordinatorEffect[] => {
    const bounds = limits()
    // Until the pass of the last switch begins, ranks are armed and the readings show the map before it.
    if (list.some(({ view }) => view.armed !== undefined)) return []
    if (bounds === undefined || demand.total() < DEMAND_MIN || clock.nowMs() - idleSinceMs < SETTLE_MS) return []
    const baseMap = mapOf(list)
    const { map, copies, peakBefore, peakAfter } = planReplicas(baseMap, demand.loads(), list.map(({ pace }) => pace), bounds)
    const share = expertShare()
    const passTime = (peak: number) => 1 - share + share * peak
    if (passTime(peakAfter) > (1 - PASS_GAIN_MIN) * passTime(peakBefore)) return []
    const { epoch } = list[0]!.view
    const version = nextVersion()
    isRecovery = false
    const started = begin({
      epoch, ranks: list.length, ownRank: ownRank() ?? 0, baseMap, version, takeFenceVersion: nextVersion, usedStep, map, passMs: pass.ms
    })
    return [
      { kind: MapCoordinatorEffectKind.Planned, version, copies, peakBefore, peakAfter },
      ...translate(started.handle({ kind: MapSwitchMessageKind.Started }))
    ]
  }

  /** Ranks with a higher one are fenced already. */
  const lowestPrepared = (list: readonly RankReading[]): number | undefined =>
    list.flatMap(({ view }) => (view.preparedVersion ?? 0) > view.mapVersion ? [view.preparedVersion!] : []).sort((a, b) => a - b)[0]

  /** The version that a switch under way is about. */
  const pendingVersion = (list: readonly RankReading[], heldStep: number): number | undefined =>
    list.find(({ view }) => view.armed?.step === heldStep)?.view.armed?.version ?? lowestPrepared(list)

  /**
   * The rank that is out of reach, if it is the only one and gave the orders of the switch under way: of no other
   * rank the others' states say whether it is armed.
   */
  const absentCoordinator = (list: readonly RankReading[], version: number | undefined): number | undefined => {
    const present = new Set(list.map(({ view }) => view.rank))
    const absent = Array.from({ length: list[0]!.ranks }, (_, rank) => rank).filter(rank => !present.has(rank))
    const [only] = absent
    return absent.length === 1 && version !== undefined && version % RANK_STRIDE === only ? only : undefined
  }

  /** Releases a group that a lost coordinator left held. */
  const recover = (): MapCoordinatorEffect[] => {
    const list = fresh(RECOVERY_READING_MAX_MS)
    const holder = list.find(({ view, ranks }) => view.rank === holderRankOf(ranks))
    if (holder === undefined) return []
    const { heldStep } = holder.view
    if (heldStep === undefined) {
      heldSinceMs = undefined
      return []
    }
    heldSinceMs ??= clock.nowMs()
    if (clock.nowMs() - heldSinceMs < HELD_LIMIT_MS) return []
    const pending = pendingVersion(list, heldStep)
    const absentRank = isWhole(list) ? undefined : absentCoordinator(list, pending)
    if (!isWhole(list) && absentRank === undefined) return []
    heldSinceMs = undefined
    isRecovery = true
    const baseMap = absentRank === undefined ? mapOf(list) : mapAround(list, absentRank)
    const taken = begin({
      epoch: list[0]!.view.epoch,
      ranks: list[0]!.ranks,
      ownRank: ownRank() ?? 0,
      ...(absentRank === undefined ? {} : { absentRank }),
      baseMap,
      version: pending ?? nextVersion(),
      takeFenceVersion: nextVersion,
      usedStep,
      map: baseMap,
      passMs: pass.ms
    })
    return translate(taken.handle({ kind: MapSwitchMessageKind.Recovered, heldStep }))
  }

  const heldStepNow = () => fresh(RECOVERY_READING_MAX_MS).find(({ view, ranks }) => view.rank === holderRankOf(ranks))?.view.heldStep

  /** Whether the switch under way can be dropped without a word: it holds nothing, or a new recovery does better. */
  const isObsolete = (): boolean => {
    if (mapSwitch?.phase === SwitchPhase.Preparing) return !isCoordinator || heldStepNow() !== undefined
    return isRecovery && mapSwitch !== undefined && mapSwitch.phase !== SwitchPhase.Releasing && clock.nowMs() - switchStartedMs > RECOVERY_LIMIT_MS
  }

  const onTick = (): MapCoordinatorEffect[] => {
    if (isObsolete()) mapSwitch = undefined
    if (mapSwitch !== undefined) return translate(mapSwitch.handle({ kind: MapSwitchMessageKind.Tick }))
    if (!isCoordinator) return []
    const recovered = recover()
    const list = fresh(READING_STALE_MS)
    return recovered.length > 0 || heldSinceMs !== undefined || !isWhole(list) ? recovered : plan(list)
  }

  const notePass = ({ step, stepAtMs }: RankStatus) => {
    const passed = step - pass.step
    if (passed > 0 && pass.step > 0 && stepAtMs > pass.atMs) pass.ms = 0.7 * pass.ms + 0.3 * (stepAtMs - pass.atMs) / passed
    if (passed !== 0) pass = { step, atMs: stepAtMs, ms: pass.ms }
  }

  const onReading = (reading: RankReading): MapCoordinatorEffect[] => {
    const { view, choices } = reading
    readings.set(view.rank, reading)
    noteStepUsed(view.epoch, view.heldStep)
    if (view.rank === ownRank()) notePass(view)
    demand.note(choices)
    return mapSwitch === undefined ? [] : translate(mapSwitch.handle({ kind: MapSwitchMessageKind.ViewsChanged, views: views() }))
  }

  const handlers: HandlerTable<MapCoordinatorMessage, MapCoordinatorEffect[]> = {
    [MapCoordinatorMessageKind.ReadingReceived]: ({ reading }) => onReading(reading),
    [MapCoordinatorMessageKind.OrderAnswered]: ({ switchId: answeredId, orderId, answer }) =>
      mapSwitch === undefined || answeredId !== switchId
        ? []
        : translate(mapSwitch.handle({ kind: MapSwitchMessageKind.OrderAnswered, orderId, answer })),
    // A switch that holds the group or has armed ranks is ended by the one that began it.
    [MapCoordinatorMessageKind.RoleChanged]: message => {
      isCoordinator = message.isCoordinator
      return []
    },
    [MapCoordinatorMessageKind.Tick]: onTick
  }

  return {
    handle: message => dispatch(handlers, message),
    get isSwitching () { return mapSwitch !== undefined && mapSwitch.phase !== SwitchPhase.Preparing }
  }
}
