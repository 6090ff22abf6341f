import type { EngineRole, FollowerEffect, FollowerMessage, Snapshot, StateDocument } from '../configuration/index.js'
import type { Incarnation, ResultCode } from '../core/index.js'
import type { LeaseRecordKind, OrderKind, OrderResult, VoidReason } from './constants.js'

/** What one engine should run. */
export interface EngineAssignment {
  role: EngineRole
  model: string
  version?: string
  adapters: string[]
}

/** The assignment of one agent. */
export interface Placement extends EngineAssignment {
  agentId: string
}

/** A claim in effect; its offset is the fencing token of all orders of its holder. */
export interface Claim {
  offset: number
  holder: Incarnation
}

/** The placements of one pool as last written by a lease holder. */
export interface PoolAssignment {
  pool: string
  /** Offset of the claim, which is the fencing token. */
  claimOffset: number
  /** Increases with every assignment of the claim. */
  sequence: number
  placements: Placement[]
}

export interface LeaseState {
  offset: number
  claim: Claim | undefined
  /** Highest sequence number that the claim in effect has used. */
  lastSequence: number
  assignments: Map<string, PoolAssignment>
}

export interface LeaseDocument extends StateDocument {
  claim?: Claim | undefined
  lastSequence: number
  assignments: PoolAssignment[]
}

export type LeaseBody =
  /** `supersedes` is the offset of the claim in effect, 0 if there is none. */
  | { kind: LeaseRecordKind.Claim, holder: Incarnation, supersedes: number }
  | { kind: LeaseRecordKind.Restart, holder: Incarnation }
  | { kind: LeaseRecordKind.Renewal, claimOffset: number }
  | { kind: LeaseRecordKind.Assignment, assignment: PoolAssignment }
  | { kind: LeaseRecordKind.Snapshot, snapshot: Snapshot<LeaseDocument> }
  | { kind: LeaseRecordKind.Unreadable }

/** Records that a lease holder, or an entry that claims the lease, appends. */
export type LeaseHolderRecord =
  Exclude<LeaseBody, { kind: LeaseRecordKind.Snapshot | LeaseRecordKind.Unreadable }>

export type LeaseMessage = FollowerMessage<LeaseBody, LeaseDocument>

export enum LeaseEffectKind {
  ClaimInEffect = 'claim-in-effect',
  HolderSeen = 'holder-seen',
  AssignmentAccepted = 'assignment-accepted',
  RecordVoided = 'record-voided'
}

export type LeaseOwnEffect =
  | { kind: LeaseEffectKind.ClaimInEffect, claim: Claim }
  /** The holder appended a renewal. */
  | { kind: LeaseEffectKind.HolderSeen, claimOffset: number }
  | { kind: LeaseEffectKind.AssignmentAccepted, assignment: PoolAssignment }
  | { kind: LeaseEffectKind.RecordVoided, offset: number, reason: VoidReason }

export type LeaseEffect = FollowerEffect<LeaseDocument> | LeaseOwnEffect

/** Fencing token and sequence number of an assignment, in this order of precedence. */
export interface Fence {
  token: number
  sequence: number
}

/** What an engine runs; an absent field means that it has none. */
export interface EngineState {
  role?: EngineRole
  model?: string
  version?: string
  adapters: string[]
}

export type EngineOrder =
  | { kind: OrderKind.LoadModel, model: string, version?: string }
  | { kind: OrderKind.ChangeRole, role: EngineRole }
  | { kind: OrderKind.UnloadAdapter, adapter: string }
  | { kind: OrderKind.LoadAdapter, adapter: string }

export enum GateMessageKind {
  AssignmentReceived = 'assignment-received',
  FenceSeen = 'fence-seen',
  FenceConfirmed = 'fence-confirmed',
  OrderAnswered = 'order-answered',
  OrderAnswerLost = 'order-answer-lost',
  EngineStateRead = 'engine-state-read',
  EngineQueryFailed = 'engine-query-failed',
  Tick = 'tick'
}

export type GateMessage =
  | { kind: GateMessageKind.AssignmentReceived, fence: Fence, desired: EngineAssignment }
  /** An entry has read a claim that is in effect. */
  | { kind: GateMessageKind.FenceSeen, token: number }
  /** An entry has read the lease stream to its end after the request for confirmation. */
  | { kind: GateMessageKind.FenceConfirmed, token: number }
  | { kind: GateMessageKind.OrderAnswered, orderId: string, result: OrderResult }
  | { kind: GateMessageKind.OrderAnswerLost, orderId: string }
  /** `isBusy` while the engine is executing an order. */
  | { kind: GateMessageKind.EngineStateRead, state: EngineState, isBusy: boolean }
  | { kind: GateMessageKind.EngineQueryFailed }
  | { kind: GateMessageKind.Tick }

export enum GateEffectKind {
  SendOrder = 'send-order',
  QueryEngine = 'query-engine',
  ConfirmFence = 'confirm-fence',
  AssignmentSettled = 'assignment-settled'
}

export type GateEffect =
  | { kind: GateEffectKind.SendOrder, orderId: string, token: number, order: EngineOrder }
  | { kind: GateEffectKind.QueryEngine }
  /** Requests that an entry read the lease stream to its end and reply with the claim in effect. */
  | { kind: GateEffectKind.ConfirmFence }
  | { kind: GateEffectKind.AssignmentSettled, fence: Fence, code: ResultCode }
