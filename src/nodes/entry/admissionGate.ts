import { type CustomerLimit, type PoolRow, Priority, type RouteRow, UpstreamKind } from '../../configuration/index.js'
import type { Clock, Random, ResultCode, TimestampMs } from '../../core/index.js'
import {
  AdmissionEffectKind, AdmissionMessageKind, createAdmission, createCustomerLimits, createLimitCoordinator,
  createRetryBudget, CoordinatorMessageKind, type CustomerLimitsEffect, CustomerLimitsEffectKind,
  CustomerLimitsMessageKind, type LimitDemand, limitDemandFrameSchema, type LimitGrant, limitShareFrameSchema, RetryBudgetEffectKind, RetryBudgetMessageKind
} from '../../limits/index.js'
import { type Frame, FrameKind, parseFrame, type PeerIdentity } from '../../links/index.js'
import { type SubmittedRequest } from '../../requests/index.js'
import type { Choice } from '../../routing/index.js'

export interface AdmissionGateOptions {
  clock: Clock
  random: Random
  selfId: string
  route: (name: string) => RouteRow | undefined
  pool: (name: string) => PoolRow | undefined
  /** Node ids of the live entries in a customer's address set. */
  customerEntryIds: (customer: string) => string[]
  /** Sends a frame to another entry by its node id. */
  sendToEntry: (nodeId: string, frame: Frame) => void
}

/** When the router expects the first token of a request. */
export type FirstTokenPrediction = Pick<Choice, 'predictedFirstTokenMs' | 'predictedWaitMs'>

/** Admission control of one entry: customer limits, retry budgets and the deadline check of new requests. */
export interface AdmissionGate {
  /** Counts the request against this entry's share of the customer limit; returns a code if it is refused. */
  admitCustomer (request: SubmittedRequest): ResultCode | undefined
  /** Refuses a request whose first token is predicted to arrive too late. */
  admitByPrediction (request: SubmittedRequest, prediction: FirstTokenPrediction): ResultCode | undefined
  takeRetry (request: SubmittedRequest): boolean
  recordFirstBytes (request: SubmittedRequest): void
  recordEnd (request: SubmittedRequest): void
  onLimitDemand (peer: PeerIdentity, frame: Frame): void
  onLimitShare (frame: Frame): void
  /** Must be called once a second. */
  tick (): void
}

const customerOf = (limitKey: string) => limitKey.slice(limitKey.indexOf('/') + 1)

/**
 * Creates the admission control of one entry.
 *
 * @example
 * const gate = createAdmissionGate({ clock, random, selfId, route, pool, customerEntryIds, sendToEntry })
 * gate.admitCustomer(request) // undefined, or ResultCode.CustomerRateLimited
 */
