import { RepeatPolicy } from '../configuration/index.js'
import { type ByteBuffer, createByteBuffer, ResultCode, type TimestampMs } from '../core/index.js'
import type { Worker } from '../membership/index.js'
import { CONTINUATION_WAIT_MAX_MS, QUEUE_WAIT_MAX_MS, RETRY_TIME_MIN_MS } from './constants.js'
import { createEventPosition, type EventPosition } from './createEventPosition.js'
import { createEventSplitter, type EventSplitter } from './createEventSplitter.js'
import { ResponseVerdict, type ForwardRequest, type WorkerResponse } from './forwardTypes.js'
import type { CompletionProof, ResponseEnd } from './responseEnds.js'

/** One HTTP exchange with a worker. */
export interface Attempt {
  exchangeId: number
  worker: Worker
  /** Whether an earlier attempt may have run; holds again for the request if this one provably has not. */
  hadRunBefore: boolean
  sentAtMs: TimestampMs
  /** Event after which the worker was asked to go on; undefined if it was asked for the whole response. */
  resumesAfter: string | undefined
  answer: WorkerResponse | undefined
  splitter: EventSplitter
  /** Body of a response that is no stream, until it is complete. */
  held: ByteBuffer
  lastEventAtMs: TimestampMs
  hasEvents: boolean
  /** Whether an event came whose place in the stream cannot be told. */
  isOutOfPlace: boolean
  /** Bytes of the response's body so far, and the parts in which they were read. */
  receivedBytes: number
  receivedParts: number
  /** When the head or the last part of the response arrived, or reading it went on after a pause. */
  lastPartAtMs: TimestampMs
  /** What ended the response, and how long nothing of it had come before; undefined until then. */
  endedBy: ResponseEnd | undefined
  silenceMs: number | undefined
}

/** Records what ended the response of an attempt; only the first end counts. */
export const recordResponseEnd = (attempt: Attempt, endedBy: ResponseEnd, nowMs: TimestampMs): void => {
  attempt.endedBy ??= endedBy
  attempt.silenceMs ??= nowMs - attempt.lastPartAtMs
}

/** State of a request from its submission to its result. */
export interface InFlightRequest {
  request: ForwardRequest
  attempt: Attempt | undefined
  attemptCount: number
  triedWorkerIds: string[]
  /** Whether any attempt may have run, the one in flight included; the request can then not be reported as not run. */
  mayHaveRun: boolean
  isHeadSent: boolean
  /** The events of a stream that the caller has. */
  position: EventPosition
  /** When the caller was last sent a part of a stream, or sent the request. */
  lastDeliveredAtMs: TimestampMs
  /**
   * Whether a run that lives on has closed the stream after the last event that was delivered, without stating its end, and no
   * other worker has begun to go on with it.
   */
  mayHaveEnded: boolean
  /** Whether a worker has begun an event after the last one that was delivered, so that the stream has not ended there. */
  isEventMissing: boolean
  /** What the response was taken for whole by, once it was. */
  proof: CompletionProof | undefined
  /** While the request is queued for a worker: when it is refused, and the code that it is refused with. */
  queueDeadlineMs: TimestampMs | undefined
  waitCode: ResultCode
}

export const getDefaultAttempt = (exchangeId: number, worker: Worker, { mayHaveRun, position }: InFlightRequest, nowMs: TimestampMs): Attempt => ({
  exchangeId,
  worker,
  hadRunBefore: mayHaveRun,
  sentAtMs: nowMs,
  resumesAfter: position.lastId,
  answer: undefined,
  splitter: createEventSplitter(),
  held: createByteBuffer(),
  lastEventAtMs: nowMs,
  hasEvents: false,
  isOutOfPlace: false,
  receivedBytes: 0,
  receivedParts: 0,
  lastPartAtMs: nowMs,
  endedBy: undefined,
  silenceMs: undefined
})

export const getDefaultInFlightRequest = (request: ForwardRequest): InFlightRequest => ({
  request,
  attempt: undefined,
  attemptCount: 0,
  triedWorkerIds: [],
  mayHaveRun: false,
  isHeadSent: false,
  position: createEventPosition(request.lastEventId),
  lastDeliveredAtMs: request.arrivedAtMs,
  mayHaveEnded: false,
  isEventMissing: false,
  proof: undefined,
  queueDeadlineMs: undefined,
  waitCode: ResultCode.Overloaded
})

/** Whether a request may run more than once: resumable streams and other idempotent requests. */
export const isSafeToRetry = ({ route }: ForwardRequest): boolean =>
  route.isEventStream ? route.isResumable : route.repeat === RepeatPolicy.Idempotent

/** Whether a request may be sent to one more worker, as far as its route, its deadline and its earlier attempts go. */
export const isRetryAllowed = ({ request, attemptCount, mayHaveRun, position }: InFlightRequest, nowMs: TimestampMs): boolean => {
  const hasTime = request.deadlineAtMs - nowMs > RETRY_TIME_MIN_MS
  const hasAttempts = attemptCount < Math.max(request.route.attemptsMax, mayHaveRun ? 1 : 2)
  return hasTime && hasAttempts && (!mayHaveRun || (isSafeToRetry(request) && position.isResumable))
}

/** Whether the worker has sent the head of a successful response. */
export const hasSuccessHead = ({ answer }: Attempt): boolean => answer?.verdict === ResponseVerdict.Success

/** Whether the worker has answered a resumption, and sent no event. */
export const isEmptyResumption = (attempt: Attempt): boolean =>
  attempt.resumesAfter !== undefined && isStreamingResponse(attempt) && !attempt.hasEvents && !attempt.splitter.hasPartialEvent

/** Whether the worker was asked to go on with a stream that its caller has a part of, and sent no event. */
export const isEmptyContinuation = ({ isHeadSent }: InFlightRequest, attempt: Attempt): boolean => isHeadSent && isEmptyResumption(attempt)

/** Whether the worker has begun to write its answer; a head alone is sent before the request runs. */
export const hasAnswerBegun = ({ hasEvents, held }: Attempt): boolean => hasEvents || held.length > 0

export const isStreamingResponse = ({ answer }: Attempt): boolean =>
  answer !== undefined && answer.isEventStream && answer.verdict === ResponseVerdict.Success

export const byUrgency = (a: InFlightRequest, b: InFlightRequest): number =>
  a.request.priority - b.request.priority || Number(b.isHeadSent) - Number(a.isHeadSent) || a.request.deadlineAtMs - b.request.deadlineAtMs

/**
 * Returns until when a request that no worker has a place for is queued. A stream that has begun waits as long as its caller does,
 * unless it may have ended well: then its caller should learn so soon.
 */
export const queueDeadlineOf = ({ request, isHeadSent, mayHaveEnded, lastDeliveredAtMs }: InFlightRequest, nowMs: TimestampMs): TimestampMs => {
  const shortMs = nowMs + QUEUE_WAIT_MAX_MS
  const isBegun = isHeadSent && !mayHaveEnded
  return Math.min(request.deadlineAtMs, isBegun ? Math.max(shortMs, lastDeliveredAtMs + CONTINUATION_WAIT_MAX_MS) : shortMs)
}

/** Whether a worker that was asked whether anything is left of a stream has not answered while the caller waits for its end. */
export const hasVerificationTimedOut = ({ mayHaveEnded, attempt, lastDeliveredAtMs }: InFlightRequest, nowMs: TimestampMs): boolean =>
  mayHaveEnded && attempt !== undefined && attempt.answer === undefined && nowMs >= lastDeliveredAtMs + CONTINUATION_WAIT_MAX_MS
