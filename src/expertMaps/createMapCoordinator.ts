import { type Clock, type Core, dispatch, type HandlerTable, type Random, type TimestampMs } from '../core/index.js'
import { createArmingForecast } from './createArmingForecast.js'
import { createExpertDemand } from './createExpertDemand.js'
import { createMapSwitch, type MapSwitch } from './createMapSwitch.js'
import {
  type MapCoordinatorEffect, MapCoordinatorEffectKind, type MapCoordinatorMessage, MapCoordinatorMessageKind, type RankReading
} from './mapCoordinatorTypes.js'
import { type MapSwitchEffect, MapSwitchEffectKind, MapSwitchMessageKind, RankOrderKind, type RankStatus, SwitchPhase, type SwitchPlan } from './mapSwitchTypes.js'
import { holderRankOf } from './mapSwitchConstants.js'
import { planReplicas } from './planReplicas.js'
import type { ReplicaLimits, ReplicaMap } from './replicaTypes.js'

/** Maximum age of a reading that a plan uses. */
export const READING_AGE_MAX_MS = 900
/** A group held for this long while this process runs no switch is considered to have lost its coordinator. */
export const ORPHANED_HOLD_AGE_MS = 250
/**
 * Maximum age of a reading that a recovery uses. It is shorter than for a plan because a reading from before the hold
 * does not show whether the rank's process has been paused since.
 */
export const RECOVERY_READING_AGE_MAX_MS = 220
/** A recovery that takes longer is restarted, because a rank may have become unreachable after it began. */
export const RECOVERY_LIMIT_MS = 600
/** Minimum time between two switches. Demand does not depend on the map, so it need not settle first. */
export const SWITCH_INTERVAL_MIN_MS = 50
/** Minimum number of observed expert choices for a plan; with fewer, noise outweighs the demand. */
export const DEMAND_CHOICES_MIN = 1_500
/** Minimum predicted reduction of the duration of a forward pass, as a fraction, for which a switch starts. */
export const PASS_GAIN_MIN = 0.12
/**
 * A version encodes the rank and the run of the coordinator that allocated it. An order of an earlier run may
 * be executed late and must not be mistaken for an order of this run.
 */
const RANK_COUNT_MAX = 4_096
const RUN_ID_COUNT = 256
/** Version of the usual map, which no coordinator has sent to anyone. */
const INITIAL_MAP_VERSION = 0
const PASS_MS_DEFAULT = 60

export interface MapCoordinatorOptions {
  clock: Clock
  random: Random
  ownRank: () => number | undefined
  limits: () => ReplicaLimits | undefined
  /** Fraction of the duration of a forward pass that depends on the loads of the experts. */
  expertShare: () => number
}

export interface MapCoordinator extends Core<MapCoordinatorMessage, MapCoordinatorEffect> {
  /** Whether a running switch may have held the group or armed ranks; the process must not stop before it ends. */
  readonly isSwitching: boolean
}

/**
 * Plans the expert maps of one group and runs the switches to them, one at a time.
 *
 * @example
 * const coordinator = createMapCoordinator({ clock, random, ownRank, limits, expertShare })
 * coordinator.handle({ kind: MapCoordinatorMessageKind.ReadingReceived, reading })
 */
