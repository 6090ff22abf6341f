import type { BudgetMessageKind, CloseReason, HeldKind } from './constants.js'

/** What the callers of one process may make it hold. */
export interface BudgetLimits {
  /** Memory of the host. */
  memoryBytes: number
  /** Bytes held for all callers together. */
  callerBytesMax: number
  /** Bytes held for one connection. */
  connectionBytesMax: number
  connectionsMax: number
  /** Bytes of requests in flight to one upstream. */
  upstreamBytesMax: number
}

export type BudgetMessage =
  | { kind: BudgetMessageKind.Opened, connectionId: number }
  | { kind: BudgetMessageKind.Closed, connectionId: number }
  | { kind: BudgetMessageKind.Held, connectionId: number, held: HeldKind, bytes: number }
  /** Bytes are no longer held, as the caller has read them or they are no longer needed. */
  | { kind: BudgetMessageKind.Released, connectionId: number, held: HeldKind, bytes: number }
  | { kind: BudgetMessageKind.RequestStarted, connectionId: number }
  | { kind: BudgetMessageKind.RequestEnded, connectionId: number }

/** The connection gives way; what it holds no longer counts. */
export interface CloseEffect {
  connectionId: number
  reason: CloseReason
}
