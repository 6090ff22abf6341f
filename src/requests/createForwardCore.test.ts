import { beforeEach, describe, expect, it } from 'vitest'
import { RepeatPolicy, type RouteConfiguration } from '../configuration/index.js'
import { createManualClock, type ManualClock, ResultCode } from '../core/index.js'
import { type Worker, WorkerState } from '../membership/index.js'
import { QUEUE_WAIT_MAX_MS } from './constants.js'
import { createForwardCore, type ForwardCore } from './createForwardCore.js'
import {
  AnswerVerdict, type ForwardEffect, ForwardEffectKind, ForwardMessageKind, type ForwardPorts, type ForwardRequest,
  type Placement, PlacementKind, type WorkerAnswer
} from './forwardTypes.js'

const TIMEOUT_MS = 2_000

const createWorker = (workerId: string): Worker => ({
  workerId, startedAtUnixMs: 1, service: 's', address: '10.0.0.1:80', zone: 'a', slots: 8, isDraining: false, state: WorkerState.Serving, missingSinceMs: undefined
})

const baseRoute: RouteConfiguration = {
  name: 'r',
  host: 'h',
  pathPrefix: '/r/',
  repeat: RepeatPolicy.Idempotent,
  isEventStream: false,
  isResumable: false,
  timeoutMs: TIMEOUT_MS,
  pauseObjectiveMs: 0,
  attemptsMax: 2,
  priority: 1,
  isPublic: false,
  backends: [{ service: 's', weight: 1 }]
}
const unsafeRoute = { ...baseRoute, repeat: RepeatPolicy.AtMostOnce, attemptsMax: 1 }
const streamRoute = { ...baseRoute, repeat: RepeatPolicy.AtMostOnce, isEventStream: true, isResumable: true }

const answerOf = (verdict: AnswerVerdict, status: number, isEventStream = false): WorkerAnswer =>
  ({ verdict, status, headers: [['server-seal', `seal-${status}`]], isEventStream })

