import { type Clock, type Core, describeResult, dispatch, type HandlerTable, Outcome, ResultCode } from '../core/index.js'
import type { Worker } from '../membership/index.js'
import { FORWARDS_MAX, QUEUE_WAIT_MAX_MS, REPEAT_TIME_MIN_MS } from './constants.js'
import type { StreamEvent } from './createEventSplitter.js'
import { type Attempt, byUrgency, getDefaultAttempt, getDefaultForward, isRepeatable, isStream, type LiveForward } from './forwardState.js'
import {
  AnswerVerdict, AttemptEnd, type ForwardEffect, ForwardEffectKind, type ForwardMessage, ForwardMessageKind, type ForwardPorts,
  type ForwardRequest, PlacementKind, type WorkerAnswer
} from './forwardTypes.js'

export interface ForwardCore extends Core<ForwardMessage, ForwardEffect> {
  readonly liveCount: number
  readonly waitingCount: number
}

export interface ForwardCoreOptions {
  clock: Clock
  ports: ForwardPorts
}

/**
 * Decides for requests that go straight to workers: place, repeat, resume, deadline, and the one
 * result that the caller gets. A request that must not be repeated is sent again only with proof
 * that the earlier send has not run.
 *
 * @example
 * const core = createForwardCore({ clock, ports })
 * core.handle({ kind: ForwardMessageKind.Submitted, request }) // [{ kind: SendToWorker, ... }]
 */
