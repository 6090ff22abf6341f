import { beforeEach, describe, expect, it } from 'vitest'
import { RepeatPolicy, type RouteConfiguration } from '../configuration/index.js'
import { createManualClock, type ManualClock, ResultCode } from '../core/index.js'
import { type Worker, WorkerState } from '../membership/index.js'
import { ExchangeFault, UpstreamCheck } from '../upstreams/index.js'
import { EVENT_BYTES_MAX, HELD_RESPONSE_BYTES_MAX, QUEUE_WAIT_MAX_MS } from './constants.js'
import { createForwardCore, type ForwardCore } from './createForwardCore.js'
import {
  BodyFramingKind, ResponseVerdict, type ForwardEffect, ForwardEffectKind, type ForwardMessage, ForwardMessageKind, type ForwardPorts, type ForwardRequest,
  type Placement, PlacementKind, WorkerCheckScope, type WorkerResponse
} from './forwardTypes.js'
import { ResponseFraming } from './responseEnds.js'

const TIMEOUT_MS = 2_000

const createWorker = (workerId: string): Worker => ({
  workerId, startedAtUnixMs: 1, service: 's', address: '10.0.0.1:80', zone: 'a', slots: 8, isDraining: false, heartbeat: 1, storePosition: { era: 1, offset: 1 }, state: WorkerState.Serving, missingSinceMs: undefined
})

const idempotentRoute: RouteConfiguration = {
  name: 'r',
  host: 'h',
  pathPrefix: '/r/',
  repeat: RepeatPolicy.Idempotent,
  isEventStream: false,
  isResumable: false,
  timeoutMs: TIMEOUT_MS,
  eventGapTargetMs: 0,
  attemptsMax: 2,
  priority: 1,
  isPublic: false,
  backends: [{ service: 's', weight: 1 }]
}
const atMostOnceRoute = { ...idempotentRoute, repeat: RepeatPolicy.AtMostOnce, attemptsMax: 1 }
const streamRoute = { ...idempotentRoute, repeat: RepeatPolicy.AtMostOnce, isEventStream: true, isResumable: true }

const createResponse = (verdict: ResponseVerdict, status: number, isEventStream = false): WorkerResponse =>
  ({ verdict, status, isPromiseNotRun: status === 503, headers: [['server-seal', `seal-${status}`]], isEventStream, framing: ResponseFraming.Length, notice: undefined })

