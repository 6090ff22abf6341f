import { type CustomerLimit } from '../configuration/index.js'
import { type Clock, type Core, dispatch, type HandlerTable, ownerByRendezvous, ResultCode, type TimestampMs } from '../core/index.js'
import {
  CustomerLimitsEffectKind, CustomerLimitsMessageKind, DEMAND_REPORT_RATIO, DEMAND_SMOOTHING, LIMIT_KEYS_MAX,
  RETRY_AFTER_MS, SHARE_LIFETIME_MS
} from './constants.js'
import { equalShare } from './divideLimit.js'
import type { CustomerLimitsEffect, CustomerLimitsMessage, LimitDemand, LimitShare } from './types.js'

type MessageOf<Kind extends CustomerLimitsMessageKind> = Extract<CustomerLimitsMessage, { kind: Kind }>

interface LimitState {
  limit: CustomerLimit
  memberIds: readonly string[]
  held: { share: LimitShare, sequence: number, coordinatorId: string, expiresMs: TimestampMs } | undefined
  tokens: number
  refilledMs: TimestampMs
  running: number
  requestCount: number
  concurrencyRefusedCount: number
  offeredPerS: number
  sequence: number
  lastTickMs: TimestampMs
}

/** Returns the entry that coordinates a limit; all entries with the same members find the same one. */
export const findLimitCoordinator = (limitKey: string, memberIds: readonly string[]): string | undefined =>
  ownerByRendezvous(`limit/${limitKey}`, memberIds)

/**
 * Enforces this entry's share of each customer's fleet-wide limit with a token bucket for the rate and a
 * count of running requests. Without a valid grant from the coordinator, the entry uses an equal share
 * of the limit.
 *
 * @example
 * const limits = createCustomerLimits({ clock, selfId: 'entry-1' })
 * limits.handle({ kind: CustomerLimitsMessageKind.AdmitRequested, requestId, limitKey, limit, memberIds })
 */
