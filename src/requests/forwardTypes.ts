import type { ResultCode, TimestampMs } from '../core/index.js'
import type { RouteConfiguration } from '../configuration/index.js'
import type { Worker } from '../membership/index.js'
import type { ExchangeFault, HeaderField, UpstreamCheck } from '../upstreams/index.js'
import type { WorkerNotice } from '../workerLimits/index.js'
import type { CompletionProof, ResponseEnd, ResponseFraming } from './responseEnds.js'

/** A caller's request after a front end has parsed it and matched it to a route. */
export interface ForwardRequest {
  /** Id that this process assigned to the request. */
  requestId: string
  /** Id that the caller assigned to this attempt; the worker's response must carry it. */
  callerAttemptId: string
  route: RouteConfiguration
  /** Backend of the route that was selected for this request. */
  service: string
  tenant: string | undefined
  /** Priority in the queue; 0 is the most urgent. */
  priority: number
  arrivedAtMs: TimestampMs
  /** Earlier of the caller's and the route's timeout. */
  deadlineAtMs: TimestampMs
  method: string
  path: string
  /** End-to-end headers as the caller sent them. */
  headers: readonly HeaderField[]
  body: Uint8Array
  /** Id of the last event that the caller has received, if it resumes a stream. */
  lastEventId: string | undefined
  /** Model that reads the prompt; undefined for requests without one. */
  model: string | undefined
  /** Ids of the parts of the prompt that other requests may share, in order; empty for requests without a prompt. */
  promptParts: readonly string[]
}

/** Classification of a worker's response by its head. */
export enum ResponseVerdict {
  /** The worker proves that the request has not run. */
  NotRun = 'not-run',
  /** The response belongs to another request, or was not produced by the worker itself. */
  Foreign = 'foreign',
  /** The worker reports a failure without proof that the request has not run. */
  Failure = 'failure',
  Success = 'success'
}

export interface WorkerResponse {
  verdict: ResponseVerdict
  status: number
  /** Whether callers take the status for a promise that the request has not run and never will. */
  isPromiseNotRun: boolean
  /** End-to-end headers for the caller. */
  headers: readonly HeaderField[]
  isEventStream: boolean
  framing: ResponseFraming
  /** What the worker says about itself; undefined if the response need not come from the worker that was addressed. */
  notice: WorkerNotice | undefined
}

/** How the caller of a response learns where its body ends. */
export enum BodyFramingKind {
  Length = 'length',
  Chunks = 'chunks',
  /**
   * As the worker's response had no framing, its end is passed on as it came. Only for a response that is written at once:
   * the end of the connection may be that of this process, and would look like the end of the body.
   */
  ConnectionEnd = 'connection-end'
}

export type BodyFraming =
  | { kind: BodyFramingKind.Length, bodyBytes: number }
  | { kind: BodyFramingKind.Chunks }
  | { kind: BodyFramingKind.ConnectionEnd }

export enum PlacementKind {
  Placed = 'placed',
  /** No worker has free capacity now; one may become available soon. */
  Wait = 'wait',
  /** The request must not be sent to any worker, or no worker can take it soon. */
  Refused = 'refused'
}

export type Placement =
  | { kind: PlacementKind.Placed, worker: Worker }
  /** Why no worker is available; also the result if the request times out in the queue. */
  | { kind: PlacementKind.Wait, code: ResultCode }
  /** `retryAfterMs` is the time until a worker can take the request, if it is known. */
  | { kind: PlacementKind.Refused, code: ResultCode, retryAfterMs?: number }

/** How one attempt at a worker ended. */
export enum AttemptEnd {
  Answered = 'answered',
  /** A stream ended in a way that does not state that it is whole; its worker is up. */
  Unproven = 'unproven',
  Failed = 'failed',
  NotRun = 'not-run',
  Lost = 'lost',
  Cancelled = 'cancelled',
  NotConnected = 'not-connected'
}

/** What a check of a worker asks. */
export enum WorkerCheckScope {
  /** Whether its address accepts connections; tells a crash from a connection that was lost on the way. */
  Address = 'address',
  /** Whether the run that was sent a request still answers, so that it has closed its connection itself. */
  Run = 'run'
}

/** Outcome of one attempt at a worker. */
export interface AttemptOutcome {
  end: AttemptEnd
  detail: string
  sentAtMs: TimestampMs
  /** Whether the head of a successful response had arrived. */
  hasHead: boolean
  /** Whether a part of the worker's answer had arrived: an event of a stream, or bytes of another body. */
  hasAnswerBegun: boolean
  /** Whether the worker answered with a stream. */
  isStream: boolean
  /** How the worker framed its response, once its head has arrived. */
  framing: ResponseFraming | undefined
  /** What ended the response; undefined if nothing of it had arrived. */
  endedBy: ResponseEnd | undefined
  /** Number of this attempt among those of its request, from 1. */
  attemptNumber: number
  /** Last event that was delivered to the caller, by this attempt or an earlier one. */
  lastEventId: string | undefined
  /** Time without an event, or another part of the body, before the end. */
  silenceMs: number
  /** Bytes of the response's body, and the parts in which they were read. */
  receivedBytes: number
  receivedParts: number
}

