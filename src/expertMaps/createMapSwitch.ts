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
export const createMapSwitch = ({ clock, plan, views: firstViews }: MapSwitchOptions): MapSwitch => {
  const { epoch, version, ranks, ownRank, absentRank } = plan
  const holder = holderRankOf(ranks)
  const reachable = Array.from({ length: ranks }, (_, rank) => rank).filter(rank => rank !== absentRank)
  let phase = SwitchPhase.Preparing
  let phaseSinceMs = clock.nowMs()
  const byRank = (list: readonly RankStatus[]) => new Map(list.map(view => [view.rank, view]))
  let views = byRank(firstViews)
  let step = plan.usedStep
  let isStepChosen = false
  let fenceVersion = plan.takeFenceVersion()
  let isSwitched = false
  let nextOrderId = 1
  /** Ranks that confirmed the order of the phase. */
  let confirmed = new Set<number>()
  /** Ranks that ever confirmed to be armed. */
  const armedRanks = new Set<number>()
  /** Ranks that have accepted the fence version, so that they are not armed, and cannot be with any lower one. */
  const fencedRanks = new Set<number>()
  const running = new Map<number, { rank: number, order: RankOrder }>()
  const sentAtMs = new Map<number, TimestampMs>()
  /** Orders sent to each rank in this phase. */
  const sendCounts = new Map<number, number>()

  const send = (rank: number, order: RankOrder): MapSwitchEffect => {
    const orderId = nextOrderId++
    running.set(orderId, { rank, order })
    sentAtMs.set(rank, clock.nowMs())
    sendCounts.set(rank, (sendCounts.get(rank) ?? 0) + 1)
    return { kind: MapSwitchEffectKind.SendOrder, orderId, rank, epoch, order }
  }

  const enter = (next: SwitchPhase, reason: string): MapSwitchEffect[] => {
    phase = next
    phaseSinceMs = clock.nowMs()
    confirmed = new Set()
    running.clear()
    sentAtMs.clear()
    sendCounts.clear()
    return [{ kind: MapSwitchEffectKind.PhaseChanged, phase, step: isStepChosen ? step : undefined, reason }, ...sendPhaseOrders()]
  }

  const finish = (result: SwitchResult): MapSwitchEffect[] => {
    phase = SwitchPhase.Ended
    running.clear()
    return [{ kind: MapSwitchEffectKind.Ended, result }]
  }

  /** Pass that the group begins soon, judged from how far it was when its state was read. */
  const chooseStep = () => {
    const nowMs = clock.nowMs()
    const reached = [...views.values()].map(({ step: seen, stepAtMs }) => seen + Math.ceil((nowMs - stepAtMs) / plan.passMs))
    isStepChosen = true
    step = Math.max(step + 1, Math.max(0, ...reached) + HOLD_LEAD_STEPS)
  }

  /** The order that a rank owes a confirmation for in each phase. */
  const orderOf: Record<SwitchPhase, (rank: number) => RankOrder | undefined> = {
    [SwitchPhase.Preparing]: () => ({ kind: RankOrderKind.Prepare, version, map: plan.map }),
    [SwitchPhase.Holding]: rank => rank === holder ? { kind: RankOrderKind.Hold, step } : undefined,
    [SwitchPhase.Arming]: rank => waveOf(rank) === armingWave() ? { kind: RankOrderKind.Arm, version, step } : undefined,
    [SwitchPhase.Fencing]: rank =>
      rank === fencedCandidate() ? { kind: RankOrderKind.Prepare, version: fenceVersion, map: plan.baseMap } : undefined,
    [SwitchPhase.Disarming]: rank => disarmOrder(rank),
    [SwitchPhase.Releasing]: rank => rank === holder ? { kind: RankOrderKind.Go, step } : undefined,
    [SwitchPhase.Ended]: () => undefined
  }

  const isArmedHere = (rank: number) => {
    const armed = views.get(rank)?.armed
    return armed !== undefined && armed.version === version && armed.step === step
  }

  const waveOf = (rank: number) => rank === ownRank ? 2 : rank === holder ? 1 : 0

  /** The first wave that has a rank still to be armed. */
  const armingWave = () => Math.min(...reachable.filter(rank => !armedRanks.has(rank)).map(waveOf))

  const areAllArmed = () => absentRank === undefined && reachable.every(rank => armedRanks.has(rank))

  /** A rank to be fenced first; with a rank out of reach only the holder proves anything. */
  const fencedCandidate = () => (absentRank === undefined ? [holder, ...reachable] : [holder]).find(rank => !armedRanks.has(rank))

  /** Once no candidate is left: every rank is armed, or the absent one may be. */
  const endWithoutCandidate = () => areAllArmed() ? commit('every rank is armed') : finish(SwitchResult.CalledOff)

  /**
   * Another coordinator has given the rank a higher version. All ranks must accept one and the same fence: a rank that
   * was fenced before may have been given another map since.
   */
  const raiseFence = (rank: number) => {
    const view = views.get(rank)
    if (view === undefined || view.armed !== undefined || (view.preparedVersion ?? 0) < fenceVersion) return
    fenceVersion = plan.takeFenceVersion()
    fencedRanks.clear()
    // An answer that is still to come is about the version before.
    running.clear()
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
    return fencedCandidate() === undefined ? endWithoutCandidate() : enter(SwitchPhase.Fencing, reason)
  }

  const commit = (reason: string): MapSwitchEffect[] => {
    isSwitched = true
    return enter(SwitchPhase.Releasing, reason)
  }

  const hold = (reason: string): MapSwitchEffect[] => {
    chooseStep()
    return enter(SwitchPhase.Holding, reason)
  }

  const onAccepted: Record<SwitchPhase, (rank: number, order: RankOrder) => MapSwitchEffect[]> = {
    // The copy goes on after the order is accepted; the views show when it is complete.
    [SwitchPhase.Preparing]: () => [],
    [SwitchPhase.Holding]: () => enter(SwitchPhase.Arming, 'group is held'),
    [SwitchPhase.Arming]: rank => {
      armedRanks.add(rank)
      return areAllArmed() ? commit('every rank is armed') : sendPhaseOrders()
    },
    [SwitchPhase.Fencing]: rank => {
      fencedRanks.add(rank)
      return enter(SwitchPhase.Disarming, `rank ${rank} cannot be armed any more`)
    },
    [SwitchPhase.Disarming]: (rank, order) => {
      confirmed.delete(rank)
      if (order.kind === RankOrderKind.Disarm) armedRanks.delete(rank)
      else fencedRanks.add(rank)
      sentAtMs.delete(rank)
      return areAllFenced() ? enter(SwitchPhase.Releasing, 'no rank is armed') : sendPhaseOrders()
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
      return heldStep !== undefined && heldStep !== step ? finish(SwitchResult.CalledOff) : hold('pass has begun')
    },
    [SwitchPhase.Arming]: rank => callOff(`rank ${rank} rejects the order to arm`),
    // The rank is armed by an order whose answer was lost, or has had a higher version; the views say so.
    [SwitchPhase.Fencing]: rank => {
      if (isArmedHere(rank)) armedRanks.add(rank)
      else raiseFence(rank)
      return fencedCandidate() === undefined ? endWithoutCandidate() : []
    },
    [SwitchPhase.Disarming]: (rank, order) => {
      if (order.kind === RankOrderKind.Disarm) armedRanks.delete(rank)
      else if (isArmedHere(rank)) armedRanks.add(rank)
      else raiseFence(rank)
      return []
    },
    [SwitchPhase.Releasing]: () => finish(isSwitched ? SwitchResult.Switched : SwitchResult.CalledOff),
    [SwitchPhase.Ended]: () => []
  }

  const onOrderAnswered = (orderId: number, answer: OrderAnswer): MapSwitchEffect[] => {
    const answered = running.get(orderId)
    running.delete(orderId)
    if (answered === undefined || answer === OrderAnswer.None) return []
    const { rank, order } = answered
    if (answer === OrderAnswer.Rejected) return onRejected[phase](rank, order)
    confirmed.add(rank)
    return onAccepted[phase](rank, order)
  }

  const onViewsChanged = (changed: readonly RankStatus[]): MapSwitchEffect[] => {
    views = byRank(changed)
    if (phase === SwitchPhase.Ended) return []
    if (changed.some(view => view.epoch > epoch)) return finish(SwitchResult.EpochEnded)
    const current = changed.filter(view => view.epoch === epoch)
    // Another coordinator has taken the group further; the orders of this switch cannot be carried out any more.
    if (current.some(view => view.mapVersion > version)) return finish(SwitchResult.CalledOff)
    if (isStepChosen && phase !== SwitchPhase.Holding && current.some(view => view.step >= step)) {
      return finish(isSwitched ? SwitchResult.Switched : SwitchResult.CalledOff)
    }
    return phase === SwitchPhase.Preparing && reachable.every(isPrepared) ? hold('every rank has its copies') : []
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
    for (const rank of reachable) if (isArmedHere(rank)) armedRanks.add(rank)
    return areAllArmed() ? commit('every rank is armed') : callOff('coordinator of the held group is gone')
  }

  const handlers: HandlerTable<MapSwitchMessage, MapSwitchEffect[]> = {
    [MapSwitchMessageKind.Started]: () => enter(SwitchPhase.Preparing, 'planned'),
    [MapSwitchMessageKind.Recovered]: ({ heldStep }) => onRecovered(heldStep),
    [MapSwitchMessageKind.OrderAnswered]: ({ orderId, answer }) => onOrderAnswered(orderId, answer),
    [MapSwitchMessageKind.ViewsChanged]: ({ views: changed }) => onViewsChanged(changed),
    [MapSwitchMessageKind.Tick]: onTick
  }

  return { handle: message => dispatch(handlers, message), get phase () { return phase } }
}
