import type { ResultCode, TimestampMs } from '../core/index.js'
import type { AgentRef, Binding } from './types.js'

/** Where a keyed call is in its life. */
export enum CallPhase {
  /** Waits for the router. */
  Choosing = 'choosing',
  /** Waits for the owner. */
  Binding = 'binding',
  /** Waits for the agent's first answer to a dispatch. */
  Dispatched = 'dispatched',
  Streaming = 'streaming',
  /** Waits for the answer to VoidIfUnseen. */
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
  /** Offset of the last binding that was confirmed as void. */
  voidedOffset?: number
  rebindCount: number
  /** Present while a fresh void proves that the key has not run; the code to end with. */
  notRunCode?: ResultCode
  /** Last transient code of the owner. */
  bindCode?: ResultCode
  bindStartedMs: TimestampMs
  askedMs: TimestampMs
  heardMs: TimestampMs
  probedMs: TimestampMs
}

export const getDefaultCallState = (nowMs: TimestampMs): CallState => ({
  phase: CallPhase.Choosing,
  excluded: [],
  rebindCount: 0,
  bindStartedMs: nowMs,
  askedMs: nowMs,
  heardMs: nowMs,
  probedMs: nowMs
})
