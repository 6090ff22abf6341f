import { type Core, dispatch, type HandlerTable } from '../core/index.js'
import {
  BALLOT_RETRY_MS, HOLD_MARGIN_STEPS, POLL_INTERVAL_MS, RESEND_INTERVAL_MS
} from './constants.js'
import { applyChanges, createInitialMap, isSameMap } from './expertMap.js'
import { assessRound, RoundKind } from './assessRound.js'
import { createLeadership } from './leadership.js'
import { createStagePacer } from './stagePacer.js'
import { phaseMessage, stageMessage } from './roundMessages.js'
import {
  CoordinatorEffectKind, type CoordinatorEffect, type CoordinatorMessage, CoordinatorMessageKind,
  type SwitchCoordinatorOptions, SwitchOutcome
} from './coordinatorTypes.js'
import {
  canStage, createRound, enterPhase, enterStaging, lowestUnstartedStep, isAcked, isForRound, isOverdue, isRestart, type Member, recordNextStep, Phase,
  membersToResend, type Round, settledViewsOf
} from './round.js'
import {
  ALL_SWITCH_RULES, type CoordinatorBoundMessage, type RankBoundMessage, type RankView, ReleaseChoice,
  StageProgress, SwitchKind
} from './switchTypes.js'
import type { ExpertMap, MapId } from './types.js'

type Handlers = { [Kind in CoordinatorBoundMessage['kind']]: (member: Member, message: Extract<CoordinatorBoundMessage, { kind: Kind }>) => CoordinatorEffect[] }

/**
 * Switches the map of a group in rounds of four phases: prepare, stage, hold and release. Each phase
 * needs a reply from every rank. A coordinator acts only while its rank is the leader, or to end a
 * round that it began.
 *
 * @example
 * const coordinator = createSwitchCoordinator({ shape, rank: 0, incarnation, movesAtOnceMax: 2, clock, random })
 * coordinator.handle({ kind: CoordinatorMessageKind.SwitchRequested, base, map })
 */
