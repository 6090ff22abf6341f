import { type ByteBuffer, type Clock, type Core, dispatch, type HandlerTable, ResultCode } from '../core/index.js'
import type { Worker } from '../membership/index.js'
import { ExchangeFault } from '../upstreams/index.js'
import { EVENT_BYTES_MAX, FORWARDED_REQUESTS_MAX, HELD_RESPONSE_BYTES_MAX } from './constants.js'
import { createInFlightTable } from './createInFlightTable.js'
import { createRequestEnds } from './createRequestEnds.js'
import { createWorkerChecks } from './createWorkerChecks.js'
import { createUnframedEnds } from './createUnframedEnds.js'
import { forEachRequest } from './forEachRequest.js'
import { deliverEvents, deliverResponse, deliverStreamEnd } from './deliverResponse.js'
import {
  type Attempt, byUrgency, isEmptyContinuation, hasAnswerBegun, hasSuccessHead, type InFlightRequest, isEmptyResumption, isRetryAllowed, isSafeToRetry, isStreamingResponse,
  queueDeadlineOf, recordResponseEnd
} from './forwardState.js'
import {
  ResponseVerdict, AttemptEnd, type ExchangeFailedMessage, type ForwardEffect, ForwardEffectKind, type ForwardMessage, ForwardMessageKind, type ForwardPorts,
  type ForwardRequest, PlacementKind, WorkerCheckScope, type WorkerResponse
} from './forwardTypes.js'
import { CompletionProof, END_OF_FAULT, FRAMED_END, ResponseEnd } from './responseEnds.js'

export interface ForwardCore extends Core<ForwardMessage, ForwardEffect> {
  readonly liveCount: number
  readonly waitingCount: number
  /** Whether the request has not ended yet. */
  isLive (requestId: string): boolean
}

export interface ForwardCoreOptions {
  clock: Clock
  ports: ForwardPorts
  /** Time for which upstreams stall before they cut off work that cannot go on; undefined if they do not. */
  stallMs?: () => number | undefined
}

/**
 * State machine for requests that are forwarded directly to workers: worker selection, retries, stream
 * resumes, deadlines and the single result that the caller receives. A request that is not safe to retry
 * is sent again only with proof that no earlier attempt has run.
 *
 * @example
 * const core = createForwardCore({ clock, ports })
 * core.handle({ kind: ForwardMessageKind.Submitted, request }) // [{ kind: SendToWorker, ... }]
 */
