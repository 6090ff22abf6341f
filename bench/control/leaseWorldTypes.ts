import type { FollowerRule } from '../../src/configuration/index.js'
import {
  type createLeaseHolder, type createLeaseReader, type createOrderGate, type GateMessage, GateMessageKind, type GateRule,
  type LeaseRule, type PoolAssignment
} from '../../src/orders/index.js'
import type { FakeEngine } from './fakeEngine.js'

export const ENTRY_COUNT = 3
/** Whether each engine checks fencing tokens; the first ignores them. */
export const CHECKS_FENCE = [false, true]
export const POOL = 'quotes'
export const RETENTION_MS = 120_000
export const MODELS = ['quote-7b', 'quote-13b']
export const ADAPTERS = [[], ['roof'], ['roof', 'shed']]
export const LEASE_RESTART_SHARE = 0.1
export const SETTLE_ROUNDS = 100

export interface LeaseWorldOptions {
  seed: number
  steps?: number
  /** Whether all faults end after the last step; `unsettledEngines` is counted only then. */
  settles?: boolean
  disabledRules?: ReadonlySet<FollowerRule>
  disabledLeaseRules?: ReadonlySet<LeaseRule>
  disabledGateRules?: ReadonlySet<GateRule>
}

export interface LeaseFindings {
  /** Times that an entry's assignment was replaced by an earlier one. */
  reverts: number
  /** Claims and assignments that took effect at an entry but not in the naive replay of the log. */
  splitVerdicts: number
  /** Orders that ran, or that an agent sent, although the engine or the agent knew a later fencing token. */
  supersededOrders: number
  orders: number
  claims: number
  /** Engines whose state differs from the last assignment after all faults have ended. */
  unsettledEngines: number
}

export interface Entry {
  incarnation: number
  reader: ReturnType<typeof createLeaseReader>
  holder: ReturnType<typeof createLeaseHolder>
  claimOffset: number
  assignment: PoolAssignment | undefined
  /** A paused entry handles no messages; after it resumes, it acts on outdated state. */
  isPaused: boolean
}

export interface Agent {
  incarnation: number
  gate: ReturnType<typeof createOrderGate>
  engine: FakeEngine
  highestKnownToken: number
}

const tokenReaders: Partial<Record<GateMessageKind, (message: GateMessage) => number>> = {
  [GateMessageKind.AssignmentReceived]: message => 'fence' in message ? message.fence.token : 0,
  [GateMessageKind.FenceSeen]: message => 'token' in message ? message.token : 0,
  [GateMessageKind.FenceConfirmed]: message => 'token' in message ? message.token : 0
}

/** Returns the fencing token that a message carries to an agent, 0 if none. */
export const tokenOfMessage = (message: GateMessage): number => tokenReaders[message.kind]?.(message) ?? 0
