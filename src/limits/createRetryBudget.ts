import { type Core, dispatch, type HandlerTable, ResultCode } from '../core/index.js'
import { LIMIT_KEYS_MAX, RETRY_TOKENS_INITIAL, RETRY_TOKENS_MAX, RetryBudgetEffectKind, RetryBudgetMessageKind } from './constants.js'
import type { RetryBudgetEffect, RetryBudgetMessage } from './types.js'

type MessageOf<Kind extends RetryBudgetMessageKind> = Extract<RetryBudgetMessage, { kind: Kind }>

/**
 * Creates a budget that bounds retries to a fraction of the requests, with one token bucket per pool and one
 * per customer and pool. A request adds the pool's `retryBudgetRatio` to both; a retry takes one token from both.
 *
 * @example
 * const budget = createRetryBudget()
 * budget.handle({ kind: RetryBudgetMessageKind.RequestSeen, customer, pool, ratio: 0.1 })
 * budget.handle({ kind: RetryBudgetMessageKind.RetryRequested, requestId, customer, pool })
 */
export const createRetryBudget = (): Core<RetryBudgetMessage, RetryBudgetEffect> => {
  const tokens = new Map<string, number>()
  const keysOf = ({ customer, pool }: { customer: string, pool: string }) => [`pool/${pool}`, `customer/${pool}/${customer}`]

  const set = (key: string, value: number) => {
    tokens.delete(key)
    if (tokens.size >= LIMIT_KEYS_MAX) tokens.delete(tokens.keys().next().value!)
    tokens.set(key, value)
  }

  const onRequest = (message: MessageOf<RetryBudgetMessageKind.RequestSeen>): RetryBudgetEffect[] => {
    for (const key of keysOf(message)) {
      set(key, Math.min(RETRY_TOKENS_MAX, (tokens.get(key) ?? RETRY_TOKENS_INITIAL) + message.ratio))
    }
    return []
  }

  const onRetry = (message: MessageOf<RetryBudgetMessageKind.RetryRequested>): RetryBudgetEffect[] => {
    const { requestId } = message
    const keys = keysOf(message)
    // Repeated addition of a ratio such as 0.1 falls just short of 1 in floating point.
    if (keys.some(key => (tokens.get(key) ?? 0) < 1 - 1e-9)) {
      return [{ kind: RetryBudgetEffectKind.RetryRefused, requestId, code: ResultCode.RetryBudgetExhausted }]
    }
    for (const key of keys) set(key, tokens.get(key)! - 1)
    return [{ kind: RetryBudgetEffectKind.RetryAllowed, requestId }]
  }

  const handlers: HandlerTable<RetryBudgetMessage, RetryBudgetEffect[]> = {
    [RetryBudgetMessageKind.RequestSeen]: onRequest,
    [RetryBudgetMessageKind.RetryRequested]: onRetry
  }

  return { handle: message => dispatch(handlers, message) }
}
