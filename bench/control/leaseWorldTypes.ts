import type { FollowerRule } from '../../src/configuration/index.js'
import {
  type createLeaseHolder, type createLeaseReader, type createOrderGate, type GateMessage, GateMessageKind, type GateRule,
  type LeaseRule, type PoolAssignment
} from '../../src/orders/index.js'
import type { FakeEngine } from './fakeEngine.js'

export const ENTRY_COUNT = 3
/** The first engine ignores fencing tokens. */
export const CHECKS_FENCE = [false, true]
export const POOL = 'quotes'
export const RETENTION_MS = 120_000
export const MODELS = ['quote-7b', 'quote-13b']
export const ADAPTERS = [[], ['roof'], ['roof', 'shed']]
export const RESTART_SHARE = 0.1
export const SETTLE_ROUNDS = 100

export interface LeaseWorldOptions {
  seed: number
  steps?: number
  /** Whether all faults end after the last step; needed for `unsettledEngines`. */
  settles?: boolean
  disabledRules?: ReadonlySet<FollowerRule>
  disabledLeaseRules?: ReadonlySet<LeaseRule>
  disabledGateRules?: ReadonlySet<GateRule>
}

export interface LeaseFindings {
  /** Assignments that went back to an earlier one at some reader. */
  reverts: number
  /** Claims and assignments that took effect at some reader but not in the naive replay. */
  splitVerdicts: number
  /** Orders with a token that was superseded at their engine or known to be so at their agent. */
  supersededOrders: number
  orders: number
  claims: number
  /** Engines that do not run their assignment after all faults have ended. */
  unsettledEngines: number
}

export interface Entry {
  incarnation: number
  reader: ReturnType<typeof createLeaseReader>
  holder: ReturnType<typeof createLeaseHolder>
  claimOffset: number
  assignment: PoolAssignment | undefined
  /** A paused entry reads nothing; once it resumes, it acts on what it knew. */
  isPaused: boolean
}

export interface Agent {
  incarnation: number
  gate: ReturnType<typeof createOrderGate>
  engine: FakeEngine
  knownToken: number
}

const tokenReaders: Partial<Record<GateMessageKind, (message: GateMessage) => number>> = {
  [GateMessageKind.AssignmentReceived]: message => 'fence' in message ? message.fence.token : 0,
  [GateMessageKind.FenceSeen]: message => 'token' in message ? message.token : 0,
  [GateMessageKind.FenceConfirmed]: message => 'token' in message ? message.token : 0
}

/** Fencing token that a message tells an agent of, 0 if none. */
export const tokenOfMessage = (message: GateMessage): number => tokenReaders[message.kind]?.(message) ?? 0