export const createForwardCore = ({ clock, ports }: ForwardCoreOptions): ForwardCore => {
  const live = new Map<string, LiveForward>()
  const byExchange = new Map<number, LiveForward>()
  const waiting = new Set<LiveForward>()
  let nextExchangeId = 1

  const forget = (forward: LiveForward, code: ResultCode, detail: string) => {
    live.delete(forward.request.requestId)
    waiting.delete(forward)
    ports.onRequestEnded(forward.request, code, detail)
  }

  const endAttempt = (forward: LiveForward, end: AttemptEnd, detail: string) => {
    const { attempt } = forward
    if (attempt === undefined) return
    byExchange.delete(attempt.exchangeId)
    forward.attempt = undefined
    ports.onAttemptEnded(forward.request, attempt.worker, end, detail)
  }

  const cancelAttempt = (forward: LiveForward, detail: string): ForwardEffect[] => {
    const exchangeId = forward.attempt?.exchangeId
    endAttempt(forward, AttemptEnd.Cancelled, detail)
    return exchangeId === undefined ? [] : [{ kind: ForwardEffectKind.CancelExchange, exchangeId }]
  }

  /** Ends a request without an answer of a worker. */
  const fail = (forward: LiveForward, code: ResultCode, detail: string): ForwardEffect[] => {
    const { request: { requestId }, isHeadSent, mayHaveRun } = forward
    const claimsNotRun = describeResult(code).outcome === Outcome.NotRun
    const finalCode = claimsNotRun && mayHaveRun ? ResultCode.UpstreamDied : code
    forget(forward, finalCode, detail)
    if (isHeadSent) return [{ kind: ForwardEffectKind.Break, requestId }]
    const isRetryable = describeResult(finalCode).outcome === Outcome.NotRun && describeResult(finalCode).retryable
    const retryAfterMs = isRetryable ? ports.retryAfterMs(forward.request) : undefined
    return [{ kind: ForwardEffectKind.Refuse, requestId, code: finalCode, retryAfterMs }]
  }

  const send = (forward: LiveForward, worker: Worker): ForwardEffect[] => {
    const { request } = forward
    const nowMs = clock.nowMs()
    const exchangeId = nextExchangeId++
    forward.attempt = getDefaultAttempt(exchangeId, worker, nowMs)
    forward.attemptCount += 1
    forward.triedWorkerIds.push(worker.workerId)
    forward.waitsUntilMs = undefined
    waiting.delete(forward)
    byExchange.set(exchangeId, forward)
    ports.onSent(request, worker, forward.attemptCount)
    return [{
      kind: ForwardEffectKind.SendToWorker,
      exchangeId,
      worker,
      request,
      remainingMs: Math.max(1, Math.floor(request.deadlineAtMs - nowMs)),
      lastEventId: forward.lastEventId,
      needsFreshConnection: !isRepeatable(request)
    }]
  }

  const place = (forward: LiveForward): ForwardEffect[] => {
    const placement = ports.place(forward.request, forward.triedWorkerIds)
    if (placement.kind === PlacementKind.Placed) return send(forward, placement.worker)
    if (placement.kind === PlacementKind.Refused) return fail(forward, placement.code, 'it must reach no worker')
    forward.waitCode = placement.code
    forward.waitsUntilMs ??= Math.min(clock.nowMs() + QUEUE_WAIT_MAX_MS, forward.request.deadlineAtMs)
    waiting.add(forward)
    return []
  }

  const onSubmitted = (request: ForwardRequest): ForwardEffect[] => {
    const forward = getDefaultForward(request)
    live.set(request.requestId, forward)
    if (live.size > FORWARDS_MAX) return fail(forward, ResultCode.Overloaded, 'too many requests at this process')
    return place(forward)
  }

  /** Sends the request again if its route, its deadline and the budget allow it; otherwise it ends with the code. */
  const repeatOrFail = (forward: LiveForward, code: ResultCode, detail: string): ForwardEffect[] => {
    const { request, attemptCount, mayHaveRun } = forward
    const isAllowed = !mayHaveRun || isRepeatable(request)
    const hasTime = request.deadlineAtMs - clock.nowMs() > REPEAT_TIME_MIN_MS
    const hasAttempts = attemptCount < Math.max(request.route.attemptsMax, mayHaveRun ? 1 : 2)
    if (!isAllowed || !hasTime || !hasAttempts) return fail(forward, code, detail)
    if (!ports.takeRepeat(request.service)) return fail(forward, mayHaveRun ? code : ResultCode.RetryBudgetExhausted, detail)
    return place(forward)
  }

  const lose = (forward: LiveForward, detail: string): ForwardEffect[] => {
    forward.mayHaveRun = true
    endAttempt(forward, AttemptEnd.Lost, detail)
    return repeatOrFail(forward, ResultCode.UpstreamDied, detail)
  }

  const onAnswerStarted = (forward: LiveForward, attempt: Attempt, answer: WorkerAnswer): ForwardEffect[] => {
    if (answer.verdict === AnswerVerdict.Foreign) {
      const { exchangeId } = attempt
      return [{ kind: ForwardEffectKind.CancelExchange, exchangeId }, ...lose(forward, `answer of status ${answer.status} is not its own`)]
    }
    attempt.answer = answer
    return []
  }

  const passEvents = (forward: LiveForward, attempt: Attempt, events: readonly StreamEvent[]): ForwardEffect[] => {
    const { request } = forward
    const { requestId } = request
    const effects: ForwardEffect[] = []
    for (const { id, bytes } of events) {
      const nowMs = clock.nowMs()
      ports.onPause(request, attempt.worker, nowMs - attempt.lastEventAtMs, !attempt.hasEvents)
      attempt.lastEventAtMs = nowMs
      attempt.hasEvents = true
      // A run that was resumed too early repeats events that the caller has.
      if (id !== undefined && forward.lastEventId !== undefined && Number(id) <= Number(forward.lastEventId)) continue
      if (!forward.isHeadSent) effects.push(sendStreamHead(forward, attempt.answer!))
      if (id !== undefined) forward.lastEventId = id
      effects.push({ kind: ForwardEffectKind.SendBody, requestId, bytes })
    }
    return effects
  }

  const sendStreamHead = (forward: LiveForward, { status, headers }: WorkerAnswer): ForwardEffect => {
    forward.isHeadSent = true
    return { kind: ForwardEffectKind.SendHead, requestId: forward.request.requestId, status, headers, bodyBytes: undefined }
  }

  const onAnswerBytes = (forward: LiveForward, attempt: Attempt, bytes: Uint8Array): ForwardEffect[] => {
    if (isStream(attempt)) return passEvents(forward, attempt, attempt.splitter.push(bytes))
    attempt.held.push(bytes)
    return []
  }

  const finishStream = (forward: LiveForward, attempt: Attempt): ForwardEffect[] => {
    const { requestId } = forward.request
    const effects: ForwardEffect[] = forward.isHeadSent ? [] : [sendStreamHead(forward, attempt.answer!)]
    if (attempt.splitter.rest.length > 0) effects.push({ kind: ForwardEffectKind.SendBody, requestId, bytes: attempt.splitter.rest })
    endAttempt(forward, AttemptEnd.Answered, 'stream ended')
    forget(forward, ResultCode.Ok, 'stream ended')
    return [...effects, { kind: ForwardEffectKind.Complete, requestId }]
  }

  const deliver = (forward: LiveForward, { status, headers }: WorkerAnswer, held: readonly Uint8Array[]): ForwardEffect[] => {
    const { requestId } = forward.request
    const bytes = Buffer.concat(held)
    forget(forward, ResultCode.Ok, `status ${status}`)
    return [
      { kind: ForwardEffectKind.SendHead, requestId, status, headers, bodyBytes: bytes.length },
      ...(bytes.length > 0 ? [{ kind: ForwardEffectKind.SendBody, requestId, bytes } as const] : []),
      { kind: ForwardEffectKind.Complete, requestId }
    ]
  }

  const canRepeatFailure = ({ request, attemptCount, isHeadSent }: LiveForward) =>
    !isHeadSent && isRepeatable(request) && attemptCount < request.route.attemptsMax &&
    request.deadlineAtMs - clock.nowMs() > REPEAT_TIME_MIN_MS && ports.takeRepeat(request.service)

  const onFailureAnswered = (forward: LiveForward, attempt: Attempt, answer: WorkerAnswer): ForwardEffect[] => {
    endAttempt(forward, AttemptEnd.Failed, `status ${answer.status}`)
    forward.mayHaveRun = true
    if (forward.isHeadSent) return fail(forward, ResultCode.UpstreamRefused, `status ${answer.status} to a resumed stream`)
    if (canRepeatFailure(forward)) {
      const placement = ports.place(forward.request, forward.triedWorkerIds)
      if (placement.kind === PlacementKind.Placed) return send(forward, placement.worker)
    }
    return deliver(forward, answer, attempt.held)
  }

  const finishByVerdict: Record<AnswerVerdict, (forward: LiveForward, attempt: Attempt, answer: WorkerAnswer) => ForwardEffect[]> = {
    [AnswerVerdict.NotRun]: (forward, _attempt, { status }) => {
      endAttempt(forward, AttemptEnd.NotRun, `status ${status}`)
      return repeatOrFail(forward, ResultCode.Overloaded, `worker refused with status ${status}`)
    },
    [AnswerVerdict.Foreign]: forward => lose(forward, 'answer is not its own'),
    [AnswerVerdict.Failure]: onFailureAnswered,
    [AnswerVerdict.Success]: (forward, attempt, answer) => {
      if (answer.isEventStream) return finishStream(forward, attempt)
      endAttempt(forward, AttemptEnd.Answered, `status ${answer.status}`)
      return deliver(forward, answer, attempt.held)
    }
  }

  const onAnswerFinished = (forward: LiveForward, attempt: Attempt): ForwardEffect[] => {
    const { answer } = attempt
    return answer === undefined ? lose(forward, 'response without a head') : finishByVerdict[answer.verdict](forward, attempt, answer)
  }

  const onExchangeFailed = (forward: LiveForward, attempt: Attempt, hasLeft: boolean, reason: string): ForwardEffect[] => {
    // The refusal stands in the head, whatever became of its body.
    if (attempt.answer?.verdict === AnswerVerdict.NotRun) return finishByVerdict[AnswerVerdict.NotRun](forward, attempt, attempt.answer)
    if (hasLeft) return lose(forward, reason)
    endAttempt(forward, AttemptEnd.NotConnected, reason)
    return repeatOrFail(forward, ResultCode.NoUpstream, reason)
  }

  const onCallerGone = (requestId: string): ForwardEffect[] => {
    const forward = live.get(requestId)
    if (forward === undefined) return []
    const effects = cancelAttempt(forward, 'caller gone')
    forget(forward, ResultCode.CallerGone, 'caller gone')
    return effects
  }

  const placeWaiting = (): ForwardEffect[] => {
    const effects: ForwardEffect[] = []
    for (const forward of [...waiting].sort(byUrgency)) {
      waiting.delete(forward)
      effects.push(...place(forward))
    }
    return effects
  }

  const expire = (forward: LiveForward): ForwardEffect[] => {
    const nowMs = clock.nowMs()
    if (nowMs >= forward.request.deadlineAtMs) {
      forward.mayHaveRun ||= forward.attempt !== undefined
      const effects = cancelAttempt(forward, 'deadline')
      const code = forward.mayHaveRun ? ResultCode.DeadlineExceeded : ResultCode.DeadlineUnreachable
      return [...effects, ...fail(forward, code, 'deadline passed')]
    }
    const isOverdue = forward.waitsUntilMs !== undefined && nowMs >= forward.waitsUntilMs
    return isOverdue ? fail(forward, forward.waitCode, 'no place in time') : []
  }

  const withAttempt = <Message extends { exchangeId: number }>(
    handle: (forward: LiveForward, attempt: Attempt, message: Message) => ForwardEffect[]
  ) => (message: Message): ForwardEffect[] => {
      const forward = byExchange.get(message.exchangeId)
      return forward?.attempt === undefined ? [] : handle(forward, forward.attempt, message)
    }

  const handlers: HandlerTable<ForwardMessage, ForwardEffect[]> = {
    [ForwardMessageKind.Submitted]: ({ request }) => onSubmitted(request),
    [ForwardMessageKind.AnswerStarted]: withAttempt((forward, attempt, { answer }) => onAnswerStarted(forward, attempt, answer)),
    [ForwardMessageKind.AnswerBytes]: withAttempt((forward, attempt, { bytes }) => onAnswerBytes(forward, attempt, bytes)),
    [ForwardMessageKind.AnswerFinished]: withAttempt(onAnswerFinished),
    [ForwardMessageKind.ExchangeFailed]: withAttempt((forward, attempt, { hasLeft, reason }) =>
      onExchangeFailed(forward, attempt, hasLeft, reason)),
    [ForwardMessageKind.CallerGone]: ({ requestId }) => onCallerGone(requestId),
    [ForwardMessageKind.PlaceFreed]: placeWaiting,
    [ForwardMessageKind.Tick]: () => [...live.values()].flatMap(expire)
  }

  return {
    handle: message => dispatch(handlers, message),
    get liveCount () { return live.size },
    get waitingCount () { return waiting.size }
  }
}
