import type { ResultCode, TimestampMs } from '../core/index.js'
import type { AgentRef, Binding } from './types.js'

/** Phase of a keyed call. */
export enum CallPhase {
  /** Waits for the router to choose an agent. */
  Choosing = 'choosing',
  /** Waits for the owner's reply to a bind request. */
  Binding = 'binding',
  /** Waits for the agent's first reply to a dispatch. */
  Dispatched = 'dispatched',
  Streaming = 'streaming',
  /** Waits for the agent's reply to VoidIfUnseen. */
  Probing = 'probing',
  Ended = 'ended'
}

/** State of one keyed call at its entry. */
export interface CallState {
  phase: CallPhase
  candidate?: AgentRef
  /** Agents that voided a binding of this call. */
  excluded: AgentRef[]
  binding?: Binding
  /** Offset of the last binding that its agent confirmed as void. */
  voidedOffset?: number
  rebindCount: number
  /** Code to end the call with while a new void proves that the key has not run; otherwise absent. */
  notRunCode?: ResultCode
  /** Last transient code that the owner replied. */
  bindCode?: ResultCode
  bindStartedMs: TimestampMs
  bindRequestedMs: TimestampMs
  lastReplyMs: TimestampMs
  lastProbeMs: TimestampMs
}

export const getDefaultCallState = (nowMs: TimestampMs): CallState => ({
  phase: CallPhase.Choosing,
  excluded: [],
  rebindCount: 0,
  bindStartedMs: nowMs,
  bindRequestedMs: nowMs,
  lastReplyMs: nowMs,
  lastProbeMs: nowMs
})