describe('createForwardCore', () => {
  let clock: ManualClock
  let core: ForwardCore
  let hasFreeWorker: boolean
  let hasRetryBudget: boolean
  let waitCode: ResultCode
  /** Set while no worker may be sent a request for this time. */
  let refusedForMs: number | undefined
  let checkedWorkers: [workerId: string, check: UpstreamCheck][]

  beforeEach(() => {
    clock = createManualClock(0)
    hasFreeWorker = true
    hasRetryBudget = true
    waitCode = ResultCode.Overloaded
    refusedForMs = undefined
    checkedWorkers = []
    const ports: ForwardPorts = {
      place: (_request, tried): Placement => {
        if (refusedForMs !== undefined) return { kind: PlacementKind.Refused, code: ResultCode.Overloaded, retryAfterMs: refusedForMs }
        return hasFreeWorker ? { kind: PlacementKind.Placed, worker: createWorker(`w${tried.length + 1}`) } : { kind: PlacementKind.Wait, code: waitCode }
      },
      mayRetry: () => true,
      takeRetry: () => hasRetryBudget,
      onSent: () => {},
      onWorkerNotice: () => {},
      onWorkerChecked: ({ workerId }, check) => { checkedWorkers.push([workerId, check]) },
      onAttemptEnded: () => {},
      onEventGap: () => {},
      onRequestEnded: () => {},
      retryAfterMs: () => 700
    }
    core = createForwardCore({ clock, ports })
  })

  /** Handles a message; each worker that is to be checked is found to be up at once. */
  const handle = (message: ForwardMessage): ForwardEffect[] => core.handle(message).flatMap(effect =>
    effect.kind === ForwardEffectKind.CheckWorker
      ? core.handle({ kind: ForwardMessageKind.WorkerChecked, worker: effect.worker, scope: effect.scope, check: UpstreamCheck.Up })
      : [effect])

  const submit = (route: RouteConfiguration, overrides: Partial<ForwardRequest> = {}): ForwardEffect[] => handle({
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
      model: undefined,
      promptParts: [],
      ...overrides
    }
  })
  const startResponse = (exchangeId: number, answer: WorkerResponse) => handle({ kind: ForwardMessageKind.ResponseStarted, exchangeId, answer })
  const bytes = (exchangeId: number, text: string) => handle({ kind: ForwardMessageKind.ResponseBytes, exchangeId, bytes: Buffer.from(text) })
  const finishResponse = (exchangeId: number) => handle({ kind: ForwardMessageKind.ResponseFinished, exchangeId })
  const failUnchecked = (exchangeId: number) => core.handle({ kind: ForwardMessageKind.ExchangeFailed, exchangeId, hasLeft: true, reason: 'test' })
  const finishCheck = (check: UpstreamCheck, workerId = 'w1', scope = WorkerCheckScope.Address) =>
    core.handle({ kind: ForwardMessageKind.WorkerChecked, worker: createWorker(workerId), scope, check })
  const failExchange = (exchangeId: number, hasLeft: boolean) =>
    handle({ kind: ForwardMessageKind.ExchangeFailed, exchangeId, hasLeft, reason: 'test' })
  const kinds = (effects: readonly ForwardEffect[]) => effects.map(({ kind }) => kind)
  const refusal = (effects: readonly ForwardEffect[]) => effects.find(effect => effect.kind === ForwardEffectKind.Refuse)
  const sentTo = (effects: readonly ForwardEffect[]) =>
    effects.flatMap(effect => effect.kind === ForwardEffectKind.SendToWorker ? [effect.worker.workerId] : [])
  const bodyOf = (effects: readonly ForwardEffect[]) =>
    effects.flatMap(effect => effect.kind === ForwardEffectKind.SendBody ? [Buffer.from(effect.bytes).toString()] : []).join('')

  // Guards against memory that a faulty worker fills with bytes that are no event, or no end of a response.
  describe('responses without end', () => {
    const PIECE = 'x'.repeat(64 * 1024)
    const sendUntilCancelled = (limitBytes: number): ForwardEffect[] => {
      for (let sent = 0; sent <= limitBytes; sent += PIECE.length) {
        const effects = bytes(1, PIECE)
        if (effects.length > 0) return effects
      }
      return []
    }

    it('end the attempt once an event exceeds its limit, and resume the stream elsewhere', () => {
      submit(streamRoute)
      startResponse(1, createResponse(ResponseVerdict.Success, 200, true))
      const effects = sendUntilCancelled(EVENT_BYTES_MAX)
      expect(effects[0]).toEqual({ kind: ForwardEffectKind.CancelExchange, exchangeId: 1 })
      expect(sentTo(effects)).toEqual(['w2'])
    })

    it('end the attempt once the response exceeds its limit, and leave open whether the request ran', () => {
      submit(atMostOnceRoute)
      startResponse(1, createResponse(ResponseVerdict.Success, 200))
      const effects = sendUntilCancelled(HELD_RESPONSE_BYTES_MAX)
      expect(effects[0]).toEqual({ kind: ForwardEffectKind.CancelExchange, exchangeId: 1 })
      expect(refusal(effects)).toMatchObject({ code: ResultCode.UpstreamDied })
    })

    it('still count as a refusal if their head says so', () => {
      submit(atMostOnceRoute)
      startResponse(1, createResponse(ResponseVerdict.NotRun, 503))
      expect(sentTo(sendUntilCancelled(HELD_RESPONSE_BYTES_MAX))).toEqual(['w2'])
    })
  })

  // Guards against a request that crashes one worker after another before the first crash is known.
  describe('requests that are lost before their answers begin', () => {
    it.each([UpstreamCheck.Up, UpstreamCheck.Down, UpstreamCheck.Unknown])('are retried only once their worker was checked (%s)', check => {
      submit(streamRoute)
      expect(kinds(failUnchecked(1))).toEqual([ForwardEffectKind.CheckWorker])
      expect(sentTo(finishCheck(check))).toEqual(['w2'])
      expect(checkedWorkers).toEqual([['w1', check]])
    })

    it('share one check of their worker', () => {
      submit(streamRoute)
      submit(streamRoute, { requestId: 'q2' })
      expect(kinds(failUnchecked(1))).toEqual([ForwardEffectKind.CheckWorker])
      expect(failUnchecked(2)).toEqual([])
      expect(sentTo(finishCheck(UpstreamCheck.Down))).toEqual(['w2', 'w2'])
    })

    it('are answered at once if they cannot be retried, and their worker is checked all the same', () => {
      submit(atMostOnceRoute)
      expect(kinds(failUnchecked(1))).toEqual([ForwardEffectKind.CheckWorker, ForwardEffectKind.Refuse])
      expect(finishCheck(UpstreamCheck.Down)).toEqual([])
    })

    it('are not sent again if their caller leaves during the check', () => {
      submit(streamRoute)
      failUnchecked(1)
      core.handle({ kind: ForwardMessageKind.CallerGone, requestId: 'q1' })
      expect(finishCheck(UpstreamCheck.Down)).toEqual([])
    })

    // Guards against a request that crashes one worker after the other, as it is resumed before the crash is known.
    it('are resumed only after a check, too, once an event has arrived', () => {
      submit(streamRoute)
      startResponse(1, createResponse(ResponseVerdict.Success, 200, true))
      bytes(1, 'id: 1\ndata: a\n\n')
      expect(kinds(failUnchecked(1))).toEqual([ForwardEffectKind.CheckWorker])
      expect(kinds(finishCheck(UpstreamCheck.Down))).toEqual([ForwardEffectKind.SendToWorker])
    })
  })

  // Guards against a response that is taken for whole because something accepts connections at its worker's address.
  describe('responses without framing', () => {
    const unframed = { ...createResponse(ResponseVerdict.Success, 200), framing: ResponseFraming.None }
    const endUnframed = (exchangeId: number) =>
      core.handle({ kind: ForwardMessageKind.ExchangeFailed, exchangeId, hasLeft: true, reason: 'test', fault: ExchangeFault.UnframedEnd })
    const startBooking = (requestId: string, exchangeId: number) => {
      submit(atMostOnceRoute, { requestId })
      startResponse(exchangeId, unframed)
      bytes(exchangeId, 'booked')
    }

    it.each([[UpstreamCheck.Up, true], [UpstreamCheck.Down, false], [UpstreamCheck.Replaced, false], [UpstreamCheck.Unknown, false]])(
      'are whole only if their run still answers (%s)', (check, isWhole) => {
        startBooking('q1', 1)
        expect(endUnframed(1)).toMatchObject([{ kind: ForwardEffectKind.CheckWorker, scope: WorkerCheckScope.Run }])
        const effects = finishCheck(check, 'w1', WorkerCheckScope.Run)
        expect(bodyOf(effects)).toBe(isWhole ? 'booked' : '')
        expect(refusal(effects) === undefined).toBe(isWhole)
      })

    it('are not proved whole by an answer that their run gave before their end', () => {
      startBooking('q1', 1)
      startBooking('q2', 2)
      endUnframed(1)
      expect(endUnframed(2)).toEqual([])
      const first = finishCheck(UpstreamCheck.Up, 'w1', WorkerCheckScope.Run)
      expect(kinds(first)).toContain(ForwardEffectKind.CheckWorker)
      expect(first.filter(effect => effect.kind === ForwardEffectKind.Complete)).toMatchObject([{ requestId: 'q1' }])
      expect(refusal(finishCheck(UpstreamCheck.Down, 'w1', WorkerCheckScope.Run))).toMatchObject({ requestId: 'q2' })
    })
  })

  describe('at-most-once requests', () => {
    // Guards against a duplicate order when a connection is reset after the request was written to it.
    it('neither retries an at-most-once request that may have run nor reports it as refused', () => {
      submit(atMostOnceRoute)
      const effects = failExchange(1, true)
      expect(sentTo(effects)).toEqual([])
      expect(refusal(effects)).toMatchObject({ code: ResultCode.UpstreamDied, retryAfterMs: undefined })
    })

    it('retries an at-most-once request that was never sent', () => {
      submit(atMostOnceRoute)
      expect(sentTo(failExchange(1, false))).toEqual(['w2'])
    })

    it('retries an at-most-once request that the worker reports as not run', () => {
      submit(atMostOnceRoute)
      startResponse(1, createResponse(ResponseVerdict.NotRun, 503))
      expect(sentTo(finishResponse(1))).toEqual(['w2'])
    })

    // Guards against reporting "not run" after the response to an earlier attempt was lost.
    it('never reports not run after an earlier attempt was lost', () => {
      submit(idempotentRoute)
      failExchange(1, true)
      startResponse(2, createResponse(ResponseVerdict.NotRun, 503))
      expect(refusal(finishResponse(2))).toMatchObject({ code: ResultCode.UpstreamDied })
    })

    it('accepts a refusal by its head even if its body is incomplete', () => {
      submit(atMostOnceRoute)
      startResponse(1, createResponse(ResponseVerdict.NotRun, 503))
      expect(sentTo(failExchange(1, true))).toEqual(['w2'])
    })

    it('sends at-most-once requests only on fresh connections', () => {
      expect(submit(atMostOnceRoute)).toMatchObject([{ needsFreshConnection: true }])
      expect(submit(idempotentRoute, { requestId: 'q2' })).toMatchObject([{ needsFreshConnection: false }])
    })
  })

  describe('worker responses', () => {
    // Guards against a response to an earlier request that arrives late on a reused connection.
    it('drops a response that belongs to another request and cancels the exchange', () => {
      submit(idempotentRoute)
      const effects = startResponse(1, createResponse(ResponseVerdict.Foreign, 200))
      expect(kinds(effects)).toEqual([ForwardEffectKind.CancelExchange, ForwardEffectKind.SendToWorker])
    })

    it('delivers a non-streaming response only once it is complete', () => {
      submit(idempotentRoute)
      startResponse(1, createResponse(ResponseVerdict.Success, 200))
      expect(bytes(1, 'half')).toEqual([])
      expect(sentTo(failExchange(1, true))).toEqual(['w2'])
    })

    it('delivers the error response of a worker with its status and headers if it cannot retry', () => {
      submit(atMostOnceRoute)
      startResponse(1, createResponse(ResponseVerdict.Failure, 500))
      bytes(1, 'oops')
      expect(finishResponse(1)[0]).toMatchObject({ status: 500, headers: [['server-seal', 'seal-500']], framing: { kind: BodyFramingKind.Length, bodyBytes: 4 } })
    })

    it('retries a failed idempotent request on another worker, up to the attempt limit', () => {
      submit(idempotentRoute)
      startResponse(1, createResponse(ResponseVerdict.Failure, 500))
      expect(sentTo(finishResponse(1))).toEqual(['w2'])
      startResponse(2, createResponse(ResponseVerdict.Failure, 500))
      expect(finishResponse(2)[0]).toMatchObject({ status: 500 })
    })

    it('delivers the error response when the retry budget is exhausted', () => {
      hasRetryBudget = false
      submit(idempotentRoute)
      startResponse(1, createResponse(ResponseVerdict.Failure, 500))
      expect(finishResponse(1)[0]).toMatchObject({ status: 500 })
    })
  })

  describe('streams', () => {
    const startStream = (exchangeId: number) => startResponse(exchangeId, createResponse(ResponseVerdict.Success, 200, true))

    it('forwards only complete events, resumes after the last one and sends the response head once', () => {
      submit(streamRoute)
      startStream(1)
      const first = bytes(1, 'id: 1\ndata: a\n\nid: 2\nda')
      expect(bodyOf(first)).toBe('id: 1\ndata: a\n\n')
      const resumed = failExchange(1, true)
      expect(resumed).toMatchObject([{ kind: ForwardEffectKind.SendToWorker, lastEventId: '1' }])
      startStream(2)
      const second = bytes(2, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n')
      expect(kinds(second)).toEqual([ForwardEffectKind.SendBody])
      expect(bodyOf(second)).toBe('id: 2\ndata: b\n\n')
      expect(kinds(finishResponse(2))).toEqual([ForwardEffectKind.Complete])
    })

    // Guards against a truncated stream that looks complete.
    it('aborts the caller connection if the stream cannot be resumed', () => {
      submit({ ...streamRoute, isResumable: false })
      startStream(1)
      bytes(1, 'id: 1\ndata: a\n\n')
      expect(kinds(failExchange(1, true))).toEqual([ForwardEffectKind.AbortConnection])
    })

    it('does not resume a stream beyond the attempt limit of its route', () => {
      submit(streamRoute)
      startStream(1)
      bytes(1, 'id: 1\ndata: a\n\n')
      failExchange(1, true)
      startStream(2)
      expect(kinds(failExchange(2, true))).toEqual([ForwardEffectKind.AbortConnection])
    })
  })

  describe('time', () => {
    it('recomputes the remaining time for each attempt', () => {
      expect(submit(idempotentRoute)).toMatchObject([{ remainingMs: TIMEOUT_MS }])
      clock.advance(400)
      expect(failExchange(1, true)).toMatchObject([{ remainingMs: TIMEOUT_MS - 400 }])
    })

    // Guards against reporting overload when no worker serves the request at all.
    it('refuses a request that times out in the queue with the code of its placement', () => {
      hasFreeWorker = false
      waitCode = ResultCode.NoUpstream
      submit(idempotentRoute)
      clock.advance(QUEUE_WAIT_MAX_MS)
      expect(refusal(core.handle({ kind: ForwardMessageKind.Tick }))).toMatchObject({ code: ResultCode.NoUpstream })
    })

    it('reports at the deadline not run for a request that was never sent, otherwise unknown', () => {
      submit(idempotentRoute)
      hasFreeWorker = false
      submit(idempotentRoute, { requestId: 'q2', deadlineAtMs: QUEUE_WAIT_MAX_MS / 2 })
      clock.advance(QUEUE_WAIT_MAX_MS / 2)
      expect(core.handle({ kind: ForwardMessageKind.Tick })).toMatchObject([{ requestId: 'q2', code: ResultCode.DeadlineUnreachable }])
      clock.advance(TIMEOUT_MS)
      expect(core.handle({ kind: ForwardMessageKind.Tick })).toMatchObject([
        { kind: ForwardEffectKind.CancelExchange, exchangeId: 1 },
        { kind: ForwardEffectKind.Refuse, requestId: 'q1', code: ResultCode.DeadlineExceeded, retryAfterMs: undefined }
      ])
    })

    it('refuses a request that finds no free worker early, with a retry-after time', () => {
      hasFreeWorker = false
      submit(idempotentRoute)
      clock.advance(QUEUE_WAIT_MAX_MS)
      expect(core.handle({ kind: ForwardMessageKind.Tick })).toMatchObject([{ code: ResultCode.Overloaded, retryAfterMs: 700 }])
    })

    it('sends queued requests by priority, then by deadline', () => {
      hasFreeWorker = false
      submit(idempotentRoute, { requestId: 'late', deadlineAtMs: TIMEOUT_MS })
      submit(idempotentRoute, { requestId: 'early', deadlineAtMs: TIMEOUT_MS / 2 })
      submit(idempotentRoute, { requestId: 'urgent', priority: 0 })
      hasFreeWorker = true
      const sent = core.handle({ kind: ForwardMessageKind.CapacityFreed })
      expect(sent.map(effect => effect.kind === ForwardEffectKind.SendToWorker && effect.request.requestId)).toEqual(['urgent', 'early', 'late'])
    })
  })

  // Guards against work that continues after its caller has disconnected.
  it('cancels the request of a disconnected caller, in flight or queued', () => {
    submit(idempotentRoute)
    expect(core.handle({ kind: ForwardMessageKind.CallerGone, requestId: 'q1' })).toEqual([
      { kind: ForwardEffectKind.CancelExchange, exchangeId: 1 }
    ])
    hasFreeWorker = false
    submit(idempotentRoute, { requestId: 'q2' })
    core.handle({ kind: ForwardMessageKind.CallerGone, requestId: 'q2' })
    hasFreeWorker = true
    expect(core.handle({ kind: ForwardMessageKind.CapacityFreed })).toEqual([])
    expect(core.liveCount).toBe(0)
  })

  // Guards against callers that are told to come back before any worker wants a request.
  it('refuses a request that no worker wants at once, with the time until one does', () => {
    refusedForMs = 3_000
    expect(refusal(submit(atMostOnceRoute))).toMatchObject({ code: ResultCode.Overloaded, retryAfterMs: 3_000 })
    refusedForMs = 100
    expect(refusal(submit(atMostOnceRoute, { requestId: 'q2' }))).toMatchObject({ retryAfterMs: 700 })
    expect(core.liveCount).toBe(0)
  })

  it('ends a broken stream at once if no worker wants its resumption', () => {
    submit(streamRoute)
    startResponse(1, createResponse(ResponseVerdict.Success, 200, true))
    bytes(1, 'id: 1\ndata: a\n\n')
    refusedForMs = 3_000
    expect(kinds(failExchange(1, true))).toContain(ForwardEffectKind.AbortConnection)
  })
})