/** Decisions and observations delegated to other slices. */
export interface ForwardPorts {
  place (request: ForwardRequest, triedWorkerIds: readonly string[]): Placement
  /** Whether a further attempt may end before this process exits. */
  mayRetry (request: ForwardRequest): boolean
  /** Takes one retry from the budget of the service. */
  takeRetry (service: string): boolean
  onSent (request: ForwardRequest, worker: Worker, attempt: number): void
  /** Called with what a worker says about itself in the head of its response to a request that was sent at `sentAtMs`. */
  onWorkerNotice (worker: Worker, notice: WorkerNotice, sentAtMs: TimestampMs): void
  /** Called with the result of a check that followed the end of a connection. */
  onWorkerChecked (worker: Worker, check: UpstreamCheck, scope: WorkerCheckScope): void
  onAttemptEnded (request: ForwardRequest, worker: Worker, outcome: AttemptOutcome): void
  /** Called with the time between two events of a stream, or from the send to the first event. */
  onEventGap (request: ForwardRequest, worker: Worker, gapMs: number, isFirst: boolean): void
  /** `proof` is what the response was taken for whole by, if it was. */
  onRequestEnded (request: ForwardRequest, code: ResultCode, detail: string, proof?: CompletionProof): void
  /** Time after which the caller may retry a refused request, in ms. */
  retryAfterMs (request: ForwardRequest): number
}

export enum ForwardMessageKind {
  Submitted = 'submitted',
  ResponseStarted = 'response-started',
  ResponseBytes = 'response-bytes',
  ResponseFinished = 'response-finished',
  /** Reading of the response was paused for its caller, and goes on. */
  ReadingResumed = 'reading-resumed',
  ExchangeFailed = 'exchange-failed',
  /** A part of the response could not be queued, and the exchange was cancelled. */
  ExchangeOverflowed = 'exchange-overflowed',
  /** The head of the request cannot be encoded; nothing was sent. */
  RequestUnsendable = 'request-unsendable',
  /** A worker closed an idle connection right after a response, which may be the sign of a crash. */
  ConnectionClosedEarly = 'connection-closed-early',
  WorkerChecked = 'worker-checked',
  CallerGone = 'caller-gone',
  /** An exception has cut the handling of a message short. */
  HandlingFailed = 'handling-failed',
  /** Some worker may have free capacity. */
  CapacityFreed = 'capacity-freed',
  /** The process exits now. */
  ProcessExits = 'process-exits',
  Tick = 'tick'
}

export type ForwardMessage =
  | { kind: ForwardMessageKind.Submitted, request: ForwardRequest }
  | { kind: ForwardMessageKind.ResponseStarted, exchangeId: number, answer: WorkerResponse }
  | { kind: ForwardMessageKind.ResponseBytes, exchangeId: number, bytes: Uint8Array }
  | { kind: ForwardMessageKind.ResponseFinished, exchangeId: number }
  | { kind: ForwardMessageKind.ReadingResumed, exchangeId: number }
  /** `fault` is unset if the exchange ended by an exception in this process, `endedAtMs` if it has ended just now. */
  | { kind: ForwardMessageKind.ExchangeFailed, exchangeId: number, hasLeft: boolean, reason: string, fault?: ExchangeFault, endedAtMs?: TimestampMs }
  | { kind: ForwardMessageKind.ExchangeOverflowed, exchangeId: number }
  | { kind: ForwardMessageKind.RequestUnsendable, exchangeId: number, reason: string }
  | { kind: ForwardMessageKind.ConnectionClosedEarly, worker: Worker }
  | { kind: ForwardMessageKind.WorkerChecked, worker: Worker, scope: WorkerCheckScope, check: UpstreamCheck }
  | { kind: ForwardMessageKind.CallerGone, requestId: string }
  | { kind: ForwardMessageKind.HandlingFailed }
  | { kind: ForwardMessageKind.CapacityFreed }
  | { kind: ForwardMessageKind.ProcessExits }
  | { kind: ForwardMessageKind.Tick }

export type ExchangeFailedMessage = Extract<ForwardMessage, { kind: ForwardMessageKind.ExchangeFailed }>

export enum ForwardEffectKind {
  SendToWorker = 'send-to-worker',
  CancelExchange = 'cancel-exchange',
  /** Check a worker after the end of a connection to it. */
  CheckWorker = 'check-worker',
  SendHead = 'send-head',
  SendBody = 'send-body',
  Complete = 'complete',
  /** Aborts the caller's connection, so that a truncated response does not look complete. */
  AbortConnection = 'abort-connection',
  Refuse = 'refuse',
  /** An exception kept one of several requests from being handled. */
  ReportFailure = 'report-failure'
}

export type ForwardEffect =
  | {
    kind: ForwardEffectKind.SendToWorker
    exchangeId: number
    worker: Worker
    request: ForwardRequest
    remainingMs: number
    lastEventId: string | undefined
    /** Requires a new connection, because the worker may be about to close a reused one. */
    needsFreshConnection: boolean
  }
  | { kind: ForwardEffectKind.CheckWorker, worker: Worker, scope: WorkerCheckScope }
  | { kind: ForwardEffectKind.CancelExchange, exchangeId: number }
  | { kind: ForwardEffectKind.SendHead, requestId: string, status: number, headers: readonly HeaderField[], framing: BodyFraming }
  | { kind: ForwardEffectKind.SendBody, requestId: string, bytes: Uint8Array }
  | { kind: ForwardEffectKind.Complete, requestId: string }
  | { kind: ForwardEffectKind.AbortConnection, requestId: string }
  | { kind: ForwardEffectKind.ReportFailure, error: unknown }
  | { kind: ForwardEffectKind.Refuse, requestId: string, code: ResultCode, retryAfterMs: number | undefined }