export const createAdmissionGate = ({
  clock, random, selfId, route, pool, customerEntryIds, sendToEntry
}: AdmissionGateOptions): AdmissionGate => {
  const limits = createCustomerLimits({ clock, selfId })
  const coordinator = createLimitCoordinator({ clock, selfId })
  const budget = createRetryBudget()
  const admissions = new Map<string, ReturnType<typeof createAdmission>>()
  const firstBytesMs = new Map<string, TimestampMs>()

  const admissionOf = (poolName: string) => {
    const existing = admissions.get(poolName)
    if (existing !== undefined) return existing
    const created = createAdmission({ clock, random })
    admissions.set(poolName, created)
    return created
  }

  const limitOf = ({ route: routeName, customer }: SubmittedRequest): CustomerLimit | undefined => {
    const row = route(routeName)
    return row?.customerOverrides[customer] ?? row?.customerLimit
  }

  const memberIdsOf = (customer: string) => {
    const ids = customerEntryIds(customer)
    return ids.includes(selfId) ? ids : [...ids, selfId]
  }

  const deliverGrant = (toId: string, grant: LimitGrant) => {
    if (toId === selfId) {
      limits.handle({ kind: CustomerLimitsMessageKind.ShareReceived, grant, memberIds: memberIdsOf(customerOf(grant.limitKey)) })
    } else sendToEntry(toId, { kind: FrameKind.LimitShare, grant })
  }

  const handleDemand = (fromId: string, demand: LimitDemand) => {
    const memberIds = memberIdsOf(customerOf(demand.limitKey))
    const effects = coordinator.handle({ kind: CoordinatorMessageKind.DemandReceived, fromId, demand, memberIds })
    for (const { toId, grant } of effects) deliverGrant(toId, grant)
  }

  const reportDemand = (effect: Extract<CustomerLimitsEffect, { kind: CustomerLimitsEffectKind.DemandReported }>) => {
    const { coordinatorId, demand } = effect
    if (coordinatorId === selfId) handleDemand(selfId, demand)
    else sendToEntry(coordinatorId, { kind: FrameKind.LimitDemand, demand })
  }

  return {
    admitCustomer: request => {
      const { requestId, customer, pool: poolName } = request
      budget.handle({ kind: RetryBudgetMessageKind.RequestSeen, customer, pool: poolName, ratio: pool(poolName)?.retryBudgetRatio ?? 0 })
      const limit = limitOf(request)
      if (limit === undefined) return undefined
      const [effect] = limits.handle({
        kind: CustomerLimitsMessageKind.AdmitRequested, requestId, limitKey: `${request.route}/${customer}`, limit, memberIds: memberIdsOf(customer)
      })
      return effect?.kind === CustomerLimitsEffectKind.Refused ? effect.code : undefined
    },
    admitByPrediction: (request, { predictedFirstTokenMs, predictedWaitMs }) => {
      const { requestId, customer, deadlineAtMs, estimatedTokens, pool: poolName } = request
      const isService = pool(poolName)?.upstreamKind === UpstreamKind.Service
      const [effect] = admissionOf(poolName).handle({
        kind: AdmissionMessageKind.AdmitRequested,
        requestId,
        customer,
        priority: route(request.route)?.priority ?? Priority.Standard,
        tokens: isService ? 1 : estimatedTokens,
        deadlineMs: deadlineAtMs,
        predictedFirstTokenMs,
        predictedWaitMs
      })
      return effect?.kind === AdmissionEffectKind.Refused ? effect.code : undefined
    },
    takeRetry: ({ requestId, customer, pool: poolName }) => {
      const [effect] = budget.handle({ kind: RetryBudgetMessageKind.RetryRequested, requestId, customer, pool: poolName })
      return effect?.kind === RetryBudgetEffectKind.RetryAllowed
    },
    recordFirstBytes: ({ requestId }) => { firstBytesMs.set(requestId, clock.nowMs()) },
    recordEnd: ({ requestId, pool: poolName }) => {
      const startedMs = firstBytesMs.get(requestId)
      firstBytesMs.delete(requestId)
      limits.handle({ kind: CustomerLimitsMessageKind.Ended, requestId })
      admissionOf(poolName).handle({
        kind: AdmissionMessageKind.Ended, requestId, ...(startedMs === undefined ? {} : { streamMs: clock.nowMs() - startedMs })
      })
    },
    onLimitDemand: (peer, frame) => handleDemand(peer.nodeId, parseFrame(limitDemandFrameSchema, frame).demand),
    onLimitShare: frame => {
      const { grant } = parseFrame(limitShareFrameSchema, frame)
      limits.handle({ kind: CustomerLimitsMessageKind.ShareReceived, grant, memberIds: memberIdsOf(customerOf(grant.limitKey)) })
    },
    tick: () => {
      for (const effect of limits.handle({ kind: CustomerLimitsMessageKind.Tick })) {
        if (effect.kind === CustomerLimitsEffectKind.DemandReported) reportDemand(effect)
      }
      for (const { toId, grant } of coordinator.handle({ kind: CoordinatorMessageKind.Tick })) deliverGrant(toId, grant)
    }
  }
}
