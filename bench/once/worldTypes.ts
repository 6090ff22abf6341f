import type { Core, Outcome, ResultCode, TimestampMs } from '../../src/core/index.js'
import type {
  AgentReply, BindReply, BindRequest, CallEffect, CallMessage, CallRules, DispatchFrame, IdempotencyKey, KeyedCallOptions,
  KeyedRunsOptions, OwnerRules, RunsEffect, RunsMessage, RunsRules, VoidIfUnseenFrame
} from '../../src/once/index.js'
import type { EventQueue, NetworkFaults } from '../harness/index.js'
import type { LogFaults } from './fakeLog.js'

/** Kinds of messages between the simulated processes. */
export enum ProcessMessageKind {
  Bind = 'bind',
  Bound = 'bound',
  Dispatch = 'dispatch',
  Void = 'void',
  AgentReply = 'agent-reply',
  Detach = 'detach'
}

export type ProcessMessage =
  | { kind: ProcessMessageKind.Bind, request: BindRequest }
  | { kind: ProcessMessageKind.Bound, reply: BindReply }
  | { kind: ProcessMessageKind.Dispatch, frame: DispatchFrame }
  | { kind: ProcessMessageKind.Void, frame: VoidIfUnseenFrame }
  | { kind: ProcessMessageKind.AgentReply, incarnation: string, reply: AgentReply }
  | { kind: ProcessMessageKind.Detach, scopedKey: string, requestId: string }

/** A caller's request, sent through one entry. */
export interface CallRecord {
  requestId: string
  scopedKey: string
  body: string
  startedMs: TimestampMs
  forwardedBody: string
  outcome?: Outcome
  code?: ResultCode
  endedMs?: TimestampMs
  /** Time at which an agent last voided a binding for this call, which proves that it has not run. */
  voidedMs?: TimestampMs
}

/** One execution on an upstream, recorded by the upstream itself. */
export interface RunRecord {
  scopedKey: string
  body: string
  agent: string
  startedMs: TimestampMs
  /** Call whose dispatch started the run. */
  requestId: string
  /** Complete response; undefined for a run that fails. */
  answer?: string
}

/** Factories of the cores under test; the naive version replaces both. */
export interface CoreFactories {
  createCall (options: KeyedCallOptions): Core<CallMessage, CallEffect>
  createRuns (options: KeyedRunsOptions): Core<RunsMessage, RunsEffect>
}

export interface WorldRules {
  owner?: Partial<OwnerRules>
  call?: Partial<CallRules>
  runs?: Partial<RunsRules>
}

/** Faults and delays of the simulated upstreams. */
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
  /** Called before each delivery; tests use it to inject a fault at a given step. */
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
  /** Changes which entry the given entry considers the owner of all shards. */
  setOwnerView (entry: number, owner: number): void
  /** Partitions an entry from an agent for a while; the entry learns of the lost link if `isLossReported`. */
  partition (entry: number, agent: number, durationMs: number, isLossReported: boolean): void
  callerGone (call: CallRecord): void
  /** Runs until all calls have ended and no message is in flight, or until the time limit. */
  run (limitMs: number): void
  readonly calls: readonly CallRecord[]
  readonly runs: readonly RunRecord[]
  records (shard: number): ReadonlyArray<{ offset: number, body: unknown }>
  /** Makes the records of a shard below the offset unreadable, as if their retention had ended. */
  expireBefore (shard: number, offset: number): void
  readonly appendCount: number
}
