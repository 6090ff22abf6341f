import type { CustomerLimit, Priority } from '../configuration/index.js'
import type { ResultCode, TimestampMs } from '../core/index.js'
import type {
  AdmissionEffectKind, AdmissionMessageKind, CoordinatorEffectKind, CoordinatorMessageKind, CustomerLimitsEffectKind,
  CustomerLimitsMessageKind, RetryBudgetEffectKind, RetryBudgetMessageKind
} from './constants.js'

/** Part of a customer's fleet-wide limit that one entry may use. */
export type LimitShare = CustomerLimit

/** Demand of one entry for a limit, sent as a `LimitDemand` frame. */
export interface LimitDemand {
  /** Route and customer, such as `quotes/kpakpo-yard`. */
  limitKey: string
  limit: CustomerLimit
  /** Increases by one with each report; the grant echoes it. */
  sequence: number
  /** By the clock of the entry; the grant echoes it, so that clocks of different processes are never compared. */
  sentMs: TimestampMs
  /** Requests per second, including refused ones. */
  offeredPerS: number
  /** Running requests plus those refused for concurrency since the last report. */
  wantedConcurrent: number
  runningRequests: number
  /** The granted share in use and the sequence number of its demand; absent while the equal share is in use. */
  held?: { share: LimitShare, sequence: number, coordinatorId: string }
}

/** Reply of the coordinator to a demand, sent as a `LimitShare` frame. */
export interface LimitGrant {
  limitKey: string
  limit: CustomerLimit
  share: LimitShare
  coordinatorId: string
  /** Sequence number and time of the demand that this replies to; 0 if the entry has not reported one. */
  demandSequence: number
  demandSentMs: TimestampMs
}

export type CustomerLimitsMessage =
  | {
    kind: CustomerLimitsMessageKind.AdmitRequested
    requestId: string
    limitKey: string
    limit: CustomerLimit
    /** Live entries of the customer's address set, in any order. */
    memberIds: readonly string[]
  }
  | { kind: CustomerLimitsMessageKind.Ended, requestId: string }
  | { kind: CustomerLimitsMessageKind.ShareReceived, grant: LimitGrant, memberIds: readonly string[] }
  | { kind: CustomerLimitsMessageKind.Tick }

export type CustomerLimitsEffect =
  | { kind: CustomerLimitsEffectKind.Admitted, requestId: string }
  | { kind: CustomerLimitsEffectKind.Refused, requestId: string, code: ResultCode, retryAfterMs: number }
  | { kind: CustomerLimitsEffectKind.DemandReported, coordinatorId: string, demand: LimitDemand }

export type CoordinatorMessage =
  | {
    kind: CoordinatorMessageKind.DemandReceived
    fromId: string
    demand: LimitDemand
    /** Live entries of the customer's address set in the view of this coordinator. */
    memberIds: readonly string[]
  }
  | { kind: CoordinatorMessageKind.Tick }

export interface CoordinatorEffect { kind: CoordinatorEffectKind.ShareGranted, toId: string, grant: LimitGrant }

interface BudgetRef { customer: string, pool: string }

export type RetryBudgetMessage =
  | BudgetRef & { kind: RetryBudgetMessageKind.RequestSeen, ratio: number }
  | BudgetRef & { kind: RetryBudgetMessageKind.RetryRequested, requestId: string }

export type RetryBudgetEffect =
  | { kind: RetryBudgetEffectKind.RetryAllowed, requestId: string }
  | { kind: RetryBudgetEffectKind.RetryRefused, requestId: string, code: ResultCode }

export type AdmissionMessage =
  | {
    kind: AdmissionMessageKind.AdmitRequested
    requestId: string
    customer: string
    priority: Priority
    /** Work of the request: prompt tokens, or 1 for a plain service. */
    tokens: number
    deadlineMs: TimestampMs
    /** Predicted by the router for the chosen upstream. */
    predictedFirstTokenMs: number
    /** Predicted time until processing of this request starts; part of the time to the first token. */
    predictedWaitMs: number
  }
  | {
    kind: AdmissionMessageKind.Ended
    requestId: string
    /** Time from the first token to the end; absent if no token was sent. */
    streamMs?: number
  }

export type AdmissionEffect =
  | { kind: AdmissionEffectKind.Admitted, requestId: string }
  | { kind: AdmissionEffectKind.Refused, requestId: string, code: ResultCode, retryAfterMs: number, reason: string }
