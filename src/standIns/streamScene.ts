import { RepeatPolicy, type RouteConfiguration } from '../configuration/index.js'
import { createManualClock, ResultCode } from '../core/index.js'
import { type Worker, WorkerState } from '../membership/index.js'
import {
  type AttemptEnd, createForwardCore, FORWARD_TICK_MS, type ForwardEffect, ForwardEffectKind, type ForwardMessage, ForwardMessageKind, PlacementKind, ResponseFraming, ResponseVerdict, type WorkerResponse
} from '../requests/index.js'
import { ExchangeFault, UpstreamCheck } from '../upstreams/index.js'

/** How a response ended for its caller. */
export enum CallerEnd {
  Open = 'open',
  Complete = 'complete',
  /** Without the last chunk. */
  Broken = 'broken',
  Refused = 'refused'
}

/** What the caller of the stream has seen. */
export interface SceneCaller { body: string, headCount: number, end: CallerEnd, endedAtMs: number | undefined }

/** One step of a worker's answer: a message, or the milliseconds that pass. */
export type Step = (exchangeId: number) => ForwardMessage | number

export interface StreamSceneOptions {
  attemptsMax?: number
  isResumable?: boolean
  timeoutMs?: number
  /** Sent by the caller, which resumes the stream itself. */
  lastEventId?: string
  /** Result of every check of a worker; undefined if checks do not end. */
  check?: UpstreamCheck | undefined
  hasRetryBudget?: boolean
  /** Whether the process stops, and repeats no request whose response has not begun. */
  isStopping?: boolean
  /** Whether a worker has a place for a resumption at this time. */
  hasPlace?: (nowMs: number) => boolean
}

/** One stream through the forward core under the virtual clock, with its caller and its workers. */
export interface StreamScene {
  readonly caller: SceneCaller
  /** The attempts so far. */
  readonly sends: readonly { exchangeId: number, workerId: string, lastEventId: string | undefined }[]
  /** How the attempts ended for the other slices, which avoid workers that lose requests. */
  readonly attemptEnds: readonly AttemptEnd[]
  /** The checks that were started so far. */
  readonly checkCount: number
  readonly takenRetries: number
  post (message: ForwardMessage): void
  /** Ends the checks that have not ended yet, or the first of them. */
  finishChecks (check: UpstreamCheck, count?: number): void
  passTime (ms: number): void
  /** Answers the sends so far, and those that follow from the answers; the last answer is also that of all further sends. */
  play (...answers: Step[][]): SceneCaller
  /** Plays the answers, and lets time pass until the response has ended; a stream that waits may be sent meanwhile. */
  playToEnd (...answers: Step[][]): SceneCaller
}

const TIMEOUT_MS = 10_000
/** Work that depends on a lost worker stalls for this long before it is cut off. */
export const STALL_MS = 1_500

const createWorker = (workerId: string): Worker => ({
  workerId, startedAtUnixMs: 1, service: 's', address: '10.0.0.1:80', zone: 'a', slots: 8, isDraining: false, heartbeat: 1, storePosition: { era: 1, offset: 1 }, state: WorkerState.Serving, missingSinceMs: undefined
})

/** The first worker of every stream. */
export const firstWorker = createWorker('w1')

export const event = (id: number | string) => `id: ${id}\ndata: e${id}\n\n`

/** Steps of an answer. */
export const respond = (overrides: Partial<WorkerResponse> = {}): Step => exchangeId => ({
  kind: ForwardMessageKind.ResponseStarted,
  exchangeId,
  answer: {
    verdict: ResponseVerdict.Success, status: 200, isPromiseNotRun: false, headers: [], isEventStream: true, framing: ResponseFraming.Chunks, notice: undefined, ...overrides
  }
})
export const framedHead = respond()
export const unframedHead = respond({ framing: ResponseFraming.None })
export const refuse = respond({ verdict: ResponseVerdict.NotRun, status: 503, isPromiseNotRun: true, isEventStream: false })
export const respondWithStatus = (status: number) => respond({ verdict: ResponseVerdict.Failure, status, isEventStream: false })
export const text = (body: string): Step => exchangeId => ({ kind: ForwardMessageKind.ResponseBytes, exchangeId, bytes: Buffer.from(body) })
export const events = (...ids: (number | string)[]): Step => text(ids.map(event).join(''))
export const framedEnd: Step = exchangeId => ({ kind: ForwardMessageKind.ResponseFinished, exchangeId })
export const unframedEnd: Step = exchangeId => ({ kind: ForwardMessageKind.ExchangeFailed, exchangeId, hasLeft: true, reason: 'unframed-end', fault: ExchangeFault.UnframedEnd })
export const reset: Step = exchangeId => ({ kind: ForwardMessageKind.ExchangeFailed, exchangeId, hasLeft: true, reason: 'connection-lost', fault: ExchangeFault.ConnectionLost })
export const readingResumed: Step = exchangeId => ({ kind: ForwardMessageKind.ReadingResumed, exchangeId })
export const pause = (ms: number): Step => () => ms

/**
 * Opens the stream; its request is sent to the first worker at once.
 *
 * @example
 * openStreamScene({ attemptsMax: 2 }).playToEnd([framedHead, events(1), reset], [framedHead, events(2), framedEnd]).body
 */
