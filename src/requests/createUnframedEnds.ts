import { ResultCode } from '../core/index.js'
import type { Worker } from '../membership/index.js'
import { UpstreamCheck } from '../upstreams/index.js'
import { CUT_OFF_SILENCE_SHARE } from './constants.js'
import type { InFlightTable } from './createInFlightTable.js'
import type { WorkerChecks } from './createWorkerChecks.js'
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
   * that was killed as well, and workers close those of work that they cut off. A stream that may be resumed is, which shows
   * whether anything was left; its worker is checked first, as after a loss. Otherwise the run of the worker is asked. An answer
   * without events may be cut off, too, before the first one.
   */
  const onUnframedEnd = (inFlight: InFlightRequest, attempt: Attempt): ForwardEffect[] => {
    const isStream = isStreamingResponse(attempt)
    if (isStream && attempt.splitter.hasPartialEvent) return steps.handleLostAttempt(inFlight, attempt, 'stream ended inside an event')
    if (isCutOffLikely(attempt)) return steps.handleLostAttempt(inFlight, attempt, 'response without framing ended after a silence')
    const isResumed = isStream && isSafeToRetry(inFlight.request) && (inFlight.isHeadSent || attempt.hasEvents)
    return checks.begin(attempt.worker, isResumed ? WorkerCheckScope.Address : WorkerCheckScope.Run, inFlight)
  }

  /** Resumes a stream that may have ended well; if that is not possible, the run that ended it is asked. */
  const resumeUnproven = (inFlight: InFlightRequest, { worker }: Attempt): ForwardEffect[] => {
    const detail = 'stream ended without framing'
    inFlight.unprovenWorker = inFlight.isHeadSent ? worker : undefined
    table.endAttempt(inFlight, AttemptEnd.Unproven, detail)
    return steps.retryOrFail(inFlight, ResultCode.UpstreamDied, detail)
  }

  /** Ends a stream that could not be resumed by what the run that ended it has answered; a lost one waits for a worker. */
  const concludeUnproven = (inFlight: InFlightRequest, check: UpstreamCheck, detail: string): ForwardEffect[] =>
    check === UpstreamCheck.Up
      ? steps.completeStream(inFlight, CompletionProof.LiveRun)
      : steps.retryOrFail(inFlight, ResultCode.UpstreamDied, detail)

  const checkedHandlers: Record<WorkerCheckScope, {
    withAttempt: (inFlight: InFlightRequest, attempt: Attempt) => ForwardEffect[]
    withoutAttempt: (inFlight: InFlightRequest, check: UpstreamCheck, detail: string) => ForwardEffect[]
  }> = {
    [WorkerCheckScope.Address]: {
      withAttempt: resumeUnproven,
      withoutAttempt: (inFlight, _check, detail) => steps.retryOrFail(inFlight, ResultCode.UpstreamDied, detail)
    },
    [WorkerCheckScope.Run]: {
      withAttempt: (inFlight, attempt) => {
        inFlight.proof = CompletionProof.LiveRun
        return steps.handleWholeResponse(inFlight, attempt)
      },
      withoutAttempt: concludeUnproven
    }
  }

  const onWorkerChecked = (worker: Worker, scope: WorkerCheckScope, check: UpstreamCheck): ForwardEffect[] => {
    const { requests, effects } = checks.finish(worker, scope)
    const held = requests.filter(({ request: { requestId } }) => table.get(requestId) !== undefined)
    const detail = `worker is ${check} after the end of its connection`
    const withAttempts = held.filter(({ attempt }) => attempt !== undefined)
    for (const inFlight of check === UpstreamCheck.Up ? [] : withAttempts) table.endAttempt(inFlight, AttemptEnd.Lost, detail)
    ports.onWorkerChecked(worker, check, scope)
    const { withAttempt, withoutAttempt } = checkedHandlers[scope]
    return [...effects, ...forEachRequest(held, inFlight => {
      const { attempt } = inFlight
      if (attempt !== undefined) return withAttempt(inFlight, attempt)
      return withAttempts.includes(inFlight) ? steps.retryOrFail(inFlight, ResultCode.UpstreamDied, detail) : withoutAttempt(inFlight, check, detail)
    })]
  }

  return { onUnframedEnd, onWorkerChecked }
}
