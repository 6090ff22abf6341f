import { type Clock, describeResult, Outcome, ResultCode } from '../core/index.js'
import type { InFlightTable } from './createInFlightTable.js'
import type { WorkerChecks } from './createWorkerChecks.js'
import { forEachRequest } from './forEachRequest.js'
import { hasVerificationTimedOut, type InFlightRequest, recordResponseEnd } from './forwardState.js'
import { AttemptEnd, type ForwardEffect, ForwardEffectKind, type ForwardPorts } from './forwardTypes.js'
import { CompletionProof, ResponseEnd } from './responseEnds.js'

export interface RequestEndsOptions {
  clock: Clock
  ports: Pick<ForwardPorts, 'retryAfterMs'>
  table: InFlightTable
  checks: WorkerChecks<InFlightRequest>
}

/** Ends of requests for which no response of a worker can be delivered. */
export interface RequestEnds {
  /** Ends a request with a result code, or by its connection if its response has begun. */
  failRequest (inFlight: InFlightRequest, code: ResultCode, detail: string, retryAfterMinMs?: number): ForwardEffect[]
  /** Ends a request whose stream is whole. */
  completeStream (inFlight: InFlightRequest, proof: CompletionProof | undefined): ForwardEffect[]
  /** Ends a request that cannot be sent to a further worker, as complete if its stream may have ended. */
  giveUp (inFlight: InFlightRequest, code: ResultCode, detail: string, retryAfterMinMs?: number): ForwardEffect[]
  /** Ends a request whose deadline, or time in the queue, is over. */
  expireIfDue (inFlight: InFlightRequest): ForwardEffect[]
  /** Ends a request whose caller has disconnected. */
  cancelIfGone (requestId: string): ForwardEffect[]
  /** Ends all requests, as the process exits. */
  endAll (): ForwardEffect[]
  /** Ends the requests that an exception has left without a next step. */
  failStuck (): ForwardEffect[]
}

/**
 * Creates the ends of the requests in a table.
 *
 * @example
 * const { failRequest } = createRequestEnds({ clock, ports, table, checks })
 * failRequest(inFlight, ResultCode.UpstreamDied, 'connection lost')
 */
export const createRequestEnds = ({ clock, ports, table, checks }: RequestEndsOptions): RequestEnds => {
  const cancelAttempt = (inFlight: InFlightRequest, endedBy: ResponseEnd, detail: string): ForwardEffect[] => {
    const { attempt } = inFlight
    const exchangeId = attempt?.exchangeId
    if (attempt !== undefined) recordResponseEnd(attempt, endedBy, clock.nowMs())
    table.endAttempt(inFlight, AttemptEnd.Cancelled, detail)
    return exchangeId === undefined ? [] : [{ kind: ForwardEffectKind.CancelExchange, exchangeId }]
  }

  const failRequest = (inFlight: InFlightRequest, code: ResultCode, detail: string, retryAfterMinMs = 0): ForwardEffect[] => {
    const { request: { requestId }, isHeadSent, mayHaveRun } = inFlight
    const claimsNotRun = describeResult(code).outcome === Outcome.NotRun
    const finalCode = claimsNotRun && mayHaveRun ? ResultCode.UpstreamDied : code
    table.remove(inFlight, finalCode, detail)
    if (isHeadSent) return [{ kind: ForwardEffectKind.AbortConnection, requestId }]
    const isRetryable = describeResult(finalCode).outcome === Outcome.NotRun && describeResult(finalCode).retryable
    const retryAfterMs = isRetryable ? Math.max(retryAfterMinMs, ports.retryAfterMs(inFlight.request)) : undefined
    return [{ kind: ForwardEffectKind.Refuse, requestId, code: finalCode, retryAfterMs }]
  }

  const completeStream = (inFlight: InFlightRequest, proof: CompletionProof | undefined): ForwardEffect[] => {
    inFlight.proof = proof
    table.remove(inFlight, ResultCode.Ok, 'stream ended')
    return [{ kind: ForwardEffectKind.Complete, requestId: inFlight.request.requestId }]
  }

  const giveUp = (inFlight: InFlightRequest, code: ResultCode, detail: string, retryAfterMinMs = 0): ForwardEffect[] =>
    inFlight.mayHaveEnded
      ? completeStream(inFlight, CompletionProof.LiveRun)
      : failRequest(inFlight, code, detail, retryAfterMinMs)

  const cancelIfGone = (requestId: string): ForwardEffect[] => {
    const inFlight = table.get(requestId)
    if (inFlight === undefined) return []
    const effects = cancelAttempt(inFlight, ResponseEnd.Caller, 'caller disconnected')
    table.remove(inFlight, ResultCode.CallerGone, 'caller disconnected')
    return effects
  }

  /** Whether something will happen to the request before its deadline. */
  const isPending = (inFlight: InFlightRequest) => inFlight.attempt !== undefined || table.waiting.has(inFlight) || checks.isHeld(inFlight)

  /** Ends the requests that an exception has left without a next step. */
  const failStuck = (): ForwardEffect[] =>
    forEachRequest(table.all(), inFlight => isPending(inFlight) ? [] : failRequest(inFlight, ResultCode.Internal, 'an exception occurred'))

  const expireIfDue = (inFlight: InFlightRequest): ForwardEffect[] => {
    const nowMs = clock.nowMs()
    if (nowMs >= inFlight.request.deadlineAtMs) {
      const effects = cancelAttempt(inFlight, ResponseEnd.Deadline, 'deadline exceeded')
      const code = inFlight.mayHaveRun ? ResultCode.DeadlineExceeded : ResultCode.DeadlineUnreachable
      return [...effects, ...failRequest(inFlight, code, 'deadline exceeded')]
    }
    if (hasVerificationTimedOut(inFlight, nowMs)) {
      const effects = cancelAttempt(inFlight, ResponseEnd.GivenUp, 'no answer to the resumption of a stream that may have ended')
      return [...effects, ...giveUp(inFlight, ResultCode.UpstreamDied, 'stream ended without framing')]
    }
    const hasQueueTimedOut = inFlight.queueDeadlineMs !== undefined && nowMs >= inFlight.queueDeadlineMs
    return hasQueueTimedOut ? giveUp(inFlight, inFlight.waitCode, 'no worker became available in time') : []
  }

  /** A caller that is told now can still go elsewhere. */
  const endAll = (): ForwardEffect[] => forEachRequest(table.all(), inFlight =>
    [...cancelAttempt(inFlight, ResponseEnd.ProcessExit, 'process exits'), ...failRequest(inFlight, ResultCode.Draining, 'process exits')])

  return { failRequest, completeStream, giveUp, expireIfDue, cancelIfGone, endAll, failStuck }
}
