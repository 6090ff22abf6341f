import type { Incarnation, ResultCode, TimestampMs } from '../core/index.js'
import type { RepeatPolicy } from '../configuration/index.js'
import type { Frame } from '../links/index.js'
import type {
  CancelFrame, ChunkFrame, EndFrame, RefusedFrame, ResponseFrame, ResponseHead, ResumeFrame, RunFrame, UpstreamRequest
} from './frames.js'

/** A request after a front end has matched it to a route. */
export interface SubmittedRequest {
  requestId: string
  route: string
  pool: string
  customer: string
  repeat: RepeatPolicy
  priority: string
  deadlineAtMs: TimestampMs
  request: UpstreamRequest
  /** Fingerprint of method, path and body; identical for a retry of the same request. */
  fingerprint: string
  /** Chained fingerprints of the prompt's blocks, for prefix affinity; empty unless the request is for a model. */
  promptBlocks: readonly string[]
  /** Model that reads the prompt; undefined for requests without one. */
  model: string | undefined
  /** Fingerprints of the parts of the prompt that other requests may share. */
  promptParts: readonly string[]
  estimatedTokens: number
  traceparent?: string
}

/** Agent of the upstream that was selected for an attempt. */
export interface ChosenAgent {
  agentId: string
  incarnation: Incarnation
  address: string
}

/** How an attempt ended; routing, limits, retry budgets and quarantine depend on it. */
export enum AttemptResult {
  Finished = 'finished',
  Refused = 'refused',
  UpstreamDied = 'upstream-died',
  Lost = 'lost',
  Cancelled = 'cancelled'
}

/** Decisions and observations delegated to other slices. */
export interface RequestPorts {
  /** Returns a result code if the entry must refuse the request without dispatching it. */
  admit (request: SubmittedRequest): ResultCode | undefined
  choose (request: SubmittedRequest, excludedAgentIds: readonly string[]): ChosenAgent | ResultCode
  /** Takes one retry from the budgets of the customer and the pool. */
  takeRetry (request: SubmittedRequest): boolean
  /** Whether the upstream must not run other requests at the same time. */
  isSuspect (request: SubmittedRequest): boolean
  /** May return the trace context of the attempt, which is then sent to the agent. */
  onDispatched (request: SubmittedRequest, agent: ChosenAgent, attempt: number): string | undefined
  onResumed (request: SubmittedRequest, agent: ChosenAgent, attempt: number): void
  onFirstBytes (request: SubmittedRequest, agent: ChosenAgent, attempt: number): void
  /** Called for bytes of an event stream after the first ones. */
  onStreamBytes (request: SubmittedRequest, agent: ChosenAgent): void
  onAttemptEnded (request: SubmittedRequest, agent: ChosenAgent, attempt: number, result: AttemptResult): void
  /** Called exactly once for each admitted request. */
  onRequestEnded (request: SubmittedRequest, code: ResultCode): void
}

export enum RequestMessageKind {
  Submitted = 'submitted',
  FrameReceived = 'frame-received',
  AgentLinked = 'agent-linked',
  AgentUnlinked = 'agent-unlinked',
  CallerGone = 'caller-gone',
  Tick = 'tick'
}

export type RequestMessage =
  | { kind: RequestMessageKind.Submitted, request: SubmittedRequest }
  | { kind: RequestMessageKind.FrameReceived, agentId: string, frame: ResponseFrame }
  | { kind: RequestMessageKind.AgentLinked, agentId: string, incarnation: Incarnation }
  | { kind: RequestMessageKind.AgentUnlinked, agentId: string }
  | { kind: RequestMessageKind.CallerGone, requestId: string }
  | { kind: RequestMessageKind.Tick }

export enum RequestEffectKind {
  SendToAgent = 'send-to-agent',
  SendHead = 'send-head',
  SendBody = 'send-body',
  Complete = 'complete',
  Fail = 'fail'
}

export type RequestEffect =
  | { kind: RequestEffectKind.SendToAgent, agent: ChosenAgent, frame: RunFrame | CancelFrame | ResumeFrame }
  | { kind: RequestEffectKind.SendHead, requestId: string, head: ResponseHead }
  | { kind: RequestEffectKind.SendBody, requestId: string, bytes: Uint8Array }
  | { kind: RequestEffectKind.Complete, requestId: string }
  | { kind: RequestEffectKind.Fail, requestId: string, code: ResultCode }

export enum AgentRunMessageKind {
  RunRequested = 'run-requested',
  ResumeRequested = 'resume-requested',
  CancelRequested = 'cancel-requested',
  UpstreamHead = 'upstream-head',
  UpstreamBytes = 'upstream-bytes',
  UpstreamEnded = 'upstream-ended',
  /** The run was refused before the upstream received any part of the request. */
  UpstreamRefused = 'upstream-refused',
  LinkLost = 'link-lost',
  DrainStarted = 'drain-started',
  Tick = 'tick'
}

export type AgentRunMessage =
  | { kind: AgentRunMessageKind.RunRequested, linkId: string, frame: RunFrame }
  | { kind: AgentRunMessageKind.ResumeRequested, linkId: string, frame: ResumeFrame }
  | { kind: AgentRunMessageKind.CancelRequested, linkId: string, frame: CancelFrame }
  | { kind: AgentRunMessageKind.UpstreamHead, runId: string, head: ResponseHead }
  | { kind: AgentRunMessageKind.UpstreamBytes, runId: string, bytes: Uint8Array }
  | { kind: AgentRunMessageKind.UpstreamEnded, runId: string, code: ResultCode }
  | { kind: AgentRunMessageKind.UpstreamRefused, runId: string, code: ResultCode }
  | { kind: AgentRunMessageKind.LinkLost, linkId: string }
  | { kind: AgentRunMessageKind.DrainStarted }
  | { kind: AgentRunMessageKind.Tick }

export enum AgentRunEffectKind {
  StartUpstream = 'start-upstream',
  CancelUpstream = 'cancel-upstream',
  SendFrame = 'send-frame'
}

export type AgentRunEffect =
  | { kind: AgentRunEffectKind.StartUpstream, runId: string, linkId: string, frame: RunFrame }
  | { kind: AgentRunEffectKind.CancelUpstream, runId: string }
  | { kind: AgentRunEffectKind.SendFrame, linkId: string, frame: ChunkFrame | EndFrame | RefusedFrame | Frame }
