import type { Incarnation, ResultCode, TimestampMs } from '../core/index.js'
import type { BindingKind, KeyState } from './constants.js'

/** A validated idempotency key. */
export interface IdempotencyKey {
  /** UUID and customer; the same UUID used by two customers gives two different keys. */
  scopedKey: string
  /** Time encoded in the UUID, by the caller's clock. */
  keyTimeMs: TimestampMs
  shard: number
}

/** One incarnation of an agent process. */
export interface AgentRef {
  incarnation: Incarnation
  address: string
}

/** Binding of a key that is in effect at a given point of the log. */
export interface Binding {
  offset: number
  agent: AgentRef
  /** Fingerprint of the request body. */
  fingerprint: string
}

/** One item of a binding record in the log. */
export type BindingItem =
  | { kind: BindingKind.Bind, scopedKey: string, keyTimeMs: TimestampMs, agent: AgentRef, fingerprint: string }
  | { kind: BindingKind.Rebind, scopedKey: string, keyTimeMs: TimestampMs, agent: AgentRef, supersededOffset: number }

/** Body of a record in the log stream `once-<shard>`. */
export interface BindingRecord {
  bindings: BindingItem[]
}

/** Bind request that an entry sends to the owner of a shard. */
export interface BindRequest extends IdempotencyKey {
  requestId: string
  fingerprint: string
  /** Agent to bind the key to if it has no binding; absent if the entry knows none and only looks the key up. */
  candidate?: AgentRef
  /** Offset of a binding that its agent confirmed as void; requests a rebind. */
  voidedOffset?: number
}

/** Reply of the owner; `binding` is present if the code is Ok. */
export interface BindReply {
  requestId: string
  code: ResultCode
  binding?: Binding
}

/** Dispatches a bound call to its agent. */
export interface DispatchFrame extends IdempotencyKey {
  requestId: string
  fingerprint: string
  bindingOffset: number
  agentIncarnation: Incarnation
  /** Sequence number of the first response chunk that the entry lacks. */
  fromSequence: number
  body: Uint8Array
}

/** Asks the agent to void a binding unless it has seen the key; the dispatch may still be in transit. */
export interface VoidIfUnseenFrame extends IdempotencyKey {
  requestId: string
  bindingOffset: number
  agentIncarnation: Incarnation
}

/** Kinds of replies of an agent about a keyed call. */
export enum AgentReplyKind {
  State = 'state',
  Chunk = 'chunk',
  End = 'end',
  Refused = 'refused'
}

interface AgentReplyBase {
  requestId: string
  bindingOffset: number
}

export type AgentReply =
  /** `code` is the reason why the agent voided a dispatch. */
  | AgentReplyBase & { kind: AgentReplyKind.State, state: KeyState, producedCount: number, code?: ResultCode }
  | AgentReplyBase & { kind: AgentReplyKind.Chunk, sequence: number, bytes: Uint8Array }
  | AgentReplyBase & { kind: AgentReplyKind.End, count: number, hash: string, httpStatus: number }
  | AgentReplyBase & { kind: AgentReplyKind.Refused, code: ResultCode }
