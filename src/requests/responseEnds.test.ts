import { beforeEach, describe, expect, it } from 'vitest'
import { RepeatPolicy } from '../configuration/index.js'
import { createManualClock, type ManualClock, type ResultCode } from '../core/index.js'
import { type Worker, WorkerState } from '../membership/index.js'
import { ExchangeFault } from '../upstreams/index.js'
import { createForwardCore, type ForwardCore } from './createForwardCore.js'
import {
  type AttemptOutcome, ForwardMessageKind, type ForwardMessage, type ForwardPorts, PlacementKind, ResponseVerdict
} from './forwardTypes.js'
import { CompletionProof, ResponseEnd, ResponseFraming } from './responseEnds.js'

const TIMEOUT_MS = 2_000
const EXCHANGE_ID = 1

const worker: Worker = {
  workerId: 'w1', startedAtUnixMs: 1, service: 's', address: '10.0.0.1:80', zone: 'a', slots: 8, isDraining: false, heartbeat: 1, storePosition: { era: 1, offset: 1 }, state: WorkerState.Serving, missingSinceMs: undefined
}

// Guards against streams whose end cannot be explained afterwards.
describe('what is reported of the end of a stream', () => {
  let clock: ManualClock
  let core: ForwardCore
  let outcomes: AttemptOutcome[]
  let ended: [ResultCode, CompletionProof | undefined][]

  beforeEach(() => {
    clock = createManualClock(0)
    outcomes = []
    ended = []
    const ports: ForwardPorts = {
      place: () => ({ kind: PlacementKind.Placed, worker }),
      mayRetry: () => true,
      takeRetry: () => false,
      onSent: () => {},
      onWorkerNotice: () => {},
      onWorkerChecked: () => {},
      onAttemptEnded: (_request, _worker, outcome) => { outcomes.push(outcome) },
      onEventGap: () => {},
      onRequestEnded: (_request, code, _detail, proof) => { ended.push([code, proof]) },
      retryAfterMs: () => 700
    }
    core = createForwardCore({ clock, ports })
  })

  const start = (framing: ResponseFraming) => {
    core.handle({
      kind: ForwardMessageKind.Submitted,
      request: {
        requestId: 'q1',
        callerAttemptId: 'c1',
        route: {
          name: 'r', host: 'h', pathPrefix: '/r/', repeat: RepeatPolicy.AtMostOnce, isEventStream: true, isResumable: true, timeoutMs: TIMEOUT_MS, eventGapTargetMs: 0, attemptsMax: 2, priority: 1, isPublic: false, backends: [{ service: 's', weight: 1 }]
        },
        service: 's',
        tenant: 't',
        priority: 1,
        arrivedAtMs: 0,
        deadlineAtMs: TIMEOUT_MS,
        method: 'POST',
        path: '/r/x',
        headers: [],
        body: Buffer.from('body'),
        lastEventId: undefined,
        model: undefined,
        promptParts: []
      }
    })
    core.handle({
      kind: ForwardMessageKind.ResponseStarted,
      exchangeId: EXCHANGE_ID,
      answer: { verdict: ResponseVerdict.Success, status: 200, isPromiseNotRun: false, headers: [], isEventStream: true, framing, notice: undefined }
    })
    core.handle({ kind: ForwardMessageKind.ResponseBytes, exchangeId: EXCHANGE_ID, bytes: Buffer.from('id: 7\ndata: a\n\n') })
  }

  const failed = (fault?: ExchangeFault): ForwardMessage =>
    ({ kind: ForwardMessageKind.ExchangeFailed, exchangeId: EXCHANGE_ID, hasLeft: true, reason: 'test', ...(fault === undefined ? {} : { fault }) })

  it.each<[ResponseEnd, ResponseFraming, ForwardMessage]>([
    [ResponseEnd.LastChunk, ResponseFraming.Chunks, { kind: ForwardMessageKind.ResponseFinished, exchangeId: EXCHANGE_ID }],
    [ResponseEnd.Length, ResponseFraming.Length, { kind: ForwardMessageKind.ResponseFinished, exchangeId: EXCHANGE_ID }],
    [ResponseEnd.Truncated, ResponseFraming.Chunks, failed(ExchangeFault.Truncated)],
    [ResponseEnd.Reset, ResponseFraming.None, failed(ExchangeFault.ConnectionLost)],
    [ResponseEnd.Malformed, ResponseFraming.Chunks, failed(ExchangeFault.MalformedResponse)],
    [ResponseEnd.TooLarge, ResponseFraming.Chunks, failed(ExchangeFault.ResponseTooLarge)],
    [ResponseEnd.GivenUp, ResponseFraming.Chunks, failed()],
    [ResponseEnd.Caller, ResponseFraming.None, { kind: ForwardMessageKind.CallerGone, requestId: 'q1' }],
    [ResponseEnd.ProcessExit, ResponseFraming.None, { kind: ForwardMessageKind.ProcessExits }]
  ])('names %s, in %s, with the last event and the silence before', (endedBy, framing, message) => {
    start(framing)
    clock.advance(300)
    core.handle(message)
    expect(outcomes).toMatchObject([{ endedBy, framing, isStream: true, attemptNumber: 1, lastEventId: '7', silenceMs: 300 }])
  })

  it('names the deadline', () => {
    start(ResponseFraming.Chunks)
    clock.advance(TIMEOUT_MS)
    core.handle({ kind: ForwardMessageKind.Tick })
    expect(outcomes).toMatchObject([{ endedBy: ResponseEnd.Deadline }])
  })

  it('names the proof of a complete stream, and none of another one', () => {
    start(ResponseFraming.Chunks)
    core.handle({ kind: ForwardMessageKind.ResponseFinished, exchangeId: EXCHANGE_ID })
    start(ResponseFraming.Chunks)
    core.handle({ kind: ForwardMessageKind.CallerGone, requestId: 'q1' })
    expect(ended.map(([, proof]) => proof)).toEqual([CompletionProof.Framing, undefined])
  })
})