export const createCustomerLimits = (
  { clock, selfId }: { clock: Clock, selfId: string }
): Core<CustomerLimitsMessage, CustomerLimitsEffect> => {
  const states = new Map<string, LimitState>()
  const keyByRequest = new Map<string, string>()

  const evictIdle = () => {
    if (states.size < LIMIT_KEYS_MAX) return
    for (const [limitKey, { running }] of states) {
      if (running > 0) continue
      states.delete(limitKey)
      return
    }
  }

  const getOrCreateState = (limitKey: string, limit: CustomerLimit, memberIds: readonly string[]): LimitState => {
    const known = states.get(limitKey)
    if (known !== undefined) {
      // Reinserted, so that the map is ordered from the least recently used limit.
      states.delete(limitKey)
      states.set(limitKey, known)
      return Object.assign(known, { limit, memberIds })
    }
    evictIdle()
    const nowMs = clock.nowMs()
    const state: LimitState = {
      limit,
      memberIds,
      held: undefined,
      tokens: 0,
      refilledMs: nowMs,
      running: 0,
      requestCount: 0,
      concurrencyRefusedCount: 0,
      offeredPerS: 0,
      sequence: 0,
      lastTickMs: nowMs
    }
    state.tokens = bucketSize(currentShare(state))
    states.set(limitKey, state)
    return state
  }

  const currentShare = (state: LimitState): LimitShare => {
    if (state.held !== undefined && state.held.expiresMs <= clock.nowMs()) state.held = undefined
    return state.held?.share ?? equalShare(state.limit, state.memberIds, selfId)
  }

  // A bucket smaller than one token would never admit a request.
  const bucketSize = ({ burstRequests }: LimitShare) => Math.max(1, burstRequests)

  const refill = (state: LimitState, share: LimitShare) => {
    const nowMs = clock.nowMs()
    const added = share.requestsPerS * (nowMs - state.refilledMs) / 1_000
    state.tokens = Math.min(bucketSize(share), state.tokens + added)
    state.refilledMs = nowMs
  }

  const onAdmit = ({ requestId, limitKey, limit, memberIds }: MessageOf<CustomerLimitsMessageKind.AdmitRequested>): CustomerLimitsEffect[] => {
    const state = getOrCreateState(limitKey, limit, memberIds)
    const share = currentShare(state)
    state.requestCount += 1
    refill(state, share)
    if (state.tokens < 1) {
      const retryAfterMs = share.requestsPerS > 0 ? Math.ceil((1 - state.tokens) / share.requestsPerS * 1_000) : RETRY_AFTER_MS
      return [{ kind: CustomerLimitsEffectKind.Refused, requestId, code: ResultCode.CustomerRateLimited, retryAfterMs }]
    }
    if (state.running >= share.concurrentMax) {
      state.concurrencyRefusedCount += 1
      return [{ kind: CustomerLimitsEffectKind.Refused, requestId, code: ResultCode.CustomerConcurrencyLimited, retryAfterMs: RETRY_AFTER_MS }]
    }
    state.tokens -= 1
    state.running += 1
    keyByRequest.set(requestId, limitKey)
    return [{ kind: CustomerLimitsEffectKind.Admitted, requestId }]
  }

  const onEnded = ({ requestId }: MessageOf<CustomerLimitsMessageKind.Ended>): CustomerLimitsEffect[] => {
    const state = states.get(keyByRequest.get(requestId) ?? '')
    if (keyByRequest.delete(requestId) && state !== undefined) state.running -= 1
    return []
  }

  const onShare = ({ grant, memberIds }: MessageOf<CustomerLimitsMessageKind.ShareReceived>): CustomerLimitsEffect[] => {
    const { limitKey, limit, share, coordinatorId, demandSequence, demandSentMs } = grant
    const state = getOrCreateState(limitKey, limit, memberIds)
    // A late or reordered grant replies to an older demand and is ignored.
    if (state.held !== undefined && demandSequence < state.held.sequence) return []
    refill(state, currentShare(state))
    const sentMs = demandSequence === 0 ? clock.nowMs() : demandSentMs
    const expiresMs = sentMs + SHARE_LIFETIME_MS
    if (expiresMs <= clock.nowMs()) return []
    state.held = { share, sequence: demandSequence, coordinatorId, expiresMs }
    state.tokens = Math.min(state.tokens, bucketSize(share))
    return []
  }

  const reportDemand = (limitKey: string, state: LimitState): CustomerLimitsEffect[] => {
    const nowMs = clock.nowMs()
    const seconds = Math.max(1, nowMs - state.lastTickMs) / 1_000
    state.offeredPerS += DEMAND_SMOOTHING * (state.requestCount / seconds - state.offeredPerS)
    const wantedConcurrent = state.running + state.concurrencyRefusedCount
    Object.assign(state, { requestCount: 0, concurrencyRefusedCount: 0, lastTickMs: nowMs })
    currentShare(state)
    const equal = equalShare(state.limit, state.memberIds, selfId)
    const isBelowReportRatio = state.offeredPerS < DEMAND_REPORT_RATIO * equal.requestsPerS &&
      wantedConcurrent < DEMAND_REPORT_RATIO * equal.concurrentMax
    const coordinatorId = findLimitCoordinator(limitKey, state.memberIds)
    if (coordinatorId === undefined || (isBelowReportRatio && state.held === undefined)) return []
    state.sequence += 1
    const demand: LimitDemand = {
      limitKey,
      limit: state.limit,
      sequence: state.sequence,
      sentMs: nowMs,
      offeredPerS: state.offeredPerS,
      wantedConcurrent,
      runningRequests: state.running,
      held: state.held && { share: state.held.share, sequence: state.held.sequence, coordinatorId: state.held.coordinatorId }
    }
    return [{ kind: CustomerLimitsEffectKind.DemandReported, coordinatorId, demand }]
  }

  const handlers: HandlerTable<CustomerLimitsMessage, CustomerLimitsEffect[]> = {
    [CustomerLimitsMessageKind.AdmitRequested]: onAdmit,
    [CustomerLimitsMessageKind.Ended]: onEnded,
    [CustomerLimitsMessageKind.ShareReceived]: onShare,
    [CustomerLimitsMessageKind.Tick]: () => [...states].flatMap(([limitKey, state]) => reportDemand(limitKey, state))
  }

  return { handle: message => dispatch(handlers, message) }
}
