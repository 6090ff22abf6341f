import { type Clock, type Core, dispatch, type HandlerTable, type Incarnation } from '../core/index.js'
import { COORDINATOR_SILENCE_MS, RANK_STARTED_INTERVAL_MS } from './constants.js'
import { Admission, createBallotPromise } from './ballotPromise.js'
import { applyChanges, createInitialMap, encodeChanges, isSameMap } from './expertMap.js'
import { createLeadership } from './leadership.js'
import {
  ALL_SWITCH_RULES, type Ballot, compareBallots, type CoordinatorBoundMessage, type Hold, type MapChanges,
  type RankBoundMessage, type RankView, ReleaseChoice, StageProgress, SwitchKind, type SwitchRules
} from './switchTypes.js'
import type { ExpertMap, GroupShape, ItemIndex, MapId } from './types.js'
import { createWeightStaging, type WeightEffect } from './weightStaging.js'

export enum RankMessageKind {
  SwitchReceived = 'switch-received',
  /** The engine is ready to begin a step and waits for StepAllowed. */
  StepRequested = 'step-requested',
  /** A copy or load ended; a store that refuses a load may give a time after which to retry. */
  LoadFinished = 'load-finished',
  LiveRanksChanged = 'live-ranks-changed',
  Tick = 'tick'
}

export type RankMessage =
  | { kind: RankMessageKind.SwitchReceived, from: number, message: RankBoundMessage }
  | { kind: RankMessageKind.StepRequested, step: number }
  | { kind: RankMessageKind.LoadFinished, item: ItemIndex, isDone: boolean, retryAfterMs?: number }
  | { kind: RankMessageKind.LiveRanksChanged, ranks: readonly number[] }
  | { kind: RankMessageKind.Tick }

export enum RankEffectKind {
  SendToCoordinator = 'send-to-coordinator',
  StepAllowed = 'step-allowed',
  /** The engine must abandon the current step and request the given one. */
  ResumeAt = 'resume-at',
  MapActivated = 'map-activated',
  /** Passed on to the coordinator core of this process. */
  CoordinatorSuspected = 'coordinator-suspected'
}

export type RankEffect =
  | { kind: RankEffectKind.SendToCoordinator, to: number, message: CoordinatorBoundMessage }
  | { kind: RankEffectKind.StepAllowed, step: number, map: ExpertMap }
  | { kind: RankEffectKind.ResumeAt, step: number }
  | { kind: RankEffectKind.MapActivated, map: ExpertMap }
  | { kind: RankEffectKind.CoordinatorSuspected, rank: number }
  | WeightEffect

export interface SwitchRankOptions {
  shape: GroupShape
  rank: number
  incarnation: Incarnation
  clock: Clock
  rules?: SwitchRules
}

interface Held extends Hold {
  ballot: Ballot
  map: ExpertMap
}

type Handlers = { [Kind in RankBoundMessage['kind']]: (from: number, message: Extract<RankBoundMessage, { kind: Kind }>) => RankEffect[] }

/**
 * Decides for one rank which step may run with which map. A rank starts without a map and runs no
 * step until a round of the coordinator has released it with one.
 *
 * @example
 * const switchRank = createSwitchRank({ shape, rank: 3, incarnation, clock })
 * switchRank.handle({ kind: RankMessageKind.StepRequested, step: 1 }) // [] until the first release
 */
