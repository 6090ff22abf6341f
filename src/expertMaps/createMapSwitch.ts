import { type Clock, type Core, dispatch, type HandlerTable, type TimestampMs } from '../core/index.js'
import { ARM_LIMIT_MS, HOLD_LEAD_STEPS, HOLD_VIEW_AGE_MAX_MS, holderRankOf, ORDER_RETRY_MS, PREPARE_LIMIT_MS } from './mapSwitchConstants.js'
import {
  type MapSwitchEffect, MapSwitchEffectKind, type MapSwitchMessage, MapSwitchMessageKind, OrderAnswer, type RankOrder,
  RankOrderKind, type RankStatus, SwitchPhase, type SwitchPlan, SwitchResult
} from './mapSwitchTypes.js'

export interface MapSwitchOptions {
  clock: Clock
  plan: SwitchPlan
  /** States of the ranks as they are known at the start. */
  views: readonly RankStatus[]
}

export interface MapSwitch extends Core<MapSwitchMessage, MapSwitchEffect> {
  readonly phase: SwitchPhase
}

/**
 * Switches one group to a new map without a pass in which two ranks use different ones. The group is held
 * ahead of a pass; it is released only when every rank has confirmed that it switches at that pass, or when
 * every rank has confirmed that it does not and cannot do so later.
 *
 * Ranks are armed in three waves: the others, the holder, the coordinator's own rank. So a holder that is not armed
 * proves that the coordinator's rank is not, and a group whose coordinator is out of reach can be released.
 *
 * @example
 * const mapSwitch = createMapSwitch({ clock, plan, views })
 * mapSwitch.handle({ kind: MapSwitchMessageKind.Started })
 */
