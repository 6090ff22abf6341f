import { type Clock, ResultCode } from '../core/index.js'
import type { Worker } from '../membership/index.js'
import { type Attempt, getDefaultAttempt, getDefaultInFlightRequest, hasAnswerBegun, hasSuccessHead, type InFlightRequest, isStreamingResponse } from './forwardState.js'
import type { AttemptEnd, ForwardPorts, ForwardRequest } from './forwardTypes.js'

export interface InFlightTableOptions {
  clock: Clock
  ports: Pick<ForwardPorts, 'onAttemptEnded' | 'onRequestEnded'>
}

/** The requests in flight with their attempts, from submission to result. */
export interface InFlightTable {
  readonly count: number
  all (): InFlightRequest[]
  get (requestId: string): InFlightRequest | undefined
  /** The request whose attempt is this exchange; undefined once the attempt has ended. */
  findByExchange (exchangeId: number): InFlightRequest | undefined
  /** Requests that wait for a worker. */
  readonly waiting: Set<InFlightRequest>
  add (request: ForwardRequest): InFlightRequest
  remove (inFlight: InFlightRequest, code: ResultCode, detail: string): void
  /** Begins an attempt; the request counts as possibly run until the contrary is proved. */
  beginAttempt (inFlight: InFlightRequest, worker: Worker): Attempt
  /** Ends the attempt of a request, if there is one. */
  endAttempt (inFlight: InFlightRequest, end: AttemptEnd, detail: string): void
  /** Ends an attempt that provably has not run. */
  endNotRun (inFlight: InFlightRequest, attempt: Attempt, end: AttemptEnd, detail: string): void
}

/**
 * Creates an empty table.
 *
 * @example
 * const table = createInFlightTable({ clock, ports })
 * const { exchangeId } = table.beginAttempt(table.add(request), worker)
 */
export const createInFlightTable = ({ clock, ports }: InFlightTableOptions): InFlightTable => {
  const live = new Map<string, InFlightRequest>()
  const byExchangeId = new Map<number, InFlightRequest>()
  const waiting = new Set<InFlightRequest>()
  let nextExchangeId = 1

  const endAttempt = (inFlight: InFlightRequest, end: AttemptEnd, detail: string) => {
    const { attempt } = inFlight
    if (attempt === undefined) return
    byExchangeId.delete(attempt.exchangeId)
    inFlight.attempt = undefined
    const { sentAtMs, receivedBytes, receivedParts, endedBy, answer } = attempt
    ports.onAttemptEnded(inFlight.request, attempt.worker, {
      end,
      detail,
      sentAtMs,
      receivedBytes,
      receivedParts,
      hasHead: hasSuccessHead(attempt),
      hasAnswerBegun: hasAnswerBegun(attempt),
      isStream: isStreamingResponse(attempt),
      framing: answer?.framing,
      endedBy,
      attemptNumber: inFlight.attemptCount,
      lastEventId: inFlight.position.lastId,
      silenceMs: attempt.silenceMs ?? clock.nowMs() - attempt.lastPartAtMs
    })
  }

  return {
    get count () { return live.size },
    all: () => [...live.values()],
    get: requestId => live.get(requestId),
    findByExchange: exchangeId => byExchangeId.get(exchangeId),
    waiting,
    add: request => {
      const inFlight = getDefaultInFlightRequest(request)
      live.set(request.requestId, inFlight)
      return inFlight
    },
    remove: (inFlight, code, detail) => {
      live.delete(inFlight.request.requestId)
      waiting.delete(inFlight)
      ports.onRequestEnded(inFlight.request, code, detail, code === ResultCode.Ok ? inFlight.proof : undefined)
    },
    beginAttempt: (inFlight, worker) => {
      const attempt = getDefaultAttempt(nextExchangeId++, worker, inFlight, clock.nowMs())
      inFlight.attempt = attempt
      inFlight.proof = undefined
      inFlight.mayHaveRun = true
      inFlight.attemptCount += 1
      inFlight.triedWorkerIds.push(worker.workerId)
      inFlight.queueDeadlineMs = undefined
      waiting.delete(inFlight)
      byExchangeId.set(attempt.exchangeId, inFlight)
      return attempt
    },
    endAttempt,
    endNotRun: (inFlight, { hadRunBefore }, end, detail) => {
      inFlight.mayHaveRun = hadRunBefore
      endAttempt(inFlight, end, detail)
    }
  }
}
