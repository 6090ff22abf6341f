import { type Clock, type Core, dispatch, type HandlerTable, type TimestampMs } from '../core/index.js'
import { BudgetMessageKind, CloseReason, HeldKind, REQUEST_ALLOWANCE_BYTES, STALLED_AFTER_MS } from './constants.js'
import type { BudgetMessage, BudgetLimits, CloseEffect } from './types.js'

/** What one connection holds. */
interface Account {
  connectionId: number
  held: Record<HeldKind, number>
  liveRequests: number
  /** When it was opened, held more, or took what was held for it. */
  progressAtMs: TimestampMs
  /** The connection has given way; what it still holds no longer counts. */
  isClosing: boolean
}

export interface CallerBudget extends Core<BudgetMessage, CloseEffect> {
  readonly heldBytes: number
  readonly connectionCount: number
}

/** Bytes for which a connection may have to give way; not those of a few requests that wait for their responses. */
const incompleteBytes = ({ held }: Account): number =>
  held[HeldKind.Body] + held[HeldKind.Response] + Math.max(0, held[HeldKind.Request] - REQUEST_ALLOWANCE_BYTES)
const allBytes = ({ held }: Account): number => held[HeldKind.Body] + held[HeldKind.Response] + held[HeldKind.Request] + held[HeldKind.InFlight]

const createAccount = (connectionId: number, progressAtMs: TimestampMs): Account => ({
  connectionId,
  held: { [HeldKind.Body]: 0, [HeldKind.InFlight]: 0, [HeldKind.Response]: 0, [HeldKind.Request]: 0 },
  liveRequests: 0,
  progressAtMs,
  isClosing: false
})

/**
 * Creates the budget of the bytes and connections that the callers of one process may occupy. It decides which
 * connections give way: first those without progress, then the largest incomplete ones. Requests that run are not given up
 * for new ones.
 *
 * @example
 * budget.handle({ kind: BudgetMessageKind.Held, connectionId: 7, held: HeldKind.Body, bytes: 65_536 })
 */
export const createCallerBudget = ({ clock, limits }: { clock: Clock, limits: BudgetLimits }): CallerBudget => {
  const accounts = new Map<number, Account>()
  let heldBytes = 0

  const giveWay = (account: Account, reason: CloseReason): CloseEffect => {
    account.isClosing = true
    heldBytes -= allBytes(account)
    return { connectionId: account.connectionId, reason }
  }

  const findLargest = (isEligible: (account: Account) => boolean): Account | undefined => {
    let largest: Account | undefined
    for (const account of accounts.values()) {
      if (account.isClosing || incompleteBytes(account) === 0 || !isEligible(account)) continue
      if (largest === undefined || incompleteBytes(account) > incompleteBytes(largest)) largest = account
    }
    return largest
  }

  const freeBytes = (): CloseEffect[] => {
    const effects: CloseEffect[] = []
    const nowMs = clock.nowMs()
    const isStalled = ({ progressAtMs }: Account) => nowMs - progressAtMs >= STALLED_AFTER_MS
    while (heldBytes > limits.callerBytesMax) {
      const stalled = findLargest(isStalled)
      const victim = stalled ?? findLargest(() => true)
      if (victim === undefined) break
      effects.push(giveWay(victim, stalled === undefined ? CloseReason.Largest : CloseReason.Stalled))
    }
    return effects
  }

  /** The connection without a request that has been idle for longest. */
  const findIdle = (): Account | undefined => {
    let idlest: Account | undefined
    for (const account of accounts.values()) {
      if (account.isClosing || account.liveRequests > 0) continue
      if (idlest === undefined || account.progressAtMs < idlest.progressAtMs) idlest = account
    }
    return idlest
  }

  const onOpened = (connectionId: number): CloseEffect[] => {
    const account = createAccount(connectionId, clock.nowMs())
    const victim = accounts.size < limits.connectionsMax ? undefined : findIdle()
    const isFull = accounts.size >= limits.connectionsMax
    accounts.set(connectionId, account)
    if (!isFull) return []
    return victim === undefined ? [giveWay(account, CloseReason.TooManyConnections)] : [giveWay(victim, CloseReason.IdleConnection)]
  }

  const onClosed = (connectionId: number): CloseEffect[] => {
    const account = accounts.get(connectionId)
    if (account === undefined) return []
    accounts.delete(connectionId)
    if (!account.isClosing) heldBytes -= allBytes(account)
    return []
  }

  const change = (connectionId: number, held: HeldKind, bytes: number): CloseEffect[] => {
    const account = accounts.get(connectionId)
    if (account === undefined) return []
    const before = account.held[held]
    account.held[held] = Math.max(0, before + bytes)
    account.progressAtMs = clock.nowMs()
    if (account.isClosing) return []
    heldBytes += account.held[held] - before
    if (bytes > 0 && allBytes(account) > limits.connectionBytesMax) return [giveWay(account, CloseReason.ConnectionBytes)]
    return bytes > 0 ? freeBytes() : []
  }

  const changeRequests = (connectionId: number, change: number): CloseEffect[] => {
    const account = accounts.get(connectionId)
    if (account === undefined) return []
    account.liveRequests = Math.max(0, account.liveRequests + change)
    account.progressAtMs = clock.nowMs()
    return []
  }

  const handlers: HandlerTable<BudgetMessage, CloseEffect[]> = {
    [BudgetMessageKind.Opened]: ({ connectionId }) => onOpened(connectionId),
    [BudgetMessageKind.Closed]: ({ connectionId }) => onClosed(connectionId),
    [BudgetMessageKind.Held]: ({ connectionId, held, bytes }) => change(connectionId, held, bytes),
    [BudgetMessageKind.Released]: ({ connectionId, held, bytes }) => change(connectionId, held, -bytes),
    [BudgetMessageKind.RequestStarted]: ({ connectionId }) => changeRequests(connectionId, 1),
    [BudgetMessageKind.RequestEnded]: ({ connectionId }) => changeRequests(connectionId, -1)
  }

  return {
    handle: message => dispatch(handlers, message),
    get heldBytes () { return heldBytes },
    get connectionCount () { return accounts.size }
  }
}