export const createForwardCore = ({ clock, ports, stallMs = () => undefined }: ForwardCoreOptions): ForwardCore => {
  const table = createInFlightTable({ clock, ports })
  const { waiting, remove: removeRequest, endAttempt, endNotRun } = table
  const checks = createWorkerChecks<InFlightRequest>()
  const { failRequest, completeStream, giveUp, expireIfDue, cancelIfGone, endAll, failStuck } = createRequestEnds({ clock, ports, table, checks })

  const sendToWorker = (inFlight: InFlightRequest, worker: Worker): ForwardEffect[] => {
    const { request } = inFlight
    const nowMs = clock.nowMs()
    const { exchangeId } = table.beginAttempt(inFlight, worker)
    ports.onSent(request, worker, inFlight.attemptCount)
    return [{
      kind: ForwardEffectKind.SendToWorker,
      exchangeId,
      worker,
      request,
      remainingMs: Math.max(1, Math.floor(request.deadlineAtMs - nowMs)),
      lastEventId: inFlight.position.lastId,
      needsFreshConnection: !isSafeToRetry(request)
    }]
  }

  const placeOrQueue = (inFlight: InFlightRequest): ForwardEffect[] => {
    const placement = ports.place(inFlight.request, inFlight.triedWorkerIds)
    if (placement.kind === PlacementKind.Placed) return sendToWorker(inFlight, placement.worker)
    if (placement.kind === PlacementKind.Refused) return giveUp(inFlight, placement.code, 'no worker may take the request', placement.retryAfterMs)
    inFlight.waitCode = placement.code
    inFlight.queueDeadlineMs ??= queueDeadlineOf(inFlight, clock.nowMs())
    waiting.add(inFlight)
    return []
  }

  const onSubmitted = (request: ForwardRequest): ForwardEffect[] => {
    const inFlight = table.add(request)
    if (table.count > FORWARDED_REQUESTS_MAX) return failRequest(inFlight, ResultCode.Overloaded, 'too many requests in flight in this process')
    return placeOrQueue(inFlight)
  }

  /** Retries the request if its route, its deadline and the retry budget allow it; otherwise fails it with the code. */
  const retryOrFail = (inFlight: InFlightRequest, code: ResultCode, detail: string): ForwardEffect[] => {
    const { request, mayHaveRun } = inFlight
    if (!isRetryAllowed(inFlight, clock.nowMs())) return giveUp(inFlight, code, detail)
    // A stream that has begun is continued as far as the time allows.
    if (!inFlight.isHeadSent && !ports.mayRetry(request)) return giveUp(inFlight, mayHaveRun ? code : ResultCode.Draining, detail)
    if (!ports.takeRetry(request.service)) return giveUp(inFlight, mayHaveRun ? code : ResultCode.RetryBudgetExhausted, detail)
    return placeOrQueue(inFlight)
  }

  const verifyEnd = (inFlight: InFlightRequest): ForwardEffect[] => {
    const isAllowed = isRetryAllowed(inFlight, clock.nowMs()) && ports.takeRetry(inFlight.request.service)
    return isAllowed ? placeOrQueue(inFlight) : giveUp(inFlight, ResultCode.UpstreamDied, 'stream ended without framing')
  }

  /**
   * A request that is lost may have crashed its worker, and would crash the next one too. It is retried only after a check of
   * the worker, so that the crash is known by then.
   */
  const handleLostAttempt = (inFlight: InFlightRequest, attempt: Attempt, detail: string): ForwardEffect[] => {
    // What the worker began to send follows the events that the caller has.
    if (hasSuccessHead(attempt)) inFlight.mayHaveEnded = false
    if (attempt.splitter.hasPartialEvent) inFlight.isEventMissing = true
    endAttempt(inFlight, AttemptEnd.Lost, detail)
    if (isRetryAllowed(inFlight, clock.nowMs())) return checks.begin(attempt.worker, WorkerCheckScope.Address, inFlight)
    return [...checks.begin(attempt.worker, WorkerCheckScope.Address), ...giveUp(inFlight, ResultCode.UpstreamDied, detail)]
  }

  const { onUnframedEnd, onWorkerChecked } = createUnframedEnds({
    ports,
    table,
    checks,
    stallMs,
    steps: {
      handleLostAttempt: (...lost) => handleLostAttempt(...lost),
      handleWholeResponse: (...whole) => handleWholeResponse(...whole),
      retryOrFail,
      completeStream,
      verifyEnd
    }
  })

  /** Ends an attempt whose response cannot be used any further, and closes its connection. */
  const abandonAttempt = (inFlight: InFlightRequest, attempt: Attempt, detail: string): ForwardEffect[] => {
    recordResponseEnd(attempt, ResponseEnd.GivenUp, clock.nowMs())
    return [{ kind: ForwardEffectKind.CancelExchange, exchangeId: attempt.exchangeId }, ...handleLostAttempt(inFlight, attempt, detail)]
  }

  const onResponseStarted = (inFlight: InFlightRequest, attempt: Attempt, response: WorkerResponse): ForwardEffect[] => {
    if (response.notice !== undefined) ports.onWorkerNotice(attempt.worker, response.notice, attempt.sentAtMs)
    const isNoStream = response.verdict === ResponseVerdict.Success && !response.isEventStream
    if (response.verdict === ResponseVerdict.Foreign || (inFlight.isHeadSent && isNoStream)) {
      return abandonAttempt(inFlight, attempt, `status ${response.status} is not a valid response to this request`)
    }
    attempt.answer = response
    attempt.lastPartAtMs = clock.nowMs()
    return []
  }

  const endOversized = (inFlight: InFlightRequest, attempt: Attempt): ForwardEffect[] => {
    const { answer, exchangeId } = attempt
    if (answer?.verdict !== ResponseVerdict.NotRun) return abandonAttempt(inFlight, attempt, 'response exceeds the size limit')
    recordResponseEnd(attempt, ResponseEnd.GivenUp, clock.nowMs())
    return [{ kind: ForwardEffectKind.CancelExchange, exchangeId }, ...verdictHandlers[ResponseVerdict.NotRun](inFlight, attempt, answer)]
  }

  /** What an earlier worker left as its end was none. */
  const recordDelivered = (inFlight: InFlightRequest) => {
    inFlight.mayHaveEnded = false
    inFlight.isEventMissing = false
    inFlight.lastDeliveredAtMs = clock.nowMs()
  }

  const onResponseBytes = (inFlight: InFlightRequest, attempt: Attempt, bytes: Uint8Array): ForwardEffect[] => {
    attempt.receivedBytes += bytes.length
    attempt.receivedParts += 1
    attempt.lastPartAtMs = clock.nowMs()
    if (isStreamingResponse(attempt)) {
      const effects = deliverEvents(inFlight, attempt, bytes, { nowMs: clock.nowMs(), onEventGap: ports.onEventGap })
      if (effects.length > 0) recordDelivered(inFlight)
      if (attempt.isOutOfPlace) return [...effects, ...abandonAttempt(inFlight, attempt, 'events of a resumption do not follow those before')]
      return attempt.splitter.restBytes <= EVENT_BYTES_MAX ? effects : [...effects, ...abandonAttempt(inFlight, attempt, 'event exceeds the size limit')]
    }
    attempt.held.add(bytes)
    return attempt.held.length <= HELD_RESPONSE_BYTES_MAX ? [] : endOversized(inFlight, attempt)
  }

  /** The pause of a caller that reads slowly is no gap between the events of its worker. */
  const onReadingResumed = (_inFlight: InFlightRequest, attempt: Attempt): ForwardEffect[] => {
    attempt.lastEventAtMs = clock.nowMs()
    attempt.lastPartAtMs = clock.nowMs()
    return []
  }

  const finishStream = (inFlight: InFlightRequest, attempt: Attempt): ForwardEffect[] => {
    if (attempt.splitter.hasPartialEvent) return handleLostAttempt(inFlight, attempt, 'stream ended inside an event')
    const effects = deliverStreamEnd(inFlight, attempt)
    endAttempt(inFlight, AttemptEnd.Answered, 'stream ended')
    return [...effects, ...completeStream(inFlight, inFlight.proof)]
  }

  const sendResponse = (inFlight: InFlightRequest, response: WorkerResponse, held: ByteBuffer): ForwardEffect[] => {
    removeRequest(inFlight, ResultCode.Ok, `status ${response.status}`)
    return deliverResponse(inFlight.request.requestId, response, held)
  }

  const canRetryFailure = (inFlight: InFlightRequest) =>
    !inFlight.isHeadSent && isRetryAllowed(inFlight, clock.nowMs()) && ports.takeRetry(inFlight.request.service)

  const onFailureResponse = (inFlight: InFlightRequest, attempt: Attempt, response: WorkerResponse): ForwardEffect[] => {
    endAttempt(inFlight, AttemptEnd.Failed, `status ${response.status}`)
    if (inFlight.isHeadSent) return retryOrFail(inFlight, ResultCode.UpstreamRefused, `status ${response.status} in response to a stream resume`)
    if (canRetryFailure(inFlight)) {
      const placement = ports.place(inFlight.request, inFlight.triedWorkerIds)
      if (placement.kind === PlacementKind.Placed) return sendToWorker(inFlight, placement.worker)
    }
    // The status would promise on behalf of this process what the worker has not proved.
    const isFalsePromise = response.isPromiseNotRun && !isSafeToRetry(inFlight.request)
    if (isFalsePromise) return failRequest(inFlight, ResultCode.UpstreamRefused, `worker failed with status ${response.status}, which is no proof`)
    return sendResponse(inFlight, response, attempt.held)
  }

  const verdictHandlers: Record<ResponseVerdict, (inFlight: InFlightRequest, attempt: Attempt, response: WorkerResponse) => ForwardEffect[]> = {
    [ResponseVerdict.NotRun]: (inFlight, attempt, { status }) => {
      endNotRun(inFlight, attempt, AttemptEnd.NotRun, `status ${status}`)
      return retryOrFail(inFlight, ResultCode.Overloaded, `worker refused the request with status ${status}`)
    },
    [ResponseVerdict.Foreign]: (inFlight, attempt) => handleLostAttempt(inFlight, attempt, 'not a valid response to this request'),
    [ResponseVerdict.Failure]: onFailureResponse,
    [ResponseVerdict.Success]: (inFlight, attempt, response) => {
      if (response.isEventStream) return finishStream(inFlight, attempt)
      endAttempt(inFlight, AttemptEnd.Answered, `status ${response.status}`)
      return sendResponse(inFlight, response, attempt.held)
    }
  }

  const handleWholeResponse = (inFlight: InFlightRequest, attempt: Attempt): ForwardEffect[] => {
    const { answer } = attempt
    return answer === undefined ? handleLostAttempt(inFlight, attempt, 'response ended before its head') : verdictHandlers[answer.verdict](inFlight, attempt, answer)
  }

  const onResponseFinished = (inFlight: InFlightRequest, attempt: Attempt): ForwardEffect[] => {
    if (attempt.answer !== undefined) recordResponseEnd(attempt, FRAMED_END[attempt.answer.framing], clock.nowMs())
    inFlight.proof = isEmptyContinuation(inFlight, attempt) ? CompletionProof.Resumption : CompletionProof.Framing
    return handleWholeResponse(inFlight, attempt)
  }

  const onExchangeFailed = (
    inFlight: InFlightRequest, attempt: Attempt, { hasLeft, reason, fault, endedAtMs = clock.nowMs() }: Omit<ExchangeFailedMessage, 'kind'>
  ): ForwardEffect[] => {
    recordResponseEnd(attempt, fault === undefined ? ResponseEnd.GivenUp : END_OF_FAULT[fault], endedAtMs)
    // The response head alone proves the refusal, even if the body is incomplete.
    if (attempt.answer?.verdict === ResponseVerdict.NotRun) return verdictHandlers[ResponseVerdict.NotRun](inFlight, attempt, attempt.answer)
    if (fault === ExchangeFault.UnframedEnd && (hasAnswerBegun(attempt) || isEmptyResumption(attempt))) return onUnframedEnd(inFlight, attempt)
    if (hasLeft) return handleLostAttempt(inFlight, attempt, reason)
    endNotRun(inFlight, attempt, AttemptEnd.NotConnected, reason)
    return retryOrFail(inFlight, ResultCode.NoUpstream, reason)
  }

  /** No other worker could be sent the request either. */
  const onRequestUnsendable = (inFlight: InFlightRequest, attempt: Attempt, reason: string): ForwardEffect[] => {
    endNotRun(inFlight, attempt, AttemptEnd.Cancelled, reason)
    return failRequest(inFlight, ResultCode.Unsendable, reason)
  }

  const placeWaiting = (): ForwardEffect[] =>
    forEachRequest([...waiting].sort(byUrgency), inFlight => {
      waiting.delete(inFlight)
      return placeOrQueue(inFlight)
    })

  const withAttempt = <Message extends { exchangeId: number }>(
    handle: (inFlight: InFlightRequest, attempt: Attempt, message: Message) => ForwardEffect[]
  ) => (message: Message): ForwardEffect[] => {
      const inFlight = table.findByExchange(message.exchangeId)
      return inFlight?.attempt === undefined ? [] : handle(inFlight, inFlight.attempt, message)
    }

  const handlers: HandlerTable<ForwardMessage, ForwardEffect[]> = {
    [ForwardMessageKind.Submitted]: ({ request }) => onSubmitted(request),
    [ForwardMessageKind.ResponseStarted]: withAttempt((inFlight, attempt, { answer }) => onResponseStarted(inFlight, attempt, answer)),
    [ForwardMessageKind.ResponseBytes]: withAttempt((inFlight, attempt, { bytes }) => onResponseBytes(inFlight, attempt, bytes)),
    [ForwardMessageKind.ResponseFinished]: withAttempt(onResponseFinished),
    [ForwardMessageKind.ReadingResumed]: withAttempt(onReadingResumed),
    [ForwardMessageKind.ExchangeFailed]: withAttempt(onExchangeFailed),
    [ForwardMessageKind.ExchangeOverflowed]: withAttempt((inFlight, attempt, { exchangeId }) =>
      onExchangeFailed(inFlight, attempt, { exchangeId, hasLeft: true, reason: 'too many parts of responses wait to be handled' })),
    [ForwardMessageKind.RequestUnsendable]: withAttempt((inFlight, attempt, { reason }) => onRequestUnsendable(inFlight, attempt, reason)),
    [ForwardMessageKind.ConnectionClosedEarly]: ({ worker }) => checks.begin(worker, WorkerCheckScope.Address),
    [ForwardMessageKind.WorkerChecked]: ({ worker, scope, check }) => onWorkerChecked(worker, scope, check),
    [ForwardMessageKind.CallerGone]: ({ requestId }) => cancelIfGone(requestId),
    [ForwardMessageKind.HandlingFailed]: failStuck,
    [ForwardMessageKind.CapacityFreed]: placeWaiting,
    [ForwardMessageKind.ProcessExits]: endAll,
    [ForwardMessageKind.Tick]: () => forEachRequest(table.all(), expireIfDue)
  }

  return {
    handle: message => dispatch(handlers, message),
    get liveCount () { return table.count },
    get waitingCount () { return waiting.size },
    isLive: requestId => table.get(requestId) !== undefined
  }
}