export const openStreamScene = (options: StreamSceneOptions = {}): StreamScene => {
  const { attemptsMax = 3, isResumable = true, timeoutMs = TIMEOUT_MS, lastEventId, hasRetryBudget = true, isStopping = false, hasPlace = () => true } = options
  const check = 'check' in options ? options.check : UpstreamCheck.Up
  const clock = createManualClock(0)
  const caller: SceneCaller = { body: '', headCount: 0, end: CallerEnd.Open, endedAtMs: undefined }
  const sends: { exchangeId: number, workerId: string, lastEventId: string | undefined }[] = []
  const attemptEnds: AttemptEnd[] = []
  const openChecks: Extract<ForwardEffect, { kind: ForwardEffectKind.CheckWorker }>[] = []
  let checkCount = 0
  let takenRetries = 0
  const route: RouteConfiguration = {
    name: 'r', host: 'h', pathPrefix: '/r/', repeat: RepeatPolicy.AtMostOnce, isEventStream: true, isResumable, timeoutMs, eventGapTargetMs: 0, attemptsMax, priority: 1, isPublic: false, backends: [{ service: 's', weight: 1 }]
  }
  const core = createForwardCore({
    stallMs: () => STALL_MS,
    clock,
    ports: {
      place: (_request, tried) => tried.length === 0 || hasPlace(clock.nowMs())
        ? { kind: PlacementKind.Placed, worker: createWorker(`w${tried.length + 1}`) }
        : { kind: PlacementKind.Wait, code: ResultCode.Overloaded },
      mayRetry: () => !isStopping,
      takeRetry: () => {
        takenRetries += 1
        return hasRetryBudget
      },
      onSent: () => {},
      onWorkerNotice: () => {},
      onWorkerChecked: () => {},
      onAttemptEnded: (_request, _worker, outcome) => { attemptEnds.push(outcome.end) },
      onEventGap: () => {},
      onRequestEnded: () => {},
      retryAfterMs: () => 700
    }
  })

  const requireOpen = () => { if (caller.end !== CallerEnd.Open) throw new Error(`the response has already ended: ${caller.end}`) }
  const end = (kind: CallerEnd) => {
    requireOpen()
    caller.end = kind
    caller.endedAtMs = clock.nowMs()
  }

  const perform = (effect: ForwardEffect) => {
    if (effect.kind === ForwardEffectKind.SendToWorker) sends.push({ exchangeId: effect.exchangeId, workerId: effect.worker.workerId, lastEventId: effect.lastEventId })
    if (effect.kind === ForwardEffectKind.CheckWorker) {
      checkCount += 1
      openChecks.push(effect)
      if (check !== undefined) finishChecks(check)
    }
    if (effect.kind === ForwardEffectKind.SendHead) {
      requireOpen()
      caller.headCount += 1
    }
    if (effect.kind === ForwardEffectKind.SendBody) {
      requireOpen()
      caller.body += Buffer.from(effect.bytes).toString()
    }
    if (effect.kind === ForwardEffectKind.Complete) end(CallerEnd.Complete)
    if (effect.kind === ForwardEffectKind.AbortConnection) end(CallerEnd.Broken)
    if (effect.kind === ForwardEffectKind.Refuse) end(CallerEnd.Refused)
  }

  const post = (message: ForwardMessage) => core.handle(message).forEach(perform)

  /** The result of a check has all fields of the effect that asked for it. */
  const finishChecks = (result: UpstreamCheck, count = openChecks.length) => {
    for (const effect of openChecks.splice(0, count)) post({ ...effect, kind: ForwardMessageKind.WorkerChecked, check: result })
  }

  const passTime = (ms: number) => {
    for (let passedMs = 0; passedMs < ms; passedMs += FORWARD_TICK_MS) {
      clock.advance(Math.min(FORWARD_TICK_MS, ms - passedMs))
      post({ kind: ForwardMessageKind.Tick })
      post({ kind: ForwardMessageKind.CapacityFreed })
    }
  }

  let playedCount = 0
  const playNext = (answers: Step[][]) => {
    const at = playedCount++
    for (const step of answers[Math.min(at, answers.length - 1)] ?? []) {
      const result = step(sends[at]!.exchangeId)
      if (typeof result === 'number') passTime(result)
      else post(result)
    }
  }

  const play = (...answers: Step[][]) => {
    while (playedCount < sends.length) playNext(answers)
    return caller
  }

  const playToEnd = (...answers: Step[][]) => {
    play(...answers)
    while (caller.end === CallerEnd.Open && clock.nowMs() <= timeoutMs) {
      passTime(FORWARD_TICK_MS)
      play(...answers)
    }
    return caller
  }

  post({
    kind: ForwardMessageKind.Submitted,
    request: {
      requestId: 'q1', callerAttemptId: 'c1', route, service: 's', tenant: 't', priority: 1, arrivedAtMs: 0, deadlineAtMs: timeoutMs, method: 'POST', path: '/r/x', headers: [], body: Buffer.from('p'), lastEventId, model: undefined, promptParts: []
    }
  })
  return {
    caller,
    sends,
    attemptEnds,
    get checkCount () { return checkCount },
    get takenRetries () { return takenRetries },
    post,
    finishChecks,
    passTime,
    play,
    playToEnd
  }
}
