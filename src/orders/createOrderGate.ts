import { type Clock, type Core, dispatch, type HandlerTable, ResultCode, type TimestampMs } from '../core/index.js'
import {
  ENGINE_CHECK_INTERVAL_MS, ENGINE_QUERY_TIMEOUT_MS, EngineKnowledge, FENCE_CONFIRM_TIMEOUT_MS, FenceKnowledge, GateRule,
  ORDER_FAILURES_REPORTED, ORDER_RETRY_MAX_MS, ORDER_RETRY_MIN_MS, ORDER_TIMEOUT_MS, OrderResult
} from './constants.js'
import { applyOrder, nextOrder } from './engineOrders.js'
import {
  type EngineAssignment, type EngineOrder, type EngineState, type Fence, type GateEffect, GateEffectKind,
  type GateMessage, GateMessageKind
} from './types.js'

export interface OrderGateOptions {
  /** Whether the engine refuses stale tokens by itself; the pool row says so. */
  checksFence: boolean
  clock: Clock
  createOrderId: () => string
  disabledRules?: ReadonlySet<GateRule>
}

interface InFlight {
  orderId: string
  token: number
  order: EngineOrder
}

interface Wanted {
  fence: Fence
  desired: EngineAssignment
  isSettled: boolean
  failures: number
}

const isNewer = (a: Fence, b: Fence) => a.token > b.token || (a.token === b.token && a.sequence > b.sequence)

/**
 * Brings the agent's engine to its assignment, one order at a time, and checks the fencing token
 * before each order. After a lost answer it asks the engine what it runs and waits until it is idle.
 * An engine that ignores tokens gets no order from a new agent until an entry has read the lease
 * stream to its end, because the agent before it may have known a higher token. An empty engine is
 * no exception: an order with that token may have failed there.
 *
 * The engine client sends orders and queries on one connection, in order, and reports a loss only
 * once that connection is closed.
 *
 * @example
 * const gate = createOrderGate({ checksFence: true, clock, createOrderId })
 * gate.handle({ kind: GateMessageKind.AssignmentReceived, fence, desired }) // [{ kind: GateEffectKind.QueryEngine }]
 */
