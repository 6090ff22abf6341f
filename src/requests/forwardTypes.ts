import type { ResultCode, TimestampMs } from '../core/index.js'
import type { RouteConfiguration } from '../configuration/index.js'
import type { Worker } from '../membership/index.js'
import type { HeaderField } from '../upstreams/index.js'

/** A request of a caller as a front end has read and matched it. */
export interface ForwardRequest {
  /** Id of this process for the request. */
  requestId: string
  /** Id that the caller gave to this attempt; the worker's answer must bear it. */
  callerAttemptId: string
  route: RouteConfiguration
  /** The route's backend that was drawn for this request. */
  service: string
  tenant: string | undefined
  /** Rank among waiting requests; 0 is the most urgent. */
  priority: number
  arrivedAtMs: TimestampMs
  /** When the caller or the route gives up, whichever is first. */
  deadlineAtMs: TimestampMs
  method: string
  path: string
  /** End-to-end headers as the caller sent them. */
  headers: readonly HeaderField[]
  body: Uint8Array
  /** Last event that the caller has, if it resumes a stream. */
  lastEventId: string | undefined
}

/** What a worker's response says, before its body. */
export enum AnswerVerdict {
  /** The worker states that the request has not run. */
  NotRun = 'not-run',
  /** The response is not the answer to this request, or not the worker's own bytes. */
  Foreign = 'foreign',
  /** The worker ran the request and failed. */
  Failure = 'failure',
  Success = 'success'
}

export interface WorkerAnswer {
  verdict: AnswerVerdict
  status: number
  /** End-to-end headers for the caller. */
  headers: readonly HeaderField[]
  isEventStream: boolean
}

export enum PlacementKind {
  Placed = 'placed',
  /** No place now; one may be free soon. */
  Wait = 'wait',
  /** It must reach no worker. */
  Refused = 'refused'
}

export type Placement =
  | { kind: PlacementKind.Placed, worker: Worker }
  /** The code says what the request lacks, and is its result if it waits in vain. */
  | { kind: PlacementKind.Wait, code: ResultCode }
  | { kind: PlacementKind.Refused, code: ResultCode }

/** How one attempt at a worker ended. */
export enum AttemptEnd {
  Answered = 'answered',
  Failed = 'failed',
  NotRun = 'not-run',
  Lost = 'lost',
  Cancelled = 'cancelled',
  NotConnected = 'not-connected'
}

/** Decisions of other slices that the life of a request depends on. */
export interface ForwardPorts {
  place (request: ForwardRequest, triedWorkerIds: readonly string[]): Placement
  /** Takes one repeat from the budget of the service. */
  takeRepeat (service: string): boolean
  onSent (request: ForwardRequest, worker: Worker, attempt: number): void
  onAttemptEnded (request: ForwardRequest, worker: Worker, end: AttemptEnd, detail: string): void
  /** Time between two events of a stream, or from the send to the first one. */
  onPause (request: ForwardRequest, worker: Worker, pauseMs: number, isFirst: boolean): void
  onRequestEnded (request: ForwardRequest, code: ResultCode, detail: string): void
  /** Time after which a refused request may find a place, in ms. */
  retryAfterMs (request: ForwardRequest): number
}

export enum ForwardMessageKind {
  Submitted = 'submitted',
  AnswerStarted = 'answer-started',
  AnswerBytes = 'answer-bytes',
  AnswerFinished = 'answer-finished',
  ExchangeFailed = 'exchange-failed',
  CallerGone = 'caller-gone',
  /** A place at some worker may be free. */
  PlaceFreed = 'place-freed',
  Tick = 'tick'
}

export type ForwardMessage =
  | { kind: ForwardMessageKind.Submitted, request: ForwardRequest }
  | { kind: ForwardMessageKind.AnswerStarted, exchangeId: number, answer: WorkerAnswer }
  | { kind: ForwardMessageKind.AnswerBytes, exchangeId: number, bytes: Uint8Array }
  | { kind: ForwardMessageKind.AnswerFinished, exchangeId: number }
  | { kind: ForwardMessageKind.ExchangeFailed, exchangeId: number, hasLeft: boolean, reason: string }
  | { kind: ForwardMessageKind.CallerGone, requestId: string }
  | { kind: ForwardMessageKind.PlaceFreed }
  | { kind: ForwardMessageKind.Tick }

export enum ForwardEffectKind {
  SendToWorker = 'send-to-worker',
  CancelExchange = 'cancel-exchange',
  SendHead = 'send-head',
  SendBody = 'send-body',
  Complete = 'complete',
  /** Ends the caller's connection, so that a cut answer does not look whole. */
  Break = 'break',
  Refuse = 'refuse'
}

export type ForwardEffect =
  | {
    kind: ForwardEffectKind.SendToWorker
    exchangeId: number
    worker: Worker
    request: ForwardRequest
    remainingMs: number
    lastEventId: string | undefined
    /** The request must not meet a connection that the worker is about to close. */
    needsFreshConnection: boolean
  }
  | { kind: ForwardEffectKind.CancelExchange, exchangeId: number }
  | { kind: ForwardEffectKind.SendHead, requestId: string, status: number, headers: readonly HeaderField[], bodyBytes: number | undefined }
  | { kind: ForwardEffectKind.SendBody, requestId: string, bytes: Uint8Array }
  | { kind: ForwardEffectKind.Complete, requestId: string }
  | { kind: ForwardEffectKind.Break, requestId: string }
  | { kind: ForwardEffectKind.Refuse, requestId: string, code: ResultCode, retryAfterMs: number | undefined }
