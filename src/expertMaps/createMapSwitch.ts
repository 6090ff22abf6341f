import { type Clock, type Core, dispatch, type HandlerTable, type TimestampMs } from '../core/index.js'
import { ARM_LIMIT_MS, HOLD_LEAD_STEPS, HOLD_VIEW_AGE_MAX_MS, holderRankOf, ORDER_RETRY_MS, PREPARE_LIMIT_MS, PREPARE_RETRY_MS } from './mapSwitchConstants.js'
import {
  type MapSwitchEffect, MapSwitchEffectKind, type MapSwitchMessage, MapSwitchMessageKind, OrderAnswer, type RankOrder,
  RankOrderKind, type RankStatus, SwitchPhase, type SwitchPlan, SwitchResult, type VersionedMap
} from './mapSwitchTypes.js'

export interface MapSwitchOptions {
  clock: Clock
  plan: SwitchPlan
  /** Last known states of the ranks at the start of the switch. */
  views: readonly RankStatus[]
}

export interface MapSwitch extends Core<MapSwitchMessage, MapSwitchEffect> {
  readonly phase: SwitchPhase
}

/**
 * Switches one group to a new map so that all ranks use the same map in every forward pass. The group is held
 * before a pass. It is released once every rank has confirmed that it switches at that pass, or once every rank
 * has confirmed that it does not and cannot do so later.
 *
 * Ranks are armed in three waves: all other ranks, then the holder, then the coordinator's own rank. If the holder is
 * not armed, the coordinator's rank is not armed either, so the group can be released while its coordinator is
 * unreachable.
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
  /** Ranks that confirmed the order of the current phase. */
  let confirmed = new Set<number>()
  /** Ranks that have confirmed to be armed and were not disarmed since. */
  const armedRanks = new Set<number>()
  /** Ranks that have accepted the fence version: they are not armed and cannot be armed with a lower version. */
  const fencedRanks = new Set<number>()
  /** Ranks whose agents do not know the map in use, as they have restarted or have never been sent it. */
  const ranksWithoutBase = new Set<number>()
  const inFlightOrders = new Map<number, { rank: number, order: RankOrder }>()
  const sentAtMs = new Map<number, TimestampMs>()
  /** Number of orders sent to each rank in the current phase. */
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

  /** Chooses a pass that the group begins soon, extrapolated from the steps in the last known states. */
  const chooseHeldStep = () => {
    const nowMs = clock.nowMs()
    const estimatedSteps = [...views.values()].map(({ step: viewedStep, stepAtMs }) => viewedStep + Math.ceil((nowMs - stepAtMs) / plan.passMs))
    const leadSteps = HOLD_LEAD_STEPS + Math.ceil(plan.armingMs / plan.passMs)
    isStepChosen = true
    step = Math.max(step + 1, Math.max(0, ...estimatedSteps) + leadSteps)
  }

  const baseFor = (rank: number): { base?: VersionedMap } =>
    plan.baseVersion === undefined || ranksWithoutBase.has(rank) ? {} : { base: { version: plan.baseVersion, map: plan.baseMap } }

  /** The order that a rank must confirm in each phase. */
  const orderOf: Record<SwitchPhase, (rank: number) => RankOrder | undefined> = {
    [SwitchPhase.Preparing]: rank => ({ kind: RankOrderKind.Prepare, version, map: plan.map, ...baseFor(rank) }),
    [SwitchPhase.Holding]: rank => rank === holder ? { kind: RankOrderKind.Hold, step } : undefined,
    [SwitchPhase.Arming]: rank => waveOf(rank) === armingWave() ? { kind: RankOrderKind.Arm, version, step } : undefined,
    [SwitchPhase.Fencing]: rank =>
      rank === fenceCandidate() ? { kind: RankOrderKind.Prepare, version: fenceVersion, map: plan.baseMap, ...baseFor(rank) } : undefined,
    [SwitchPhase.Disarming]: rank => disarmOrder(rank),
    [SwitchPhase.Releasing]: rank => rank === holder ? { kind: RankOrderKind.Go, step } : undefined,
    [SwitchPhase.Ended]: () => undefined
  }

  const isReportedArmed = (rank: number) => {
    const armed = views.get(rank)?.armed
    return armed !== undefined && armed.version === version && armed.step === step
  }

  const waveOf = (rank: number) => rank === ownRank ? 2 : rank === holder ? 1 : 0

  /** The first wave with a rank that is not armed yet. */
  const armingWave = () => Math.min(...reachable.filter(rank => !armedRanks.has(rank)).map(waveOf))

  const areAllArmed = () => absentRank === undefined && reachable.every(rank => armedRanks.has(rank))

  /** The rank to fence first. With an absent rank, only the holder's state shows that the absent one is not armed. */
  const fenceCandidate = () => (absentRank === undefined ? [holder, ...reachable] : [holder]).find(rank => !armedRanks.has(rank))

  /** Called when no rank can be fenced first: either every rank is armed, or the absent one may be. */
  const endWithoutFence = () => areAllArmed() ? commit('every rank is armed') : finish(SwitchResult.CalledOff)

  /**
   * Allocates a new fence version if another coordinator has given the rank a higher one. All ranks must accept
   * the same fence version, because a rank that was fenced earlier may have been given another map since.
   */
  const raiseFenceVersion = (rank: number) => {
    const view = views.get(rank)
    if (view === undefined || view.armed !== undefined || (view.preparedVersion ?? 0) < fenceVersion) return
    fenceVersion = plan.allocateFenceVersion()
    fencedRanks.clear()
    // Responses to orders in flight refer to the previous fence version.
    inFlightOrders.clear()
    sentAtMs.clear()
    confirmed.clear()
  }

  const areAllFenced = () => reachable.every(rank => fencedRanks.has(rank))

  /** The next order of the disarming phase. An armed rank rejects a new map, so it is disarmed before the fence. */
  const disarmOrder = (rank: number): RankOrder | undefined => {
    if (fencedRanks.has(rank)) return undefined
    if (armedRanks.has(rank)) return { kind: RankOrderKind.Disarm, version }
    return { kind: RankOrderKind.Prepare, version: fenceVersion, map: plan.baseMap, ...baseFor(rank) }
  }

  const isWaitingFor = (rank: number) => !confirmed.has(rank) && orderOf[phase](rank) !== undefined

  const retryMs = () => phase === SwitchPhase.Preparing ? PREPARE_RETRY_MS : ORDER_RETRY_MS

  const sendPhaseOrders = (): MapSwitchEffect[] => reachable
    .filter(rank => isWaitingFor(rank) && clock.nowMs() - (sentAtMs.get(rank) ?? -Infinity) >= retryMs())
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
    // Copying continues after the order is accepted; the views show when it is complete.
    [SwitchPhase.Preparing]: () => [],
    [SwitchPhase.Holding]: () => enterPhase(SwitchPhase.Arming, 'group is held'),
    [SwitchPhase.Arming]: rank => {
      armedRanks.add(rank)
      return areAllArmed() ? commit('every rank is armed') : sendPhaseOrders()
    },
    [SwitchPhase.Fencing]: rank => {
      fencedRanks.add(rank)
      return enterPhase(SwitchPhase.Disarming, `rank ${rank} can no longer be armed`)
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
    // Nothing is armed or held yet, so the switch can end. A rejection of a retry is ignored: an order that was
    // executed without a response is rejected when it is sent again.
    [SwitchPhase.Preparing]: rank => (sendCounts.get(rank) ?? 0) > 1 ? [] : finish(SwitchResult.CalledOff),
    [SwitchPhase.Holding]: () => {
      const heldStep = views.get(holder)?.heldStep
      // Another switch holds the group.
      return heldStep !== undefined && heldStep !== step ? finish(SwitchResult.CalledOff) : beginHold('pass has already begun')
    },
    [SwitchPhase.Arming]: rank => callOff(`rank ${rank} rejected the arm order`),
    // Either the response to an arm order was lost, or the rank has a higher version; the views show which.
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

  const sendWholeMap = (rank: number): MapSwitchEffect[] => {
    ranksWithoutBase.add(rank)
    return isWaitingFor(rank) ? [send(rank, orderOf[phase](rank)!)] : []
  }

  const onOrderAnswered = (orderId: number, answer: OrderAnswer): MapSwitchEffect[] => {
    const answeredOrder = inFlightOrders.get(orderId)
    inFlightOrders.delete(orderId)
    if (answeredOrder === undefined || answer === OrderAnswer.None) return []
    const { rank, order } = answeredOrder
    if (answer === OrderAnswer.BaseUnknown) return sendWholeMap(rank)
    if (answer === OrderAnswer.Rejected) return onRejected[phase](rank, order)
    confirmed.add(rank)
    return onAccepted[phase](rank, order)
  }

  const onViewsChanged = (changedViews: readonly RankStatus[]): MapSwitchEffect[] => {
    views = byRank(changedViews)
    if (phase === SwitchPhase.Ended) return []
    if (changedViews.some(view => view.epoch > epoch)) return finish(SwitchResult.EpochEnded)
    const epochViews = changedViews.filter(view => view.epoch === epoch)
    // Another coordinator has already switched the group to a later map; ranks reject the orders of this switch.
    if (epochViews.some(view => view.mapVersion > version)) return finish(SwitchResult.CalledOff)
    if (isStepChosen && phase !== SwitchPhase.Holding && epochViews.some(view => view.step >= step)) {
      return finish(isSwitched ? SwitchResult.Switched : SwitchResult.CalledOff)
    }
    return phase === SwitchPhase.Preparing && reachable.every(isPrepared) ? beginHold('every rank has completed its copies') : []
  }

  const isPrepared = (rank: number) => {
    const view = views.get(rank)
    return view?.preparedVersion === version && clock.nowMs() - view.stepAtMs <= HOLD_VIEW_AGE_MAX_MS
  }

  const isOverdue = (limitMs: number) => clock.nowMs() - phaseSinceMs > limitMs

  const onTick = (): MapSwitchEffect[] => {
    if (phase === SwitchPhase.Ended) return []
    if (phase === SwitchPhase.Preparing && isOverdue(PREPARE_LIMIT_MS)) return finish(SwitchResult.CalledOff)
    if (phase === SwitchPhase.Arming && isOverdue(ARM_LIMIT_MS)) return callOff('not every rank confirmed the arm order in time')
    return sendPhaseOrders()
  }

  /** Continues the switch of a lost coordinator: `plan.version` is the version of the armed ranks, if there are any. */
  const onRecovered = (heldStep: number): MapSwitchEffect[] => {
    step = heldStep
    isStepChosen = true
    for (const rank of reachable) if (isReportedArmed(rank)) armedRanks.add(rank)
    return areAllArmed() ? commit('every rank is armed') : callOff('coordinator of the held group was lost')
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
