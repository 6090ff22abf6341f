import { type Clock, type Core, dispatch, type HandlerTable, type TimestampMs } from '../core/index.js'
import { ARM_LIMIT_MS, HOLD_LEAD_STEPS, HOLDER_RANK, ORDER_RETRY_MS, PREPARE_LIMIT_MS } from './mapSwitchConstants.js'
import {
  type MapSwitchEffect, MapSwitchEffectKind, type MapSwitchMessage, MapSwitchMessageKind, OrderAnswer, type RankOrder,
  RankOrderKind, type RankStatus, SwitchPhase, type SwitchPlan, SwitchResult
} from './mapSwitchTypes.js'

export interface MapSwitchOptions {
  clock: Clock
  plan: SwitchPlan
}

export interface MapSwitch extends Core<MapSwitchMessage, MapSwitchEffect> {
  readonly phase: SwitchPhase
}

/**
 * Switches one group to a new map without a pass in which two ranks use different ones. The group is held
 * ahead of a pass; it is released only when every rank has confirmed that it switches at that pass, or when
 * every rank has confirmed that it does not and cannot do so later.
 *
 * @example
 * const mapSwitch = createMapSwitch({ clock, plan })
 * mapSwitch.handle({ kind: MapSwitchMessageKind.Started })
 */
export const createMapSwitch = ({ clock, plan }: MapSwitchOptions): MapSwitch => {
  const { epoch, version, fenceVersion, ranks } = plan
  const allRanks = Array.from({ length: ranks }, (_, rank) => rank)
  let phase = SwitchPhase.Preparing
  let phaseSinceMs = clock.nowMs()
  let views = new Map<number, RankStatus>()
  let step = 0
  let isSwitched = false
  let nextOrderId = 1
  /** Ranks that confirmed the order of the phase. */
  let confirmed = new Set<number>()
  /** Ranks that ever confirmed to be armed. */
  const armedRanks = new Set<number>()
  /** Ranks that can no longer be armed with the version. */
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
    return [{ kind: MapSwitchEffectKind.PhaseChanged, phase, step: step === 0 ? undefined : step, reason }, ...sendPhaseOrders()]
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
    step = Math.max(step + 1, Math.max(0, ...reached) + HOLD_LEAD_STEPS)
  }

  /** The order that a rank owes a confirmation for in each phase. */
  const orderOf: Record<SwitchPhase, (rank: number) => RankOrder | undefined> = {
    [SwitchPhase.Preparing]: () => ({ kind: RankOrderKind.Prepare, version, map: plan.map }),
    [SwitchPhase.Holding]: rank => rank === HOLDER_RANK ? { kind: RankOrderKind.Hold, step } : undefined,
    [SwitchPhase.Arming]: () => ({ kind: RankOrderKind.Arm, version, step }),
    [SwitchPhase.Fencing]: rank =>
      rank === fencedCandidate() ? { kind: RankOrderKind.Prepare, version: fenceVersion, map: plan.baseMap } : undefined,
    [SwitchPhase.Disarming]: rank => disarmOrder(rank),
    [SwitchPhase.Releasing]: rank => rank === HOLDER_RANK ? { kind: RankOrderKind.Go, step } : undefined,
    [SwitchPhase.Ended]: () => undefined
  }

  const isArmedHere = (rank: number) => {
    const armed = views.get(rank)?.armed
    return armed !== undefined && armed.version === version && armed.step === step
  }

  const fencedCandidate = () => allRanks.find(rank => !armedRanks.has(rank))

  /** An armed rank accepts no new map, so it is disarmed first and then given the higher version. */
  const disarmOrder = (rank: number): RankOrder | undefined => {
    if (fencedRanks.has(rank)) return undefined
    if (armedRanks.has(rank)) return { kind: RankOrderKind.Disarm, version }
    return { kind: RankOrderKind.Prepare, version: fenceVersion, map: plan.baseMap }
  }

  const isWaitingFor = (rank: number) => !confirmed.has(rank) && orderOf[phase](rank) !== undefined

  const sendPhaseOrders = (): MapSwitchEffect[] => allRanks
    .filter(rank => isWaitingFor(rank) && clock.nowMs() - (sentAtMs.get(rank) ?? -Infinity) >= ORDER_RETRY_MS)
    .map(rank => send(rank, orderOf[phase](rank)!))

  const callOff = (reason: string): MapSwitchEffect[] => {
    isSwitched = false
    return fencedCandidate() === undefined ? commit('every rank is armed') : enter(SwitchPhase.Fencing, reason)
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
      return armedRanks.size === ranks ? commit('every rank is armed') : []
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
      return fencedRanks.size === ranks ? enter(SwitchPhase.Releasing, 'no rank is armed') : sendPhaseOrders()
    },
    [SwitchPhase.Releasing]: () => finish(isSwitched ? SwitchResult.Switched : SwitchResult.CalledOff),
    [SwitchPhase.Ended]: () => []
  }

  const onRejected: Record<SwitchPhase, (rank: number, order: RankOrder) => MapSwitchEffect[]> = {
    // Nothing is armed or held yet.
    // A repeat of an order that was carried out without an answer is rejected too.
    [SwitchPhase.Preparing]: rank => (sendCounts.get(rank) ?? 0) > 1 ? [] : finish(SwitchResult.CalledOff),
    [SwitchPhase.Holding]: () => {
      const heldStep = views.get(HOLDER_RANK)?.heldStep
      // Another switch holds the group.
      return heldStep !== undefined && heldStep !== step ? finish(SwitchResult.CalledOff) : hold('pass has begun')
    },
    [SwitchPhase.Arming]: rank => callOff(`rank ${rank} rejects the order to arm`),
    // The rank is armed by an order whose answer was lost; the views say so.
    [SwitchPhase.Fencing]: rank => {
      if (isArmedHere(rank)) armedRanks.add(rank)
      return fencedCandidate() === undefined ? commit('every rank is armed') : []
    },
    [SwitchPhase.Disarming]: (rank, order) => {
      if (order.kind === RankOrderKind.Disarm) armedRanks.delete(rank)
      else if (isArmedHere(rank)) armedRanks.add(rank)
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
    views = new Map(changed.map(view => [view.rank, view]))
    if (phase === SwitchPhase.Ended) return []
    if (changed.some(view => view.epoch > epoch)) return finish(SwitchResult.EpochEnded)
    const isPrepared = allRanks.every(rank => views.get(rank)?.preparedVersion === version)
    return phase === SwitchPhase.Preparing && isPrepared ? hold('every rank has its copies') : []
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
    for (const rank of allRanks) if (isArmedHere(rank)) armedRanks.add(rank)
    return armedRanks.size === ranks ? commit('every rank is armed') : callOff('coordinator of the held group is gone')
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
