import type { Core, Outcome, ResultCode, TimestampMs } from '../../src/core/index.js'
import type {
  AgentReply, BindReply, BindRequest, CallEffect, CallMessage, CallRules, DispatchFrame, IdempotencyKey, KeyedCallOptions,
  KeyedRunsOptions, OwnerRules, RunsEffect, RunsMessage, RunsRules, VoidIfUnseenFrame
} from '../../src/once/index.js'
import type { EventQueue, NetworkFaults } from '../harness/index.js'
import type { LogFaults } from './fakeLog.js'

/** Messages between the processes of the fake world. */
export enum WireKind {
  Bind = 'bind',
  Bound = 'bound',
  Dispatch = 'dispatch',
  Void = 'void',
  AgentReply = 'agent-reply',
  Detach = 'detach'
}

export type Wire =
  | { kind: WireKind.Bind, request: BindRequest }
  | { kind: WireKind.Bound, reply: BindReply }
  | { kind: WireKind.Dispatch, frame: DispatchFrame }
  | { kind: WireKind.Void, frame: VoidIfUnseenFrame }
  | { kind: WireKind.AgentReply, incarnation: string, reply: AgentReply }
  | { kind: WireKind.Detach, scopedKey: string, requestId: string }

/** One request of a caller through one entry. */
export interface CallRecord {
  requestId: string
  scopedKey: string
  body: string
  startedMs: TimestampMs
  forwarded: string
  outcome?: Outcome
  code?: ResultCode
  endedMs?: TimestampMs
  /** When an agent last voided a binding on behalf of this call. */
  proofMs?: TimestampMs
}

/** One execution on an upstream, as the upstream itself sees it. */
export interface RunRecord {
  scopedKey: string
  body: string
  agent: string
  startedMs: TimestampMs
  /** Call whose dispatch started it. */
  requestId: string
  /** Complete answer, once it is produced. */
  answer?: string
}

/** Factories of the cores under test; the naive version replaces two of them. */
export interface CoreFactories {
  createCall (options: KeyedCallOptions): Core<CallMessage, CallEffect>
  createRuns (options: KeyedRunsOptions): Core<RunsMessage, RunsEffect>
}

export interface WorldRules {
  owner?: Partial<OwnerRules>
  call?: Partial<CallRules>
  runs?: Partial<RunsRules>
}

/** How upstreams of the fake world behave. */
export interface UpstreamFaults {
  chunksMax: number
  chunkDelayMaxMs: number
  failedRatio: number
  notStartedRatio: number
}

export interface WorldOptions {
  queue: EventQueue
  seed: number
  entries: number
  agents: number
  windowMs: number
  network: NetworkFaults
  log: LogFaults
  upstream: UpstreamFaults
  clockSkewMaxMs?: number
  agentKeysMax?: number
  answerBytesMax?: number
  tickMs?: number
  rules?: WorldRules
  factories?: Partial<CoreFactories>
  /** Called before each delivery; fault tables inject a fault at a given step. */
  onStep?: () => void
}

export interface SubmitOptions {
  entry: number
  key: IdempotencyKey
  body: string
  deadlineMs?: number
}

export interface World {
  submit (options: SubmitOptions): CallRecord
  crashEntry (entry: number, restartMs?: number): void
  crashAgent (agent: number, restartMs?: number): void
  pauseEntry (entry: number, durationMs: number): void
  pauseAgent (agent: number, durationMs: number): void
  /** Changes which entry one entry believes to own all shards. */
  setOwnerView (entry: number, owner: number): void
  /** Cuts the paths between two nodes; entries may notice a broken link. */
  cut (entry: number, agent: number, durationMs: number, isNoticed: boolean): void
  callerGone (call: CallRecord): void
  /** Runs until all calls have ended and no message is in transit. */
  run (limitMs: number): void
  readonly calls: readonly CallRecord[]
  readonly runs: readonly RunRecord[]
  records (shard: number): ReadonlyArray<{ offset: number, body: unknown }>
  /** Makes older records of a shard unreadable. */
  expireBefore (shard: number, offset: number): void
  readonly appendCount: number
}