describe('life of a forwarded request', () => {
  let clock: ManualClock
  let core: ForwardCore
  let hasPlace: boolean
  let hasBudget: boolean
  let waitCode: ResultCode

  beforeEach(() => {
    clock = createManualClock(0)
    hasPlace = true
    hasBudget = true
    waitCode = ResultCode.Overloaded
    const ports: ForwardPorts = {
      place: (_request, tried): Placement =>
        hasPlace ? { kind: PlacementKind.Placed, worker: createWorker(`w${tried.length + 1}`) } : { kind: PlacementKind.Wait, code: waitCode },
      takeRepeat: () => hasBudget,
      onSent: () => {},
      onAttemptEnded: () => {},
      onPause: () => {},
      onRequestEnded: () => {},
      retryAfterMs: () => 700
    }
    core = createForwardCore({ clock, ports })
  })

  const submit = (route: RouteConfiguration, overrides: Partial<ForwardRequest> = {}): ForwardEffect[] => core.handle({
    kind: ForwardMessageKind.Submitted,
    request: {
      requestId: 'q1',
      callerAttemptId: 'c1',
      route,
      service: 's',
      tenant: 't',
      priority: 1,
      arrivedAtMs: clock.nowMs(),
      deadlineAtMs: clock.nowMs() + TIMEOUT_MS,
      method: 'POST',
      path: '/r/x',
      headers: [],
      body: Buffer.from('body'),
      lastEventId: undefined,
      ...overrides
    }
  })
  const start = (exchangeId: number, answer: WorkerAnswer) => core.handle({ kind: ForwardMessageKind.AnswerStarted, exchangeId, answer })
  const bytes = (exchangeId: number, text: string) => core.handle({ kind: ForwardMessageKind.AnswerBytes, exchangeId, bytes: Buffer.from(text) })
  const finish = (exchangeId: number) => core.handle({ kind: ForwardMessageKind.AnswerFinished, exchangeId })
  const lose = (exchangeId: number, hasLeft: boolean) =>
    core.handle({ kind: ForwardMessageKind.ExchangeFailed, exchangeId, hasLeft, reason: 'test' })
  const kinds = (effects: readonly ForwardEffect[]) => effects.map(({ kind }) => kind)
  const refusal = (effects: readonly ForwardEffect[]) => effects.find(effect => effect.kind === ForwardEffectKind.Refuse)
  const sentTo = (effects: readonly ForwardEffect[]) =>
    effects.flatMap(effect => effect.kind === ForwardEffectKind.SendToWorker ? [effect.worker.workerId] : [])
  const bodyOf = (effects: readonly ForwardEffect[]) =>
    effects.flatMap(effect => effect.kind === ForwardEffectKind.SendBody ? [Buffer.from(effect.bytes).toString()] : []).join('')

  describe('at most once', () => {
    // Guards against a doubled order after a reset of a connection on which the request was written.
    it('does not repeat an unsafe request that may have run, and does not call it refused', () => {
      submit(unsafeRoute)
      const effects = lose(1, true)
      expect(sentTo(effects)).toEqual([])
      expect(refusal(effects)).toMatchObject({ code: ResultCode.UpstreamDied, retryAfterMs: undefined })
    })

    it('repeats an unsafe request that never left this process', () => {
      submit(unsafeRoute)
      expect(sentTo(lose(1, false))).toEqual(['w2'])
    })

    it('repeats an unsafe request that the worker states not to have run', () => {
      submit(unsafeRoute)
      start(1, answerOf(AnswerVerdict.NotRun, 503))
      expect(sentTo(finish(1))).toEqual(['w2'])
    })

    // Guards against a promise of "not run" for a request whose first send was lost.
    it('never promises not to have run after an earlier send was lost', () => {
      submit(baseRoute)
      lose(1, true)
      start(2, answerOf(AnswerVerdict.NotRun, 503))
      expect(refusal(finish(2))).toMatchObject({ code: ResultCode.UpstreamDied })
    })

    it('takes the refusal from the head even if its body is cut', () => {
      submit(unsafeRoute)
      start(1, answerOf(AnswerVerdict.NotRun, 503))
      expect(sentTo(lose(1, true))).toEqual(['w2'])
    })

    it('sends unsafe requests on fresh connections only', () => {
      expect(submit(unsafeRoute)).toMatchObject([{ needsFreshConnection: true }])
      expect(submit(baseRoute, { requestId: 'q2' })).toMatchObject([{ needsFreshConnection: false }])
    })
  })

  describe('whose bytes', () => {
    // Guards against an answer of another request, which a worker may send late on a kept connection.
    it('drops an answer that is not its own and ends the exchange', () => {
      submit(baseRoute)
      const effects = start(1, answerOf(AnswerVerdict.Foreign, 200))
      expect(kinds(effects)).toEqual([ForwardEffectKind.CancelExchange, ForwardEffectKind.SendToWorker])
    })

    it('passes on a plain answer only once it is whole', () => {
      submit(baseRoute)
      start(1, answerOf(AnswerVerdict.Success, 200))
      expect(bytes(1, 'half')).toEqual([])
      expect(sentTo(lose(1, true))).toEqual(['w2'])
    })

    it('passes on the failure of a worker with its status and seal if it cannot be repeated', () => {
      submit(unsafeRoute)
      start(1, answerOf(AnswerVerdict.Failure, 500))
      bytes(1, 'oops')
      expect(finish(1)[0]).toMatchObject({ status: 500, headers: [['server-seal', 'seal-500']], bodyBytes: 4 })
    })

    it('repeats a failed safe request at another worker, within its attempts', () => {
      submit(baseRoute)
      start(1, answerOf(AnswerVerdict.Failure, 500))
      expect(sentTo(finish(1))).toEqual(['w2'])
      start(2, answerOf(AnswerVerdict.Failure, 500))
      expect(finish(2)[0]).toMatchObject({ status: 500 })
    })

    it('delivers the failure that it has when the budget for repeats is used up', () => {
      hasBudget = false
      submit(baseRoute)
      start(1, answerOf(AnswerVerdict.Failure, 500))
      expect(finish(1)[0]).toMatchObject({ status: 500 })
    })
  })

  describe('streams', () => {
    const startStream = (exchangeId: number) => start(exchangeId, answerOf(AnswerVerdict.Success, 200, true))

    it('passes whole events only and resumes after the last one, with the first head', () => {
      submit(streamRoute)
      startStream(1)
      const first = bytes(1, 'id: 1\ndata: a\n\nid: 2\nda')
      expect(bodyOf(first)).toBe('id: 1\ndata: a\n\n')
      const resumed = lose(1, true)
      expect(resumed).toMatchObject([{ kind: ForwardEffectKind.SendToWorker, lastEventId: '1' }])
      startStream(2)
      const second = bytes(2, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n')
      expect(kinds(second)).toEqual([ForwardEffectKind.SendBody])
      expect(bodyOf(second)).toBe('id: 2\ndata: b\n\n')
      expect(kinds(finish(2))).toEqual([ForwardEffectKind.Complete])
    })

    // Guards against a cut stream that looks complete.
    it('breaks the connection of the caller if the stream cannot go on', () => {
      submit({ ...streamRoute, isResumable: false })
      startStream(1)
      bytes(1, 'id: 1\ndata: a\n\n')
      expect(kinds(lose(1, true))).toEqual([ForwardEffectKind.Break])
    })

    it('does not resume beyond the attempts of its route', () => {
      submit(streamRoute)
      startStream(1)
      bytes(1, 'id: 1\ndata: a\n\n')
      lose(1, true)
      startStream(2)
      expect(kinds(lose(2, true))).toEqual([ForwardEffectKind.Break])
    })
  })

  describe('time', () => {
    it('recomputes the time left at each send', () => {
      expect(submit(baseRoute)).toMatchObject([{ remainingMs: TIMEOUT_MS }])
      clock.advance(400)
      expect(lose(1, true)).toMatchObject([{ remainingMs: TIMEOUT_MS - 400 }])
    })

    // Guards against a refusal that blames load where no worker serves at all.
    it('is refused with what it lacked when it waits in vain', () => {
      hasPlace = false
      waitCode = ResultCode.NoUpstream
      submit(baseRoute)
      clock.advance(QUEUE_WAIT_MAX_MS)
      expect(refusal(core.handle({ kind: ForwardMessageKind.Tick }))).toMatchObject({ code: ResultCode.NoUpstream })
    })

    it('answers at the deadline: not run if it never left, unknown if it did', () => {
      submit(baseRoute)
      hasPlace = false
      submit(baseRoute, { requestId: 'q2', deadlineAtMs: QUEUE_WAIT_MAX_MS / 2 })
      clock.advance(QUEUE_WAIT_MAX_MS / 2)
      expect(core.handle({ kind: ForwardMessageKind.Tick })).toMatchObject([{ requestId: 'q2', code: ResultCode.DeadlineUnreachable }])
      clock.advance(TIMEOUT_MS)
      expect(core.handle({ kind: ForwardMessageKind.Tick })).toMatchObject([
        { kind: ForwardEffectKind.CancelExchange, exchangeId: 1 },
        { kind: ForwardEffectKind.Refuse, requestId: 'q1', code: ResultCode.DeadlineExceeded, retryAfterMs: undefined }
      ])
    })

    it('refuses early, with a time to come back, what finds no place', () => {
      hasPlace = false
      submit(baseRoute)
      clock.advance(QUEUE_WAIT_MAX_MS)
      expect(core.handle({ kind: ForwardMessageKind.Tick })).toMatchObject([{ code: ResultCode.Overloaded, retryAfterMs: 700 }])
    })

    it('places waiting requests by urgency, then by deadline', () => {
      hasPlace = false
      submit(baseRoute, { requestId: 'late', deadlineAtMs: TIMEOUT_MS })
      submit(baseRoute, { requestId: 'early', deadlineAtMs: TIMEOUT_MS / 2 })
      submit(baseRoute, { requestId: 'urgent', priority: 0 })
      hasPlace = true
      const sent = core.handle({ kind: ForwardMessageKind.PlaceFreed })
      expect(sent.map(effect => effect.kind === ForwardEffectKind.SendToWorker && effect.request.requestId)).toEqual(['urgent', 'early', 'late'])
    })
  })

  // Guards against work that goes on for a caller that has left.
  it('cancels the work of a caller that is gone, also while it waits', () => {
    submit(baseRoute)
    expect(core.handle({ kind: ForwardMessageKind.CallerGone, requestId: 'q1' })).toEqual([
      { kind: ForwardEffectKind.CancelExchange, exchangeId: 1 }
    ])
    hasPlace = false
    submit(baseRoute, { requestId: 'q2' })
    core.handle({ kind: ForwardMessageKind.CallerGone, requestId: 'q2' })
    hasPlace = true
    expect(core.handle({ kind: ForwardMessageKind.PlaceFreed })).toEqual([])
    expect(core.liveCount).toBe(0)
  })
})
