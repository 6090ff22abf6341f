import { ResultCode } from '../../core/index.js'
import { type HopSpan, SpanName, type Tracing } from '../../observe/index.js'
import { AttemptResult, type ChosenAgent, type SubmittedRequest } from '../../requests/index.js'

const CODE_OF_RESULT: Record<AttemptResult, ResultCode> = {
  [AttemptResult.Finished]: ResultCode.Ok,
  [AttemptResult.Refused]: ResultCode.Overloaded,
  [AttemptResult.UpstreamDied]: ResultCode.UpstreamDied,
  [AttemptResult.Lost]: ResultCode.AnswerLost,
  [AttemptResult.Cancelled]: ResultCode.CallerGone
}

/** Trace spans of the requests and attempts in flight at one entry. */
export interface RequestSpans {
  startRequest (request: SubmittedRequest): void
  traceparentOf (request: SubmittedRequest): string | undefined
  startAttempt (request: SubmittedRequest, agent: ChosenAgent, attempt: number): string | undefined
  recordResume (request: SubmittedRequest, attempt: number): void
  endAttempt (request: SubmittedRequest, attempt: number, result: AttemptResult): void
  endRequest (request: SubmittedRequest, code: ResultCode): void
}

/**
 * Creates the span table of one entry: one span per request with a child span per attempt.
 *
 * @example
 * const spans = createRequestSpans(tracing)
 * spans.startRequest(request)
 */
export const createRequestSpans = (tracing: Tracing): RequestSpans => {
  const requests = new Map<string, HopSpan>()
  const attempts = new Map<string, HopSpan>()
  const attemptKey = ({ requestId }: SubmittedRequest, attempt: number) => `${requestId}/${attempt}`

  const finish = (spans: Map<string, HopSpan>, key: string, code: ResultCode) => {
    spans.get(key)?.end(code)
    spans.delete(key)
  }

  return {
    startRequest: request => {
      const { requestId, route, pool, customer, traceparent } = request
      requests.set(requestId, tracing.startSpan(SpanName.Entry, traceparent, { requestId, route, pool, customer }))
    },
    traceparentOf: ({ requestId }) => requests.get(requestId)?.traceparent,
    startAttempt: (request, { agentId }, attempt) => {
      const parent = requests.get(request.requestId)?.traceparent
      const span = tracing.startSpan(SpanName.Attempt, parent, { requestId: request.requestId, agentId, attempt })
      attempts.set(attemptKey(request, attempt), span)
      return span.traceparent
    },
    recordResume: (request, attempt) => attempts.get(attemptKey(request, attempt))?.addEvent('resume'),
    endAttempt: (request, attempt, result) => finish(attempts, attemptKey(request, attempt), CODE_OF_RESULT[result]),
    endRequest: (request, code) => finish(requests, request.requestId, code)
  }
}
