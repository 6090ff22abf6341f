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
  /** Whether the engine itself refuses stale tokens, as configured in the pool row. */
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

interface TargetAssignment {
  fence: Fence
  desired: EngineAssignment
  isSettled: boolean
  failures: number
}

const isNewer = (a: Fence, b: Fence) => a.token > b.token || (a.token === b.token && a.sequence > b.sequence)

/**
 * Brings the engine of the agent to its assignment, one order at a time, and checks the fencing token
 * before each order. After a lost response it queries the state of the engine and waits until the
 * engine is idle. An engine that doesn't check tokens gets no order from a newly started agent until
 * an entry has read the lease stream to its end, because the previous agent may have seen a higher
 * token. This also applies to an empty engine: an order with the higher token may have failed there.
 *
 * The engine client sends orders and queries in sequence on one connection, and reports a lost
 * response only after it has closed that connection.
 *
 * @example
 * const gate = createOrderGate({ checksFence: true, clock, createOrderId })
 * gate.handle({ kind: GateMessageKind.AssignmentReceived, fence, desired }) // [{ kind: GateEffectKind.QueryEngine }]
 */
export const createOrderGate = (
  { checksFence, clock, createOrderId, disabledRules = new Set() }: OrderGateOptions
): Core<GateMessage, GateEffect> => {
  const isRuleEnabled = (rule: GateRule) => !disabledRules.has(rule)
  let highestToken = 0
  let target: TargetAssignment | undefined
  let knowledge = EngineKnowledge.Unknown
  let engine: EngineState = { adapters: [] }
  let isEngineBusy = false
  let inFlight: InFlight | undefined
  /** Time of the last change of `knowledge`: the last query, order or state that was read. */
  let knowledgeSinceMs: TimestampMs = clock.nowMs()
  let retryAtMs: TimestampMs = 0
  // An engine that checks tokens keeps them across a restart of its agent.
  let fence = checksFence || !isRuleEnabled(GateRule.ConfirmedAtStart) ? FenceKnowledge.Confirmed : FenceKnowledge.Unconfirmed
  let confirmSentMs: TimestampMs = 0

  const setKnowledge = (value: EngineKnowledge) => {
    knowledge = value
    knowledgeSinceMs = clock.nowMs()
  }

  const settle = (code: ResultCode): GateEffect[] => {
    if (target === undefined || target.isSettled) return []
    target.isSettled = true
    return [{ kind: GateEffectKind.AssignmentSettled, fence: target.fence, code }]
  }

  const dropSuperseded = (): GateEffect[] => {
    if (target === undefined || target.fence.token >= highestToken || !isRuleEnabled(GateRule.TokenChecked)) return []
    const effects = settle(ResultCode.FenceSuperseded)
    target = undefined
    return effects
  }

  const recordToken = (token: number): GateEffect[] => {
    highestToken = Math.max(highestToken, token)
    return dropSuperseded()
  }

  const query = (): GateEffect[] => {
    setKnowledge(EngineKnowledge.Querying)
    return [{ kind: GateEffectKind.QueryEngine }]
  }

  const requestConfirmation = (): GateEffect[] => {
    fence = FenceKnowledge.Confirming
    confirmSentMs = clock.nowMs()
    return [{ kind: GateEffectKind.ConfirmFence }]
  }

  const sendNext = ({ fence: { token }, desired }: TargetAssignment): GateEffect[] => {
    if (fence === FenceKnowledge.Confirming) return []
    if (fence === FenceKnowledge.Unconfirmed) return requestConfirmation()
    // An order whose response was lost may still be running. If it finished after the next order, it
    // would undo that one, because the engine checks the fencing token only when an order arrives.
    if (isEngineBusy && isRuleEnabled(GateRule.IdleAfterLoss)) return []
    const order = nextOrder(engine, desired)
    if (order === undefined) return settle(ResultCode.Ok)
    const orderId = createOrderId()
    inFlight = { orderId, token, order }
    setKnowledge(EngineKnowledge.Ordering)
    return [{ kind: GateEffectKind.SendOrder, orderId, token, order }]
  }

  const proceedByKnowledge: Record<EngineKnowledge, (current: TargetAssignment) => GateEffect[]> = {
    [EngineKnowledge.Unknown]: query,
    [EngineKnowledge.Querying]: () => [],
    [EngineKnowledge.Known]: sendNext,
    [EngineKnowledge.Ordering]: current => isRuleEnabled(GateRule.OneOrderAtATime) ? [] : sendNext(current)
  }

  const proceed = (): GateEffect[] => {
    if (target === undefined || clock.nowMs() < retryAtMs) return []
    return proceedByKnowledge[knowledge](target)
  }

  const onAssignment = (newFence: Fence, desired: EngineAssignment): GateEffect[] => {
    if (newFence.token < highestToken && isRuleEnabled(GateRule.TokenChecked)) {
      return [{ kind: GateEffectKind.AssignmentSettled, fence: newFence, code: ResultCode.FenceSuperseded }]
    }
    // Entries resend assignments, and messages may arrive out of order.
    if (target !== undefined && isRuleEnabled(GateRule.TokenChecked) && !isNewer(newFence, target.fence)) return []
    highestToken = Math.max(highestToken, newFence.token)
    target = { fence: newFence, desired, isSettled: false, failures: 0 }
    retryAtMs = 0
    return proceed()
  }

  const retryLater = (): GateEffect[] => {
    inFlight = undefined
    setKnowledge(EngineKnowledge.Unknown)
    if (target === undefined) return []
    target.failures += 1
    retryAtMs = clock.nowMs() + Math.min(ORDER_RETRY_MAX_MS, ORDER_RETRY_MIN_MS * 2 ** (target.failures - 1))
    return target.failures === ORDER_FAILURES_REPORTED ? settle(ResultCode.OrderFailed) : []
  }

  const onResult: Record<OrderResult, (sent: InFlight) => GateEffect[]> = {
    [OrderResult.Done]: ({ order }) => {
      engine = applyOrder(engine, order)
      isEngineBusy = false
      setKnowledge(EngineKnowledge.Known)
      if (target !== undefined) target.failures = 0
      return proceed()
    },
    [OrderResult.RefusedStale]: ({ token }) => {
      setKnowledge(EngineKnowledge.Known)
      // The engine has seen a higher token, so this one can never become valid again.
      return [...recordToken(token + 1), ...proceed()]
    },
    [OrderResult.Failed]: retryLater
  }

  const onResponse = (orderId: string, result: OrderResult): GateEffect[] => {
    // A response to an abandoned order says nothing about the current state of the engine.
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

  const onTickByKnowledge: Record<EngineKnowledge, () => GateEffect[]> = {
    [EngineKnowledge.Unknown]: proceed,
    [EngineKnowledge.Querying]: () => {
      if (clock.nowMs() - knowledgeSinceMs > ENGINE_QUERY_TIMEOUT_MS) setKnowledge(EngineKnowledge.Unknown)
      return proceed()
    },
    [EngineKnowledge.Known]: () => {
      // A busy engine may have become idle, and a settled one may have restarted.
      if (clock.nowMs() - knowledgeSinceMs > ENGINE_CHECK_INTERVAL_MS) setKnowledge(EngineKnowledge.Unknown)
      return proceed()
    },
    [EngineKnowledge.Ordering]: () => clock.nowMs() - knowledgeSinceMs > ORDER_TIMEOUT_MS ? retryLater() : []
  }

  const handlers: HandlerTable<GateMessage, GateEffect[]> = {
    [GateMessageKind.AssignmentReceived]: ({ fence: newFence, desired }) => onAssignment(newFence, desired),
    [GateMessageKind.FenceSeen]: ({ token }) => recordToken(token),
    [GateMessageKind.FenceConfirmed]: ({ token }) => {
      fence = FenceKnowledge.Confirmed
      return [...recordToken(token), ...proceed()]
    },
    [GateMessageKind.OrderAnswered]: ({ orderId, result }) => onResponse(orderId, result),
    [GateMessageKind.OrderAnswerLost]: ({ orderId }) => inFlight?.orderId === orderId ? retryLater() : [],
    [GateMessageKind.EngineStateRead]: ({ state, isBusy }) => onState(state, isBusy),
    [GateMessageKind.EngineQueryFailed]: () => knowledge === EngineKnowledge.Querying ? retryLater() : [],
    [GateMessageKind.Tick]: () => {
      const isLate = fence === FenceKnowledge.Confirming && clock.nowMs() - confirmSentMs > FENCE_CONFIRM_TIMEOUT_MS
      if (isLate) fence = FenceKnowledge.Unconfirmed
      return onTickByKnowledge[knowledge]()
    }
  }

  return { handle: message => dispatch(handlers, message) }
}