export const createSwitchCoordinator = (options: SwitchCoordinatorOptions): Core<CoordinatorMessage, CoordinatorEffect> => {
  const { shape, rank: ownRank, incarnation, movesAtOnceMax, clock, random, rules = ALL_SWITCH_RULES } = options
  const initialMap = createInitialMap(shape)
  const leadership = createLeadership({ ranks: shape.ranks, clock })
  let knownMap: ExpertMap = initialMap
  let counter = 0
  let round: Round | undefined
  let pendingSwitch: { base: ExpertMap, map: ExpertMap } | undefined
  /** States of the ranks after a round that all of them acknowledged; the next round can skip its prepare phase. */
  let settledViews: RankView[] | undefined
  /** Whether ranks may still be in an unfinished round. */
  let needsRound = false
  let retryAtMs = Number.NEGATIVE_INFINITY
  const pacer = createStagePacer({ clock })

  /** Maps that can serve as the base of encoded changes, in order of preference. */
  const knownMaps = () => [knownMap, initialMap]

  const send = (member: Member, message: RankBoundMessage): CoordinatorEffect => {
    member.sentMs = clock.nowMs()
    return { kind: CoordinatorEffectKind.SendToRank, to: member.rank, message }
  }

  const sendToUnacked = (active: Round): CoordinatorEffect[] =>
    active.members.filter(({ isAcked }) => !isAcked).map(member => send(member, phaseMessage(active, member, knownMaps())))

  const startPhase = (active: Round, phase: Phase): CoordinatorEffect[] => {
    enterPhase(active, phase, clock.nowMs())
    return sendToUnacked(active)
  }

  const openRound = (): Round => {
    counter += 1
    needsRound = false
    settledViews = undefined
    round = createRound([counter, incarnation], shape.ranks, clock.nowMs())
    return round
  }

  const beginRound = (): CoordinatorEffect[] => sendToUnacked(openRound())

  /** Begins a round without a prepare phase; a rank that has promised another coordinator since then refuses it. */
  const beginSettledRound = (views: readonly RankView[]): CoordinatorEffect[] => {
    const active = openRound()
    active.isPrepared = false
    views.forEach((view, rank) => { active.members[rank]!.view = view })
    return continueRound(active)
  }

  /** Ends the current round and, if an outcome is given, the switch to `map`; a later request stays pending. */
  const closeRound = (outcome?: SwitchOutcome, map = pendingSwitch?.map): CoordinatorEffect[] => {
    round = undefined
    if (map === undefined || outcome === undefined) return []
    if (pendingSwitch?.map === map) pendingSwitch = undefined
    return [{ kind: CoordinatorEffectKind.SwitchEnded, outcome, map }]
  }

  const startStaging = (active: Round, target: ExpertMap): CoordinatorEffect[] => {
    enterStaging(active, knownMap, target, clock.nowMs())
    return sendStageMessages(active)
  }

  /** Sends as many stage messages as the limits on bytes and copies allow. */
  const sendStageMessages = (active: Round): CoordinatorEffect[] => {
    const nowMs = clock.nowMs()
    const effects: CoordinatorEffect[] = []
    for (const member of active.members) {
      if (member.isAcked || !canStage(active, member, movesAtOnceMax)) continue
      const isPoll = member.progress === StageProgress.Copying
      if (nowMs - member.sentMs < (isPoll ? POLL_INTERVAL_MS : RESEND_INTERVAL_MS)) continue
      if (!isPoll && !pacer.canSend()) continue
      const message = stageMessage(active, member, knownMaps(), !isPoll)
      pacer.consume(message.changes?.bytes.length ?? 0)
      effects.push(send(member, message))
    }
    return effects
  }

  const startHolding = (active: Round, step: number): CoordinatorEffect[] => {
    active.step = isRestart(active) ? null : step + HOLD_MARGIN_STEPS
    return startPhase(active, Phase.Holding)
  }

  const startReleasing = (active: Round, choice?: ReleaseChoice): CoordinatorEffect[] => {
    active.choice = choice
    if (choice === ReleaseChoice.Restart) active.step = lowestUnstartedStep(active)
    return startPhase(active, Phase.Releasing)
  }

  const startSwitch = (active: Round, newest: MapId): CoordinatorEffect[] => {
    if (pendingSwitch === undefined) return closeRound()
    const { base, map } = pendingSwitch
    if (isSameMap(map.id, newest)) return closeRound(SwitchOutcome.Done)
    if (!isSameMap(base.id, newest)) return closeRound(SwitchOutcome.Outdated)
    knownMap = base
    return startStaging(active, map)
  }

  /** Requests the map from one rank only, because a complete map takes about 10 KB. */
  const startFetching = (active: Round, newest: MapId): CoordinatorEffect[] => {
    enterPhase(active, Phase.Fetching, clock.nowMs())
    const source = active.members.find(({ view }) => isSameMap(view?.latest ?? undefined, newest))
    for (const member of active.members) member.isAcked = member !== source
    return sendToUnacked(active)
  }

  const startRestart = (active: Round, newest: MapId | undefined): CoordinatorEffect[] => {
    const known = [initialMap, knownMap].find(map => newest === undefined || isSameMap(map.id, newest))
    return known === undefined ? startFetching(active, newest!) : startStaging(active, known)
  }

  const roundHandlers: Record<RoundKind, (active: Round, newest: MapId | undefined) => CoordinatorEffect[]> = {
    [RoundKind.Clean]: (active, newest) => startSwitch(active, newest!),
    [RoundKind.RollBack]: active => startReleasing(active, ReleaseChoice.Keep),
    [RoundKind.Finish]: active => startReleasing(active),
    [RoundKind.Restart]: startRestart
  }

  const continueRound = (active: Round): CoordinatorEffect[] => {
    const views = active.members.map(({ view }) => view).filter(view => view !== undefined)
    const assessment = assessRound(views, rules.followsReleased)
    active.assessment = assessment
    return roundHandlers[assessment.kind](active, assessment.newest)
  }

  const finishRound = (active: Round): CoordinatorEffect[] => {
    settledViews = settledViewsOf(active)
    const { choice, target } = active
    if (target === undefined) return closeRound()
    if (choice === ReleaseChoice.Keep) return closeRound(SwitchOutcome.RolledBack, target)
    knownMap = target
    return closeRound(choice === ReleaseChoice.Restart ? undefined : SwitchOutcome.Done, target)
  }

  const completePhase: Record<Phase, (active: Round) => CoordinatorEffect[]> = {
    [Phase.Preparing]: active => isAcked(active) ? continueRound(active) : [],
    [Phase.Fetching]: () => [],
    [Phase.Staging]: active => isAcked(active) ? startHolding(active, lowestUnstartedStep(active)) : sendStageMessages(active),
    [Phase.Holding]: active => isAcked(active, rules.needsAllHolds)
      ? startReleasing(active, isRestart(active) ? ReleaseChoice.Restart : ReleaseChoice.Adopt)
      : [],
    [Phase.Releasing]: active => isAcked(active) ? finishRound(active) : []
  }

  const acknowledge = (member: Member, phase: Phase): CoordinatorEffect[] => {
    if (round?.phase !== phase) return []
    member.isAcked = true
    return completePhase[phase](round)
  }

  const onPrepared: Handlers[SwitchKind.Prepared] = (member, { view }) => {
    // The rank restarted between two replies, so its state in this round is no longer valid.
    if (member.view !== undefined && member.view.incarnation !== view.incarnation) return beginRound()
    if (round?.phase !== Phase.Preparing) return []
    member.view = { ...view }
    return acknowledge(member, Phase.Preparing)
  }

  const onRefused: Handlers[SwitchKind.Refused] = (_member, { promised }) => {
    counter = Math.max(counter, promised[0])
    needsRound = true
    // In the prepare phase, or without one, only the counter was too low; later phases let the higher ballot finish.
    const waitMs = round?.phase === Phase.Preparing || !round?.isPrepared ? RESEND_INTERVAL_MS : BALLOT_RETRY_MS
    retryAtMs = clock.nowMs() + waitMs * (1 + random.next())
    return closeRound()
  }

  const onStaged: Handlers[SwitchKind.Staged] = (member, { progress, nextStep }) => {
    recordNextStep(member, nextStep)
    if (round?.phase !== Phase.Staging) return []
    member.needsVersionZero ||= progress === StageProgress.BaseUnknown
    member.progress = progress
    return progress === StageProgress.Done ? acknowledge(member, Phase.Staging) : []
  }

  const onHeld: Handlers[SwitchKind.Held] = (member, { step, nextStep }) => {
    recordNextStep(member, nextStep)
    if (round?.phase !== Phase.Holding || round.step !== step) return []
    member.isHeld = true
    return acknowledge(member, Phase.Holding)
  }

  const onHoldMissed: Handlers[SwitchKind.HoldMissed] = (member, { step, nextStep }) => {
    recordNextStep(member, nextStep)
    if (round === undefined || round.phase !== Phase.Holding || round.step !== step) return []
    return startHolding(round, lowestUnstartedStep(round) + HOLD_MARGIN_STEPS)
  }

  const onReleased: Handlers[SwitchKind.Released] = member => {
    if (round?.phase === Phase.Releasing) member.isHeld = false
    return acknowledge(member, Phase.Releasing)
  }

  const onMapBody: Handlers[SwitchKind.MapBody] = (_member, { mapId, bytes }) => {
    if (round?.phase !== Phase.Fetching || !isSameMap(round.assessment?.newest, mapId)) return []
    knownMap = applyChanges(initialMap, bytes, mapId)
    return startStaging(round, knownMap)
  }

  const onRankStarted: Handlers[SwitchKind.RankStarted] = (member, message) => {
    if (member.view === undefined || member.view.incarnation === message.incarnation) return []
    return beginRound()
  }

  const switchHandlers: Handlers = {
    [SwitchKind.Prepared]: onPrepared,
    [SwitchKind.Refused]: onRefused,
    [SwitchKind.Staged]: onStaged,
    [SwitchKind.Held]: onHeld,
    [SwitchKind.HoldMissed]: onHoldMissed,
    [SwitchKind.Released]: onReleased,
    [SwitchKind.MapBody]: onMapBody,
    [SwitchKind.RankStarted]: onRankStarted
  }

  const onSwitch = (from: number, message: CoordinatorBoundMessage): CoordinatorEffect[] => {
    const handler = switchHandlers[message.kind] as (member: Member, message: CoordinatorBoundMessage) => CoordinatorEffect[]
    if (message.kind === SwitchKind.RankStarted) settledViews = undefined
    if (message.kind === SwitchKind.RankStarted && round === undefined) {
      needsRound = true
      return []
    }
    const member = round?.members[from]
    if (member === undefined || round === undefined || !isForRound(round, message)) return []
    return handler(member, message)
  }

  /** Resends to ranks that have not replied; for blocked ranks this also shows that the coordinator is alive. */
  const resend = (active: Round): CoordinatorEffect[] => {
    const resent = membersToResend(active, clock.nowMs()).map(member => send(member, active.phase === Phase.Staging
      ? stageMessage(active, member, knownMaps(), false)
      : phaseMessage(active, member, knownMaps())))
    return active.phase === Phase.Staging ? [...resent, ...sendStageMessages(active)] : resent
  }

  const onTick = (): CoordinatorEffect[] => {
    const nowMs = clock.nowMs()
    if (round === undefined) {
      const isDue = (pendingSwitch !== undefined || needsRound) && nowMs >= retryAtMs
      if (!isDue || leadership.leader() !== ownRank) return []
      return settledViews === undefined || needsRound ? beginRound() : beginSettledRound(settledViews)
    }
    return isOverdue(round, nowMs) ? startReleasing(round, ReleaseChoice.Keep) : resend(round)
  }

  /** A new leader begins a round, because ranks may be in an unfinished round of its predecessor. */
  const updateLeadership = (change: () => void): CoordinatorEffect[] => {
    change()
    needsRound ||= leadership.leader() === ownRank
    return []
  }

  const handlers: HandlerTable<CoordinatorMessage, CoordinatorEffect[]> = {
    [CoordinatorMessageKind.SwitchReceived]: ({ from, message }) => onSwitch(from, message),
    [CoordinatorMessageKind.SwitchRequested]: ({ base, map }) => {
      pendingSwitch = { base, map }
      return onTick()
    },
    [CoordinatorMessageKind.LiveRanksChanged]: ({ ranks }) => updateLeadership(() => leadership.setLive(ranks)),
    [CoordinatorMessageKind.CoordinatorSuspected]: ({ rank }) => updateLeadership(() => leadership.suspect(rank)),
    [CoordinatorMessageKind.Tick]: onTick
  }

  return { handle: message => dispatch(handlers, message) }
}