export const createOrderGate = (
  { checksFence, clock, createOrderId, disabledRules = new Set() }: OrderGateOptions
): Core<GateMessage, GateEffect> => {
  const isOn = (rule: GateRule) => !disabledRules.has(rule)
  let highestToken = 0
  let wanted: Wanted | undefined
  let knowledge = EngineKnowledge.Unknown
  let engine: EngineState = { adapters: [] }
  let isEngineBusy = false
  let inFlight: InFlight | undefined
  /** Time of the last query, order or known state. */
  let sinceMs: TimestampMs = clock.nowMs()
  let notBeforeMs: TimestampMs = 0
  // An engine that checks tokens remembers them through a restart of its agent.
  let fence = checksFence || !isOn(GateRule.ConfirmedAtStart) ? FenceKnowledge.Confirmed : FenceKnowledge.Unconfirmed
  let confirmSentMs: TimestampMs = 0

  const setKnowledge = (value: EngineKnowledge) => {
    knowledge = value
    sinceMs = clock.nowMs()
  }

  const settle = (code: ResultCode): GateEffect[] => {
    if (wanted === undefined || wanted.isSettled) return []
    wanted.isSettled = true
    return [{ kind: GateEffectKind.AssignmentSettled, fence: wanted.fence, code }]
  }

  const dropSuperseded = (): GateEffect[] => {
    if (wanted === undefined || wanted.fence.token >= highestToken || !isOn(GateRule.TokenChecked)) return []
    const effects = settle(ResultCode.FenceSuperseded)
    wanted = undefined
    return effects
  }

  const noteToken = (token: number): GateEffect[] => {
    highestToken = Math.max(highestToken, token)
    return dropSuperseded()
  }

  const query = (): GateEffect[] => {
    setKnowledge(EngineKnowledge.Querying)
    return [{ kind: GateEffectKind.QueryEngine }]
  }

  const confirm = (): GateEffect[] => {
    fence = FenceKnowledge.Confirming
    confirmSentMs = clock.nowMs()
    return [{ kind: GateEffectKind.ConfirmFence }]
  }

  const sendNext = ({ fence: { token }, desired }: Wanted): GateEffect[] => {
    if (fence === FenceKnowledge.Confirming) return []
    if (fence === FenceKnowledge.Unconfirmed) return confirm()
    // A lost order may still run. Finished after the next one, it would undo it, and a fencing token
    // is only checked when an order arrives.
    if (isEngineBusy && isOn(GateRule.IdleAfterLoss)) return []
    const order = nextOrder(engine, desired)
    if (order === undefined) return settle(ResultCode.Ok)
    const orderId = createOrderId()
    inFlight = { orderId, token, order }
    setKnowledge(EngineKnowledge.Ordering)
    return [{ kind: GateEffectKind.SendOrder, orderId, token, order }]
  }

  const proceedWhile: Record<EngineKnowledge, (current: Wanted) => GateEffect[]> = {
    [EngineKnowledge.Unknown]: query,
    [EngineKnowledge.Querying]: () => [],
    [EngineKnowledge.Known]: sendNext,
    [EngineKnowledge.Ordering]: current => isOn(GateRule.OneOrderAtATime) ? [] : sendNext(current)
  }

  const proceed = (): GateEffect[] => {
    if (wanted === undefined || clock.nowMs() < notBeforeMs) return []
    return proceedWhile[knowledge](wanted)
  }

  const onAssignment = (newFence: Fence, desired: EngineAssignment): GateEffect[] => {
    if (newFence.token < highestToken && isOn(GateRule.TokenChecked)) {
      return [{ kind: GateEffectKind.AssignmentSettled, fence: newFence, code: ResultCode.FenceSuperseded }]
    }
    // Entries send an assignment again, and messages overtake each other.
    if (wanted !== undefined && isOn(GateRule.TokenChecked) && !isNewer(newFence, wanted.fence)) return []
    highestToken = Math.max(highestToken, newFence.token)
    wanted = { fence: newFence, desired, isSettled: false, failures: 0 }
    notBeforeMs = 0
    return proceed()
  }

  const retryLater = (): GateEffect[] => {
    inFlight = undefined
    setKnowledge(EngineKnowledge.Unknown)
    if (wanted === undefined) return []
    wanted.failures += 1
    notBeforeMs = clock.nowMs() + Math.min(ORDER_RETRY_MAX_MS, ORDER_RETRY_MIN_MS * 2 ** (wanted.failures - 1))
    return wanted.failures === ORDER_FAILURES_REPORTED ? settle(ResultCode.OrderFailed) : []
  }

  const onResult: Record<OrderResult, (sent: InFlight) => GateEffect[]> = {
    [OrderResult.Done]: ({ order }) => {
      engine = applyOrder(engine, order)
      isEngineBusy = false
      setKnowledge(EngineKnowledge.Known)
      if (wanted !== undefined) wanted.failures = 0
      return proceed()
    },
    [OrderResult.RefusedStale]: ({ token }) => {
      setKnowledge(EngineKnowledge.Known)
      // The engine has seen some higher token, so this one is stale for good.
      return [...noteToken(token + 1), ...proceed()]
    },
    [OrderResult.Failed]: retryLater
  }

  const onAnswer = (orderId: string, result: OrderResult): GateEffect[] => {
    // The answer of an order that was given up says nothing about the engine now.
    if (inFlight?.orderId !== orderId) return []
    const sent = inFlight
    inFlight = undefined
    return onResult[result](sent)
  }

  const onState = (state: EngineState, isBusy: boolean): GateEffect[] => {
    if (knowledge !== EngineKnowledge.Querying) return []
    engine = state
    isEngineBusy = isBusy
    setKnowledge(EngineKnowledge.Known)
    return proceed()
  }

  const onTickWhile: Record<EngineKnowledge, () => GateEffect[]> = {
    [EngineKnowledge.Unknown]: proceed,
    [EngineKnowledge.Querying]: () => {
      if (clock.nowMs() - sinceMs > ENGINE_QUERY_TIMEOUT_MS) setKnowledge(EngineKnowledge.Unknown)
      return proceed()
    },
    [EngineKnowledge.Known]: () => {
      // A busy engine becomes idle, and a settled one may have restarted.
      if (clock.nowMs() - sinceMs > ENGINE_CHECK_INTERVAL_MS) setKnowledge(EngineKnowledge.Unknown)
      return proceed()
    },
    [EngineKnowledge.Ordering]: () => clock.nowMs() - sinceMs > ORDER_TIMEOUT_MS ? retryLater() : []
  }

  const handlers: HandlerTable<GateMessage, GateEffect[]> = {
    [GateMessageKind.AssignmentReceived]: ({ fence: newFence, desired }) => onAssignment(newFence, desired),
    [GateMessageKind.FenceSeen]: ({ token }) => noteToken(token),
    [GateMessageKind.FenceConfirmed]: ({ token }) => {
      fence = FenceKnowledge.Confirmed
      return [...noteToken(token), ...proceed()]
    },
    [GateMessageKind.OrderAnswered]: ({ orderId, result }) => onAnswer(orderId, result),
    [GateMessageKind.OrderAnswerLost]: ({ orderId }) => inFlight?.orderId === orderId ? retryLater() : [],
    [GateMessageKind.EngineStateRead]: ({ state, isBusy }) => onState(state, isBusy),
    [GateMessageKind.EngineQueryFailed]: () => knowledge === EngineKnowledge.Querying ? retryLater() : [],
    [GateMessageKind.Tick]: () => {
      const isLate = fence === FenceKnowledge.Confirming && clock.nowMs() - confirmSentMs > FENCE_CONFIRM_TIMEOUT_MS
      if (isLate) fence = FenceKnowledge.Unconfirmed
      return onTickWhile[knowledge]()
    }
  }

  return { handle: message => dispatch(handlers, message) }
}
