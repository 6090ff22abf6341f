import { ResultCode } from '../core/index.js'
import type { Worker } from '../membership/index.js'
import { UpstreamCheck } from '../upstreams/index.js'
import { CUT_OFF_SILENCE_SHARE } from './constants.js'
import type { InFlightTable } from './createInFlightTable.js'
import type { WorkerChecks } from './createWorkerChecks.js'
import { deliverStreamEnd } from './deliverResponse.js'
import { forEachRequest } from './forEachRequest.js'
import { type Attempt, type InFlightRequest, isSafeToRetry, isStreamingResponse } from './forwardState.js'
import { AttemptEnd, type ForwardEffect, type ForwardPorts, WorkerCheckScope } from './forwardTypes.js'
import { CompletionProof } from './responseEnds.js'

/** Next steps of a request whose response has ended. */
export interface EndSteps {
  handleLostAttempt (inFlight: InFlightRequest, attempt: Attempt, detail: string): ForwardEffect[]
  handleWholeResponse (inFlight: InFlightRequest, attempt: Attempt): ForwardEffect[]
  retryOrFail (inFlight: InFlightRequest, code: ResultCode, detail: string): ForwardEffect[]
  completeStream (inFlight: InFlightRequest, proof: CompletionProof): ForwardEffect[]
  /** Resumes a stream that may have ended, or ends it if that is not possible. */
  verifyEnd (inFlight: InFlightRequest): ForwardEffect[]
}

export interface UnframedEndsOptions {
  ports: Pick<ForwardPorts, 'onWorkerChecked'>
  table: Pick<InFlightTable, 'get' | 'endAttempt'>
  checks: WorkerChecks<InFlightRequest>
  /** See `ForwardCoreOptions`. */
  stallMs: () => number | undefined
  steps: EndSteps
}

/** Decides whether a response without framing is whole at the end of its connection. */
export interface UnframedEnds {
  onUnframedEnd (inFlight: InFlightRequest, attempt: Attempt): ForwardEffect[]
  onWorkerChecked (worker: Worker, scope: WorkerCheckScope, check: UpstreamCheck): ForwardEffect[]
}

/**
 * Creates the decisions about responses without framing, for the requests of a table.
 *
 * @example
 * const { onUnframedEnd } = createUnframedEnds({ ports, table, checks, stallMs, steps })
 * onUnframedEnd(inFlight, attempt) // [{ kind: ForwardEffectKind.CheckWorker, ... }]
 */
export const createUnframedEnds = ({ ports, table, checks, stallMs, steps }: UnframedEndsOptions): UnframedEnds => {
  /** Whether the silence before the end of a response is like that before an upstream cuts off its work. */
  const isCutOffLikely = ({ silenceMs = 0 }: Attempt) => silenceMs >= (stallMs() ?? Infinity) * CUT_OFF_SILENCE_SHARE

  /**
   * Handles the end of a connection that may be that of its response: the operating system closes the connections of a process
   * that was killed as well, and workers close those of work that they cut off.
   */
  const onUnframedEnd = (inFlight: InFlightRequest, attempt: Attempt): ForwardEffect[] => {
    if (isStreamingResponse(attempt) && attempt.splitter.hasPartialEvent) return steps.handleLostAttempt(inFlight, attempt, 'stream ended inside an event')
    if (isCutOffLikely(attempt)) return steps.handleLostAttempt(inFlight, attempt, 'response without framing ended after a silence')
    return checks.begin(attempt.worker, WorkerCheckScope.Run, inFlight)
  }

  /**
   * Handles a response whose run has closed its connection and lives on. A stream that may be resumed is, once, which shows
   * whether anything was left.
   */
  const onRunLives = (inFlight: InFlightRequest, attempt: Attempt): ForwardEffect[] => {
    const isResumable = isStreamingResponse(attempt) && isSafeToRetry(inFlight.request)
    if (isResumable && inFlight.isEventMissing) return steps.handleLostAttempt(inFlight, attempt, 'stream ended before an event that had begun')
    if (isResumable) {
      const effects = deliverStreamEnd(inFlight, attempt)
      table.endAttempt(inFlight, AttemptEnd.Unproven, 'stream ended without framing')
      if (inFlight.mayHaveEnded) return steps.completeStream(inFlight, CompletionProof.LiveRun)
      inFlight.mayHaveEnded = true
      return [...effects, ...steps.verifyEnd(inFlight)]
    }
    inFlight.proof = CompletionProof.LiveRun
    return steps.handleWholeResponse(inFlight, attempt)
  }

  const onWorkerChecked = (worker: Worker, scope: WorkerCheckScope, check: UpstreamCheck): ForwardEffect[] => {
    const { requests, effects } = checks.finish(worker, scope)
    const held = requests.filter(({ request: { requestId } }) => table.get(requestId) !== undefined)
    const detail = `worker is ${check} after the end of its connection`
    for (const inFlight of check === UpstreamCheck.Up ? [] : held) table.endAttempt(inFlight, AttemptEnd.Lost, detail)
    ports.onWorkerChecked(worker, check, scope)
    return [...effects, ...forEachRequest(held, inFlight => {
      const { attempt } = inFlight
      return attempt === undefined ? steps.retryOrFail(inFlight, ResultCode.UpstreamDied, detail) : onRunLives(inFlight, attempt)
    })]
  }

  return { onUnframedEnd, onWorkerChecked }
}