export const createMapCoordinator = (
  { clock, random, ownRank, limits, expertShare }: MapCoordinatorOptions
): MapCoordinator => {
  const demand = createExpertDemand({ clock })
  const runId = random.int(0, RUN_ID_COUNT - 1)
  const readingsByRank = new Map<number, RankReading>()
  let isCoordinator = false
  let mapSwitch: MapSwitch | undefined
  let switchId = 0
  let switchStartedMs: TimestampMs = 0
  let idleSinceMs: TimestampMs = 0
  let isRecovery = false
  let heldSinceMs: TimestampMs | undefined
  let pass = { step: 0, atMs: 0, ms: PASS_MS_DEFAULT }
  const arming = createArmingForecast({ clock })

  /**
   * Recent readings in ascending order of rank, without those of unreachable ranks. Empty if a rank is not open
   * or the readings differ in epoch or map.
   */
  const freshReadings = (ageMaxMs: number): RankReading[] => {
    const nowMs = clock.nowMs()
    const readings = [...readingsByRank.values()].filter(({ view }) => nowMs - view.stepAtMs < ageMaxMs).sort((a, b) => a.view.rank - b.view.rank)
    const [first] = readings
    const isConsistent = readings.every(({ isOpen, view }) =>
      isOpen && view.epoch === first!.view.epoch && view.mapVersion === first!.view.mapVersion)
    return isConsistent ? readings : []
  }

  const isComplete = (readings: readonly RankReading[]) => readings.length > 0 && readings.length === readings[0]!.ranks

  const mapOf = (readings: readonly RankReading[]): ReplicaMap =>
    readings[0]!.experts.map((_, set) => readings.map(({ experts }) => experts[set] ?? []))

  /** A map that needs no copy by a reachable rank: experts that none of them hosts go to the unreachable one. */
  const mapWithoutCopies = (readings: readonly RankReading[], absentRank: number): ReplicaMap => demand.loads().map((loads, set) => {
    const held = new Map(readings.map(({ view, experts }) => [view.rank, experts[set] ?? []]))
    const hosted = new Set([...held.values()].flat())
    const unhosted = loads.map((_, expert) => expert).filter(expert => !hosted.has(expert))
    return Array.from({ length: readings[0]!.ranks }, (_, rank) => rank === absentRank ? unhosted : held.get(rank) ?? [])
  })

  const highestVersion = () => Math.max(0, ...[...readingsByRank.values()].flatMap(({ view }) =>
    [view.mapVersion, view.preparedVersion ?? 0, view.armed?.version ?? 0]))

  let heldStepMax = 0
  let heldStepMaxEpoch = 0

  const recordHeldStep = (epoch: number, step: number | undefined) => {
    if (epoch > heldStepMaxEpoch) heldStepMax = 0
    heldStepMaxEpoch = Math.max(epoch, heldStepMaxEpoch)
    if (epoch === heldStepMaxEpoch) heldStepMax = Math.max(heldStepMax, step ?? 0)
  }

  let lastVersion = 0
  /** A version above every known one that no other rank allocates. */
  const nextVersion = (): number => {
    const rank = ownRank() ?? 0
    const round = Math.floor(Math.max(highestVersion(), lastVersion) / (RUN_ID_COUNT * RANK_COUNT_MAX)) + 1
    lastVersion = (round * RUN_ID_COUNT + runId) * RANK_COUNT_MAX + rank
    return lastVersion
  }

  const toCoordinatorEffects = (effects: readonly MapSwitchEffect[]): MapCoordinatorEffect[] => effects.map(effect => {
    const translators: HandlerTable<MapSwitchEffect, MapCoordinatorEffect> = {
      [MapSwitchEffectKind.SendOrder]: ({ orderId, rank, epoch, order }) => {
        if (order.kind === RankOrderKind.Hold) recordHeldStep(epoch, order.step)
        return { kind: MapCoordinatorEffectKind.SendOrder, switchId, orderId, rank, epoch, order }
      },
      [MapSwitchEffectKind.PhaseChanged]: ({ phase, step, reason }) => {
        if (phase === SwitchPhase.Holding) arming.recordHold()
        return { kind: MapCoordinatorEffectKind.PhaseChanged, phase, step, reason }
      },
      [MapSwitchEffectKind.Ended]: ({ result }) => {
        mapSwitch = undefined
        idleSinceMs = clock.nowMs()
        arming.recordEnd()
        return { kind: MapCoordinatorEffectKind.SwitchEnded, result, tookMs: clock.nowMs() - switchStartedMs }
      }
    }
    return dispatch(translators, effect)
  })

  const views = () => [...readingsByRank.values()].map(({ view }) => view)

  const createSwitch = (plan: SwitchPlan): MapSwitch => {
    switchId += 1
    switchStartedMs = clock.nowMs()
    arming.recordStart()
    mapSwitch = createMapSwitch({ clock, plan, views: views() })
    return mapSwitch
  }

  const plan = (readings: readonly RankReading[]): MapCoordinatorEffect[] => {
    const bounds = limits()
    // Until the pass of the last switch begins, ranks are armed and the readings show the previous map.
    // Readings from before its end do not even show that ranks are armed.
    if (readings.some(({ view }) => view.armed !== undefined || view.stepAtMs <= idleSinceMs)) return []
    if (bounds === undefined || demand.total() < DEMAND_CHOICES_MIN || clock.nowMs() - idleSinceMs < SWITCH_INTERVAL_MIN_MS) return []
    const baseMap = mapOf(readings)
    const { map, copies, peakBefore, peakAfter } = planReplicas(baseMap, demand.loads(), readings.map(({ pace }) => pace), bounds)
    const share = expertShare()
    const relativePassTime = (peak: number) => 1 - share + share * peak
    if (relativePassTime(peakAfter) > (1 - PASS_GAIN_MIN) * relativePassTime(peakBefore)) return []
    const { epoch, mapVersion } = readings[0]!.view
    const version = nextVersion()
    isRecovery = false
    const newSwitch = createSwitch({
      epoch,
      ranks: readings.length,
      ownRank: ownRank() ?? 0,
      baseMap,
      ...(mapVersion === INITIAL_MAP_VERSION ? {} : { baseVersion: mapVersion }),
      version,
      allocateFenceVersion: nextVersion,
      heldStepMax,
      map,
      passMs: pass.ms,
      armingMs: arming.expectedMs
    })
    return [
      { kind: MapCoordinatorEffectKind.Planned, version, copies, peakBefore, peakAfter },
      ...toCoordinatorEffects(newSwitch.handle({ kind: MapSwitchMessageKind.Started }))
    ]
  }

  /** Lowest prepared version that is not in use yet; ranks with a higher one are already fenced. */
  const lowestPrepared = (readings: readonly RankReading[]): number | undefined =>
    readings.flatMap(({ view }) => (view.preparedVersion ?? 0) > view.mapVersion ? [view.preparedVersion!] : []).sort((a, b) => a - b)[0]

  /** The version to which the running switch changes the group. */
  const pendingVersion = (readings: readonly RankReading[], heldStep: number): number | undefined =>
    readings.find(({ view }) => view.armed?.step === heldStep)?.view.armed?.version ?? lowestPrepared(readings)

  /**
   * The unreachable rank, if it is the only one and coordinates the running switch. For any other rank, the states of
   * the remaining ranks do not show whether it is armed.
   */
  const absentCoordinator = (readings: readonly RankReading[], version: number | undefined): number | undefined => {
    const present = new Set(readings.map(({ view }) => view.rank))
    const absent = Array.from({ length: readings[0]!.ranks }, (_, rank) => rank).filter(rank => !present.has(rank))
    const [absentRank] = absent
    return absent.length === 1 && version !== undefined && version % RANK_COUNT_MAX === absentRank ? absentRank : undefined
  }

  /** Starts a recovery switch that releases a group left held by a lost coordinator. */
  const recover = (): MapCoordinatorEffect[] => {
    const readings = freshReadings(RECOVERY_READING_AGE_MAX_MS)
    const holder = readings.find(({ view, ranks }) => view.rank === holderRankOf(ranks))
    if (holder === undefined) return []
    const { heldStep } = holder.view
    if (heldStep === undefined) {
      heldSinceMs = undefined
      return []
    }
    heldSinceMs ??= clock.nowMs()
    if (clock.nowMs() - heldSinceMs < ORPHANED_HOLD_AGE_MS) return []
    const pending = pendingVersion(readings, heldStep)
    const absentRank = isComplete(readings) ? undefined : absentCoordinator(readings, pending)
    if (!isComplete(readings) && absentRank === undefined) return []
    heldSinceMs = undefined
    isRecovery = true
    const baseMap = absentRank === undefined ? mapOf(readings) : mapWithoutCopies(readings, absentRank)
    const recoverySwitch = createSwitch({
      epoch: readings[0]!.view.epoch,
      ranks: readings[0]!.ranks,
      ownRank: ownRank() ?? 0,
      ...(absentRank === undefined ? {} : { absentRank }),
      baseMap,
      version: pending ?? nextVersion(),
      allocateFenceVersion: nextVersion,
      heldStepMax,
      map: baseMap,
      passMs: pass.ms,
      armingMs: arming.expectedMs
    })
    return toCoordinatorEffects(recoverySwitch.handle({ kind: MapSwitchMessageKind.Recovered, heldStep }))
  }

  const currentHeldStep = () => freshReadings(RECOVERY_READING_AGE_MAX_MS).find(({ view, ranks }) => view.rank === holderRankOf(ranks))?.view.heldStep

  /** Whether the running switch can be dropped without an order: it holds nothing, or a new recovery replaces it. */
  const canAbandonSwitch = (): boolean => {
    if (mapSwitch?.phase === SwitchPhase.Preparing) return !isCoordinator || currentHeldStep() !== undefined
    return isRecovery && mapSwitch !== undefined && mapSwitch.phase !== SwitchPhase.Releasing && clock.nowMs() - switchStartedMs > RECOVERY_LIMIT_MS
  }

  const onTick = (): MapCoordinatorEffect[] => {
    if (canAbandonSwitch()) mapSwitch = undefined
    if (mapSwitch !== undefined) return toCoordinatorEffects(mapSwitch.handle({ kind: MapSwitchMessageKind.Tick }))
    if (!isCoordinator) return []
    const recovered = recover()
    const readings = freshReadings(READING_AGE_MAX_MS)
    return recovered.length > 0 || heldSinceMs !== undefined || !isComplete(readings) ? recovered : plan(readings)
  }

  const recordPass = ({ step, stepAtMs }: RankStatus) => {
    const passCount = step - pass.step
    if (passCount > 0 && pass.step > 0 && stepAtMs > pass.atMs) pass.ms = 0.7 * pass.ms + 0.3 * (stepAtMs - pass.atMs) / passCount
    if (passCount !== 0) pass = { step, atMs: stepAtMs, ms: pass.ms }
  }

  const onReading = (reading: RankReading): MapCoordinatorEffect[] => {
    const { view, choices } = reading
    readingsByRank.set(view.rank, reading)
    recordHeldStep(view.epoch, view.heldStep)
    if (view.rank === ownRank()) recordPass(view)
    demand.record(choices)
    return mapSwitch === undefined ? [] : toCoordinatorEffects(mapSwitch.handle({ kind: MapSwitchMessageKind.ViewsChanged, views: views() }))
  }

  const handlers: HandlerTable<MapCoordinatorMessage, MapCoordinatorEffect[]> = {
    [MapCoordinatorMessageKind.ReadingReceived]: ({ reading }) => onReading(reading),
    [MapCoordinatorMessageKind.OrderAnswered]: ({ switchId: answeredId, orderId, answer }) =>
      mapSwitch === undefined || answeredId !== switchId
        ? []
        : toCoordinatorEffects(mapSwitch.handle({ kind: MapSwitchMessageKind.OrderAnswered, orderId, answer })),
    // After losing the role, this process still ends a switch of its own that holds the group or has armed ranks.
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
