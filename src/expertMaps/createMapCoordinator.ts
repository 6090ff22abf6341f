import { type Clock, type Core, dispatch, type HandlerTable, type TimestampMs } from '../core/index.js'
import { createExpertDemand } from './createExpertDemand.js'
import { createMapSwitch, type MapSwitch } from './createMapSwitch.js'
import {
  type MapCoordinatorEffect, MapCoordinatorEffectKind, type MapCoordinatorMessage, MapCoordinatorMessageKind, type RankReading
} from './mapCoordinatorTypes.js'
import { type MapSwitchEffect, MapSwitchEffectKind, MapSwitchMessageKind, type RankStatus, SwitchPhase, type SwitchPlan } from './mapSwitchTypes.js'
import { planReplicas } from './planReplicas.js'
import type { ReplicaLimits, ReplicaMap } from './replicaTypes.js'

/** A reading older than this says nothing about a rank. */
export const READING_STALE_MS = 900
/** A group that is held this long without a switch of this process has lost its coordinator. */
export const HELD_LIMIT_MS = 400
/** Time between two switches; the demand does not depend on the map, so a plan need not wait for its effect. */
export const SETTLE_MS = 50
/** Choices that must be known before a plan; fewer show chance more than demand. */
export const DEMAND_MIN = 1_500
/** A new map must make passes shorter by this share. */
export const PASS_GAIN_MIN = 0.12
/** Versions are unique by the rank of the coordinator that gives them. */
const VERSION_STRIDE = 4_096
const PASS_MS_DEFAULT = 60

export interface MapCoordinatorOptions {
  clock: Clock
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
 * const coordinator = createMapCoordinator({ clock, ownRank, limits, expertShare })
 * coordinator.handle({ kind: MapCoordinatorMessageKind.ReadingReceived, reading })
 */
export const createMapCoordinator = (
  { clock, ownRank, limits, expertShare }: MapCoordinatorOptions
): MapCoordinator => {
  const demand = createExpertDemand({ clock })
  const readings = new Map<number, RankReading>()
  let isCoordinator = false
  let mapSwitch: MapSwitch | undefined
  let switchId = 0
  let switchStartedMs: TimestampMs = 0
  let idleSinceMs: TimestampMs = 0
  let heldSinceMs: TimestampMs | undefined
  let pass = { step: 0, atMs: 0, ms: PASS_MS_DEFAULT }

  const whole = (): RankReading[] | undefined => {
    const list = [...readings.values()].sort((a, b) => a.view.rank - b.view.rank)
    const [first] = list
    const nowMs = clock.nowMs()
    const isWhole = first !== undefined && list.length === first.ranks && list.every(({ isOpen, view }) =>
      isOpen && view.epoch === first.view.epoch && view.mapVersion === first.view.mapVersion && nowMs - view.stepAtMs < READING_STALE_MS)
    return isWhole ? list : undefined
  }

  const mapOf = (list: readonly RankReading[]): ReplicaMap =>
    list[0]!.experts.map((_, set) => list.map(({ experts }) => experts[set] ?? []))

  const highestVersion = () => Math.max(0, ...[...readings.values()].flatMap(({ view }) =>
    [view.mapVersion, view.preparedVersion ?? 0, view.armed?.version ?? 0]))

  let lastVersion = 0
  /** Higher than all that is known, and never given by another rank. */
  const nextVersion = (): number => {
    const own = ownRank() ?? 0
    const round = Math.floor(Math.max(highestVersion(), lastVersion) / VERSION_STRIDE) + 1
    lastVersion = round * VERSION_STRIDE + own
    return lastVersion
  }

  const translate = (effects: readonly MapSwitchEffect[]): MapCoordinatorEffect[] => effects.map(effect => {
    const performers: HandlerTable<MapSwitchEffect, MapCoordinatorEffect> = {
      [MapSwitchEffectKind.SendOrder]: ({ orderId, rank, epoch, order }) =>
        ({ kind: MapCoordinatorEffectKind.SendOrder, switchId, orderId, rank, epoch, order }),
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
    mapSwitch = createMapSwitch({ clock, plan })
    mapSwitch.handle({ kind: MapSwitchMessageKind.ViewsChanged, views: views() })
    return mapSwitch
  }

  const plan = (list: readonly RankReading[]): MapCoordinatorEffect[] => {
    const bounds = limits()
    // Until the pass of the last switch begins, ranks are armed and the readings show the map before it.
    if (list.some(({ view }) => view.armed !== undefined)) return []
    if (bounds === undefined || demand.total() < DEMAND_MIN || clock.nowMs() - idleSinceMs < SETTLE_MS) return []
    const baseMap = mapOf(list)
    const { map, copies, peakBefore, peakAfter } = planReplicas(baseMap, demand.loads(), bounds)
    const share = expertShare()
    const passTime = (peak: number) => 1 - share + share * peak
    if (passTime(peakAfter) > (1 - PASS_GAIN_MIN) * passTime(peakBefore)) return []
    const { epoch } = list[0]!.view
    const version = nextVersion()
    const started = begin({ epoch, ranks: list.length, baseMap, version, fenceVersion: nextVersion(), map, passMs: pass.ms })
    return [
      { kind: MapCoordinatorEffectKind.Planned, version, copies, peakBefore, peakAfter },
      ...translate(started.handle({ kind: MapSwitchMessageKind.Started }))
    ]
  }

  /** Releases a group that a lost coordinator left held. */
  const recover = (list: readonly RankReading[]): MapCoordinatorEffect[] => {
    const heldStep = list.find(({ view }) => view.heldStep !== undefined)?.view.heldStep
    if (heldStep === undefined) {
      heldSinceMs = undefined
      return []
    }
    heldSinceMs ??= clock.nowMs()
    if (clock.nowMs() - heldSinceMs < HELD_LIMIT_MS) return []
    heldSinceMs = undefined
    const armedVersion = list.find(({ view }) => view.armed?.step === heldStep)?.view.armed?.version
    const baseMap = mapOf(list)
    const taken = begin({
      epoch: list[0]!.view.epoch, ranks: list.length, baseMap, version: armedVersion ?? nextVersion(), fenceVersion: nextVersion(), map: baseMap, passMs: pass.ms
    })
    return translate(taken.handle({ kind: MapSwitchMessageKind.Recovered, heldStep }))
  }

  const onTick = (): MapCoordinatorEffect[] => {
    if (mapSwitch !== undefined) return translate(mapSwitch.handle({ kind: MapSwitchMessageKind.Tick }))
    const list = whole()
    if (!isCoordinator || list === undefined) return []
    const recovered = recover(list)
    return recovered.length > 0 || heldSinceMs !== undefined ? recovered : plan(list)
  }

  const notePass = ({ step, stepAtMs }: RankStatus) => {
    const passed = step - pass.step
    if (passed > 0 && pass.step > 0 && stepAtMs > pass.atMs) pass.ms = 0.7 * pass.ms + 0.3 * (stepAtMs - pass.atMs) / passed
    if (passed !== 0) pass = { step, atMs: stepAtMs, ms: pass.ms }
  }

  const onReading = (reading: RankReading): MapCoordinatorEffect[] => {
    const { view, choices } = reading
    readings.set(view.rank, reading)
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
    // A switch under way is ended by the one that began it.
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