export const createMapSwitch = ({ clock, plan, views: initialViews }: MapSwitchOptions): MapSwitch => {
  const { epoch, version, ranks, ownRank, absentRank } = plan
  const holder = holderRankOf(ranks)
  const reachable = Array.from({ length: ranks }, (_, rank) => rank).filter(rank => rank !== absentRank)
  let phase = SwitchPhase.Preparing
  let phaseSinceMs = clock.nowMs()
  const byRank = (list: readonly RankStatus[]) => new Map(list.map(view => [view.rank, view]))
  let views = byRank(initialViews)
  let step = plan.heldStepMax
  let isStepChosen = false
  let fenceVersion = plan.allocateFenceVersion()
  let isSwitched = false
  let nextOrderId = 1
  /** Ranks that confirmed the order of the phase. */
  let confirmed = new Set<number>()
  /** Ranks that ever confirmed to be armed. */
  const armedRanks = new Set<number>()
  /** Ranks that have accepted the fence version, so that they are not armed, and cannot be with any lower one. */
  const fencedRanks = new Set<number>()
  const inFlightOrders = new Map<number, { rank: number, order: RankOrder }>()
  const sentAtMs = new Map<number, TimestampMs>()
  /** Orders sent to each rank in this phase. */
  const sendCounts = new Map<number, number>()

  const send = (rank: number, order: RankOrder): MapSwitchEffect => {
    const orderId = nextOrderId++
    inFlightOrders.set(orderId, { rank, order })
    sentAtMs.set(rank, clock.nowMs())
    sendCounts.set(rank, (sendCounts.get(rank) ?? 0) + 1)
    return { kind: MapSwitchEffectKind.SendOrder, orderId, rank, epoch, order }
  }

  const enterPhase = (nextPhase: SwitchPhase, reason: string): MapSwitchEffect[] => {
    phase = nextPhase
    phaseSinceMs = clock.nowMs()
    confirmed = new Set()
    inFlightOrders.clear()
    sentAtMs.clear()
    sendCounts.clear()
    return [{ kind: MapSwitchEffectKind.PhaseChanged, phase, step: isStepChosen ? step : undefined, reason }, ...sendPhaseOrders()]
  }

  const finish = (result: SwitchResult): MapSwitchEffect[] => {
    phase = SwitchPhase.Ended
    inFlightOrders.clear()
    return [{ kind: MapSwitchEffectKind.Ended, result }]
  }

  /** Pass that the group begins soon, judged from how far it was when its state was read. */
  const chooseHeldStep = () => {
    const nowMs = clock.nowMs()
    const estimatedSteps = [...views.values()].map(({ step: viewedStep, stepAtMs }) => viewedStep + Math.ceil((nowMs - stepAtMs) / plan.passMs))
    isStepChosen = true
    step = Math.max(step + 1, Math.max(0, ...estimatedSteps) + HOLD_LEAD_STEPS)
  }

  /** The order that a rank owes a confirmation for in each phase. */
  const orderOf: Record<SwitchPhase, (rank: number) => RankOrder | undefined> = {
    [SwitchPhase.Preparing]: () => ({ kind: RankOrderKind.Prepare, version, map: plan.map }),
    [SwitchPhase.Holding]: rank => rank === holder ? { kind: RankOrderKind.Hold, step } : undefined,
    [SwitchPhase.Arming]: rank => waveOf(rank) === armingWave() ? { kind: RankOrderKind.Arm, version, step } : undefined,
    [SwitchPhase.Fencing]: rank =>
      rank === fenceCandidate() ? { kind: RankOrderKind.Prepare, version: fenceVersion, map: plan.baseMap } : undefined,
    [SwitchPhase.Disarming]: rank => disarmOrder(rank),
    [SwitchPhase.Releasing]: rank => rank === holder ? { kind: RankOrderKind.Go, step } : undefined,
    [SwitchPhase.Ended]: () => undefined
  }

  const isReportedArmed = (rank: number) => {
    const armed = views.get(rank)?.armed
    return armed !== undefined && armed.version === version && armed.step === step
  }

  const waveOf = (rank: number) => rank === ownRank ? 2 : rank === holder ? 1 : 0

  /** The first wave that has a rank still to be armed. */
  const armingWave = () => Math.min(...reachable.filter(rank => !armedRanks.has(rank)).map(waveOf))

  const areAllArmed = () => absentRank === undefined && reachable.every(rank => armedRanks.has(rank))

  /** A rank to be fenced first; with a rank out of reach only the holder proves anything. */
  const fenceCandidate = () => (absentRank === undefined ? [holder, ...reachable] : [holder]).find(rank => !armedRanks.has(rank))

  /** Once no candidate is left: every rank is armed, or the absent one may be. */
  const endWithoutFence = () => areAllArmed() ? commit('every rank is armed') : finish(SwitchResult.CalledOff)

  /**
   * Another coordinator has given the rank a higher version. All ranks must accept one and the same fence: a rank that
   * was fenced before may have been given another map since.
   */
  const raiseFenceVersion = (rank: number) => {
    const view = views.get(rank)
    if (view === undefined || view.armed !== undefined || (view.preparedVersion ?? 0) < fenceVersion) return
    fenceVersion = plan.allocateFenceVersion()
    fencedRanks.clear()
    // An answer that is still to come is about the version before.
    inFlightOrders.clear()
    sentAtMs.clear()
    confirmed.clear()
  }

  const areAllFenced = () => reachable.every(rank => fencedRanks.has(rank))

  /** An armed rank accepts no new map, so it is disarmed first and then given the higher version. */
  const disarmOrder = (rank: number): RankOrder | undefined => {
    if (fencedRanks.has(rank)) return undefined
    if (armedRanks.has(rank)) return { kind: RankOrderKind.Disarm, version }
    return { kind: RankOrderKind.Prepare, version: fenceVersion, map: plan.baseMap }
  }

  const isWaitingFor = (rank: number) => !confirmed.has(rank) && orderOf[phase](rank) !== undefined

  const sendPhaseOrders = (): MapSwitchEffect[] => reachable
    .filter(rank => isWaitingFor(rank) && clock.nowMs() - (sentAtMs.get(rank) ?? -Infinity) >= ORDER_RETRY_MS)
    .map(rank => send(rank, orderOf[phase](rank)!))

  const callOff = (reason: string): MapSwitchEffect[] => {
    isSwitched = false
    return fenceCandidate() === undefined ? endWithoutFence() : enterPhase(SwitchPhase.Fencing, reason)
  }

  const commit = (reason: string): MapSwitchEffect[] => {
    isSwitched = true
    return enterPhase(SwitchPhase.Releasing, reason)
  }

  const beginHold = (reason: string): MapSwitchEffect[] => {
    chooseHeldStep()
    return enterPhase(SwitchPhase.Holding, reason)
  }

  const onAccepted: Record<SwitchPhase, (rank: number, order: RankOrder) => MapSwitchEffect[]> = {
    // The copy goes on after the order is accepted; the views show when it is complete.
    [SwitchPhase.Preparing]: () => [],
    [SwitchPhase.Holding]: () => enterPhase(SwitchPhase.Arming, 'group is held'),
    [SwitchPhase.Arming]: rank => {
      armedRanks.add(rank)
      return areAllArmed() ? commit('every rank is armed') : sendPhaseOrders()
    },
    [SwitchPhase.Fencing]: rank => {
      fencedRanks.add(rank)
      return enterPhase(SwitchPhase.Disarming, `rank ${rank} cannot be armed any more`)
    },
    [SwitchPhase.Disarming]: (rank, order) => {
      confirmed.delete(rank)
      if (order.kind === RankOrderKind.Disarm) armedRanks.delete(rank)
      else fencedRanks.add(rank)
      sentAtMs.delete(rank)
      return areAllFenced() ? enterPhase(SwitchPhase.Releasing, 'no rank is armed') : sendPhaseOrders()
    },
    [SwitchPhase.Releasing]: () => finish(isSwitched ? SwitchResult.Switched : SwitchResult.CalledOff),
    [SwitchPhase.Ended]: () => []
  }

  const onRejected: Record<SwitchPhase, (rank: number, order: RankOrder) => MapSwitchEffect[]> = {
    // Nothing is armed or held yet.
    // A repeat of an order that was carried out without an answer is rejected too.
    [SwitchPhase.Preparing]: rank => (sendCounts.get(rank) ?? 0) > 1 ? [] : finish(SwitchResult.CalledOff),
    [SwitchPhase.Holding]: () => {
      const heldStep = views.get(holder)?.heldStep
      // Another switch holds the group.
      return heldStep !== undefined && heldStep !== step ? finish(SwitchResult.CalledOff) : beginHold('pass has begun')
    },
    [SwitchPhase.Arming]: rank => callOff(`rank ${rank} rejects the order to arm`),
    // The rank is armed by an order whose answer was lost, or has had a higher version; the views say so.
    [SwitchPhase.Fencing]: rank => {
      if (isReportedArmed(rank)) armedRanks.add(rank)
      else raiseFenceVersion(rank)
      return fenceCandidate() === undefined ? endWithoutFence() : []
    },
    [SwitchPhase.Disarming]: (rank, order) => {
      if (order.kind === RankOrderKind.Disarm) armedRanks.delete(rank)
      else if (isReportedArmed(rank)) armedRanks.add(rank)
      else raiseFenceVersion(rank)
      return []
    },
    [SwitchPhase.Releasing]: () => finish(isSwitched ? SwitchResult.Switched : SwitchResult.CalledOff),
    [SwitchPhase.Ended]: () => []
  }

  const onOrderAnswered = (orderId: number, answer: OrderAnswer): MapSwitchEffect[] => {
    const answeredOrder = inFlightOrders.get(orderId)
    inFlightOrders.delete(orderId)
    if (answeredOrder === undefined || answer === OrderAnswer.None) return []
    const { rank, order } = answeredOrder
    if (answer === OrderAnswer.Rejected) return onRejected[phase](rank, order)
    confirmed.add(rank)
    return onAccepted[phase](rank, order)
  }

  const onViewsChanged = (changedViews: readonly RankStatus[]): MapSwitchEffect[] => {
    views = byRank(changedViews)
    if (phase === SwitchPhase.Ended) return []
    if (changedViews.some(view => view.epoch > epoch)) return finish(SwitchResult.EpochEnded)
    const epochViews = changedViews.filter(view => view.epoch === epoch)
    // Another coordinator has taken the group further; the orders of this switch cannot be carried out any more.
    if (epochViews.some(view => view.mapVersion > version)) return finish(SwitchResult.CalledOff)
    if (isStepChosen && phase !== SwitchPhase.Holding && epochViews.some(view => view.step >= step)) {
      return finish(isSwitched ? SwitchResult.Switched : SwitchResult.CalledOff)
    }
    return phase === SwitchPhase.Preparing && reachable.every(isPrepared) ? beginHold('every rank has its copies') : []
  }

  const isPrepared = (rank: number) => {
    const view = views.get(rank)
    return view?.preparedVersion === version && clock.nowMs() - view.stepAtMs <= HOLD_VIEW_AGE_MAX_MS
  }

  const isOverdue = (limitMs: number) => clock.nowMs() - phaseSinceMs > limitMs

  const onTick = (): MapSwitchEffect[] => {
    if (phase === SwitchPhase.Ended) return []
    if (phase === SwitchPhase.Preparing && isOverdue(PREPARE_LIMIT_MS)) return finish(SwitchResult.CalledOff)
    if (phase === SwitchPhase.Arming && isOverdue(ARM_LIMIT_MS)) return callOff('not every rank confirms in time')
    return sendPhaseOrders()
  }

  /** The plan's version is the one that ranks are armed with, if any is. */
  const onRecovered = (heldStep: number): MapSwitchEffect[] => {
    step = heldStep
    isStepChosen = true
    for (const rank of reachable) if (isReportedArmed(rank)) armedRanks.add(rank)
    return areAllArmed() ? commit('every rank is armed') : callOff('coordinator of the held group is gone')
  }

  const handlers: HandlerTable<MapSwitchMessage, MapSwitchEffect[]> = {
    [MapSwitchMessageKind.Started]: () => enterPhase(SwitchPhase.Preparing, 'planned'),
    [MapSwitchMessageKind.Recovered]: ({ heldStep }) => onRecovered(heldStep),
    [MapSwitchMessageKind.OrderAnswered]: ({ orderId, answer }) => onOrderAnswered(orderId, answer),
    [MapSwitchMessageKind.ViewsChanged]: ({ views: changedViews }) => onViewsChanged(changedViews),
    [MapSwitchMessageKind.Tick]: onTick
  }

  return { handle: message => dispatch(handlers, message), get phase () { return phase } }
}