export const createSwitchRank = (
  { shape, rank, incarnation, clock, rules = ALL_SWITCH_RULES }: SwitchRankOptions
): Core<RankMessage, RankEffect> => {
  const initialMap = createInitialMap(shape)
  const staging = createWeightStaging({ rank, clock })
  const leadership = createLeadership({ ranks: shape.ranks, clock })
  const promise = createBallotPromise({ incarnation, rules })
  let current: ExpertMap | undefined
  let scheduledSwitch: { map: ExpertMap, step: number } | undefined
  let held: Held | undefined
  let nextStep = 1
  let requestedStep: number | undefined
  let coordinatorSilentSinceMs = clock.nowMs()
  /** Stage message whose completion has not been reported yet. */
  let unreportedStage: { from: number, ballot: Ballot } | undefined
  /** Ballot of the last stage message; a hold is accepted only from the same ballot. */
  let stagedBallot: Ballot | undefined
  let announcedAtMs = Number.NEGATIVE_INFINITY

  const latest = () => scheduledSwitch?.map ?? current
  const maps = () => [current, scheduledSwitch?.map].filter(map => map !== undefined)

  const view = (): RankView => ({
    incarnation,
    nextStep,
    latest: latest()?.id ?? null,
    held: held === undefined ? null : { mapId: held.mapId, step: held.step }
  })

  const reply = (to: number, message: CoordinatorBoundMessage): RankEffect =>
    ({ kind: RankEffectKind.SendToCoordinator, to, message })

  const activateScheduledMap = (step: number): RankEffect[] => {
    if (scheduledSwitch === undefined || step < scheduledSwitch.step) return []
    current = scheduledSwitch.map
    scheduledSwitch = undefined
    // While a map is staged for the next switch, its weights must be kept.
    const dropped = staging.stagedMap === undefined ? staging.endStaging([current]) : []
    return [{ kind: RankEffectKind.MapActivated, map: current }, ...dropped]
  }

  const isStepHeld = (step: number) => held !== undefined && (held.step === null || step >= held.step)

  /** Allows the requested step as soon as the rank has a map and no hold covers the step. */
  const allowStep = (): RankEffect[] => {
    const step = requestedStep
    if (step === undefined || latest() === undefined || isStepHeld(step)) return []
    const activated = activateScheduledMap(step)
    if (current === undefined) return []
    requestedStep = undefined
    nextStep = step + 1
    return [...activated, { kind: RankEffectKind.StepAllowed, step, map: current }]
  }

  const baseOf = (id: MapId): ExpertMap | undefined =>
    [initialMap, ...maps(), staging.stagedMap].find(map => isSameMap(map?.id, id))

  const mapFrom = (changes: MapChanges, id: MapId): ExpertMap | undefined => {
    const base = baseOf(changes.base)
    return base === undefined ? undefined : applyChanges(base, changes.bytes, id)
  }

  const onPrepare: Handlers[SwitchKind.Prepare] = (from, { ballot }) =>
    [reply(from, { kind: SwitchKind.Prepared, ballot, view: view() })]

  const stagedReply = (from: number, ballot: Ballot, progress: StageProgress) =>
    reply(from, { kind: SwitchKind.Staged, ballot, progress, nextStep })

  const stageProgress = (mapId: MapId) =>
    staging.isComplete(mapId) ? StageProgress.Done : StageProgress.Copying

  const onStage: Handlers[SwitchKind.Stage] = (from, { ballot, mapId, changes, hasPeers }) => {
    if (isSameMap(staging.stagedMap?.id, mapId)) {
      stagedBallot = ballot
      return [stagedReply(from, ballot, stageProgress(mapId))]
    }
    if (changes === undefined) return [stagedReply(from, ballot, StageProgress.Unknown)]
    const map = mapFrom(changes, mapId)
    if (map === undefined) return [stagedReply(from, ballot, StageProgress.BaseUnknown)]
    const effects = staging.begin(map, current ?? map, hasPeers)
    stagedBallot = ballot
    unreportedStage = { from, ballot }
    return [...effects, stagedReply(from, ballot, stageProgress(mapId))]
  }

  /** Reports the end of staging at once; if that message is lost, the coordinator polls for progress. */
  const onLoadFinished = (item: ItemIndex, isDone: boolean, retryAfterMs?: number): RankEffect[] => {
    const effects = staging.finished(item, isDone, retryAfterMs)
    const map = staging.stagedMap
    if (unreportedStage === undefined || map === undefined || !staging.isComplete(map.id)) return effects
    const { from, ballot } = unreportedStage
    unreportedStage = undefined
    return [...effects, stagedReply(from, ballot, StageProgress.Done)]
  }

  const onHold: Handlers[SwitchKind.Hold] = (from, { ballot, step }) => {
    const map = staging.stagedMap
    const isStaged = map !== undefined && staging.isComplete(map.id) &&
      stagedBallot !== undefined && compareBallots(stagedBallot, ballot) === 0
    if (!isStaged) return []
    if (step !== null && step < nextStep) {
      return [reply(from, { kind: SwitchKind.HoldMissed, ballot, step, nextStep })]
    }
    // A reordered hold of the same ballot must not move the hold to an earlier step.
    const isLater = held === undefined || compareBallots(held.ballot, ballot) < 0 ||
      (held.step !== null && step !== null && step > held.step)
    if (isLater) held = { ballot, mapId: map.id, step, map }
    const accepted: RankEffect = reply(from, { kind: SwitchKind.Held, ballot, step: held!.step, nextStep })
    return [accepted, ...allowStep()]
  }

  const adopt = (mapId: MapId, step: number): boolean => {
    if (isSameMap(latest()?.id, mapId)) return true
    const isMatch = held !== undefined && isSameMap(held.mapId, mapId) && held.step === step
    if (!isMatch && rules.needsAllHolds) return false
    const map = held?.map ?? staging.stagedMap
    if (map === undefined || !isSameMap(map.id, mapId)) return false
    scheduledSwitch = { map, step }
    return true
  }

  const restart = (mapId: MapId, step: number): boolean => {
    if (held === undefined || held.step !== null || !isSameMap(held.mapId, mapId)) return false
    current = held.map
    scheduledSwitch = undefined
    nextStep = step
    requestedStep = undefined
    return true
  }

  const releaseHandlers: Record<ReleaseChoice, (mapId: MapId, step: number) => boolean> = {
    [ReleaseChoice.Adopt]: adopt,
    [ReleaseChoice.Keep]: mapId => isSameMap(latest()?.id, mapId),
    [ReleaseChoice.Restart]: restart
  }

  const onRelease: Handlers[SwitchKind.Release] = (from, { ballot, choice, mapId, step }) => {
    if (!releaseHandlers[choice](mapId, step)) return []
    held = undefined
    promise.close()
    const effects: RankEffect[] = [reply(from, { kind: SwitchKind.Released, ballot })]
    if (choice === ReleaseChoice.Restart) {
      effects.push({ kind: RankEffectKind.MapActivated, map: current! }, { kind: RankEffectKind.ResumeAt, step })
    }
    return [...effects, ...staging.endStaging(maps()), ...allowStep()]
  }

  const onMapRequest: Handlers[SwitchKind.MapRequest] = (from, { ballot, mapId }) => {
    const map = maps().find(known => isSameMap(known.id, mapId))
    if (map === undefined) return []
    return [reply(from, { kind: SwitchKind.MapBody, ballot, mapId, bytes: encodeChanges(initialMap, map) })]
  }

  const rankHandlers: Handlers = {
    [SwitchKind.Prepare]: onPrepare,
    [SwitchKind.Stage]: onStage,
    [SwitchKind.Hold]: onHold,
    [SwitchKind.Release]: onRelease,
    [SwitchKind.MapRequest]: onMapRequest
  }

  const onSwitch = (from: number, message: RankBoundMessage): RankEffect[] => {
    const admission = promise.admit(message)
    if (admission !== Admission.Refuse) coordinatorSilentSinceMs = clock.nowMs()
    return admissionHandlers[admission](from, message)
  }

  const admissionHandlers: Record<Admission, (from: number, message: RankBoundMessage) => RankEffect[]> = {
    [Admission.Handle]: (from, message) => {
      const handler = rankHandlers[message.kind] as (from: number, message: RankBoundMessage) => RankEffect[]
      return handler(from, message)
    },
    [Admission.Refuse]: (from, { ballot }) =>
      [reply(from, { kind: SwitchKind.Refused, ballot, promised: promise.ballot! })],
    [Admission.Repeat]: (from, { ballot }) => [reply(from, { kind: SwitchKind.Released, ballot })],
    [Admission.Ignore]: () => []
  }

  /** Whether the rank cannot proceed until a coordinator acts. */
  const isBlocked = () => held !== undefined || latest() === undefined

  const announce = (): RankEffect[] => {
    const nowMs = clock.nowMs()
    if (latest() !== undefined || nowMs - announcedAtMs < RANK_STARTED_INTERVAL_MS) return []
    announcedAtMs = nowMs
    return [reply(leadership.leader(), { kind: SwitchKind.RankStarted, incarnation })]
  }

  const suspectSilentCoordinator = (): RankEffect[] => {
    const nowMs = clock.nowMs()
    if (!isBlocked()) coordinatorSilentSinceMs = nowMs
    if (nowMs - coordinatorSilentSinceMs < COORDINATOR_SILENCE_MS) return []
    coordinatorSilentSinceMs = nowMs
    const silentRank = leadership.leader()
    leadership.suspect(silentRank)
    return [{ kind: RankEffectKind.CoordinatorSuspected, rank: silentRank }]
  }

  const handlers: HandlerTable<RankMessage, RankEffect[]> = {
    [RankMessageKind.SwitchReceived]: ({ from, message }) => onSwitch(from, message),
    [RankMessageKind.StepRequested]: ({ step }) => {
      if (step < nextStep) return []
      requestedStep = step
      return allowStep()
    },
    [RankMessageKind.LoadFinished]: ({ item, isDone, retryAfterMs }) => onLoadFinished(item, isDone, retryAfterMs),
    [RankMessageKind.LiveRanksChanged]: ({ ranks }) => {
      leadership.setLive(ranks)
      return []
    },
    [RankMessageKind.Tick]: () => [...staging.tick(), ...suspectSilentCoordinator(), ...announce()]
  }

  return { handle: message => dispatch(handlers, message) }
}
