import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { createServer, type Server } from 'node:net'
import type { AddressInfo } from 'node:net'
import { RepeatPolicy } from '../../configuration/index.js'
import { createMonotonicClock, ResultCode } from '../../core/index.js'
import { type Worker, WorkerState, type WorkerTable } from '../../membership/index.js'
import { LogEvent } from '../../observe/index.js'
import { type ForwardPorts, type ForwardRequest, PlacementKind, ResponseFraming, ResponseVerdict } from '../../requests/index.js'
import { UnsendableRequestError, UpstreamCheck } from '../../upstreams/index.js'
import { type ForwardTask, startForwardTask } from './forwardTask.js'
import type { CallerSink, WorkerCodec } from './types.js'

const TIMEOUT_MS = 60_000
/** Bounds each wait; an end that comes only with the deadline of the request is far later. */
const END_MAX_MS = 3_000

describe('a request beside an exception', () => {
  let server: Server
  let worker: Worker
  let task: ForwardTask
  let events: string[]
  let sentCount: number

  beforeEach(async () => {
    events = []
    sentCount = 0
    server = createServer(socket => {
      socket.on('error', () => {})
      socket.on('data', () => {
        sentCount += 1
        socket.write('HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer')
      })
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    worker = {
      workerId: 'w', startedAtUnixMs: 1, service: 's', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, zone: 'a', slots: 8, isDraining: false, heartbeat: 1, storePosition: { era: 1, offset: 1 }, state: WorkerState.Serving, missingSinceMs: undefined
    }
  })
  afterEach(async () => {
    task.stop()
    await new Promise(resolve => server.close(resolve))
  })

  const ports: ForwardPorts = {
    place: () => ({ kind: PlacementKind.Placed, worker }),
    mayRetry: () => true,
    takeRetry: () => false,
    onSent: () => {},
    onWorkerNotice: () => {},
    onWorkerChecked: () => {},
    onAttemptEnded: () => {},
    onEventGap: () => {},
    onRequestEnded: () => {},
    retryAfterMs: () => 1
  }
  const codec: WorkerCodec = {
    encode: ({ request: { method, path, body } }) => ({ method, path, headers: [['content-length', '0']], body }),
    decode: ({ status }) => ({ verdict: ResponseVerdict.Success, status, isPromiseNotRun: false, headers: [], isEventStream: false, framing: ResponseFraming.Length, notice: undefined }),
    askRun: () => ({ path: '/status', headers: [], decode: () => UpstreamCheck.Up })
  }

  const start = (overrides: { ports?: Partial<ForwardPorts>, codec?: Partial<WorkerCodec>, mailboxCapacity?: number, statusPath?: string }) => {
    task = startForwardTask({
      clock: createMonotonicClock(),
      ports: { ...ports, ...overrides.ports },
      codec: { ...codec, ...overrides.codec },
      workers: { all: () => [worker] } as unknown as WorkerTable,
      log: event => { events.push(event) },
      ...(overrides.statusPath === undefined ? {} : { statusPathOf: () => overrides.statusPath! }),
      ...(overrides.mailboxCapacity === undefined ? {} : { responsePartsMax: overrides.mailboxCapacity })
    })
  }

  /** Sends a request that may run once only; resolves with its end. */
  const send = (overrides: Partial<CallerSink> = {}) => new Promise<string>((resolve, reject) => {
    const timer = setTimeout(() => reject(new Error('the caller got no end')), END_MAX_MS)
    const end = (text: string) => {
      clearTimeout(timer)
      resolve(text)
    }
    const nowMs = createMonotonicClock().nowMs()
    const request: ForwardRequest = {
      requestId: 'r',
      callerAttemptId: 'a',
      service: 's',
      tenant: undefined,
      priority: 0,
      arrivedAtMs: nowMs,
      deadlineAtMs: nowMs + TIMEOUT_MS,
      method: 'GET',
      path: '/',
      headers: [],
      body: new Uint8Array(),
      lastEventId: undefined,
      model: undefined,
      promptParts: [],
      route: { name: 'r', host: 'h', pathPrefix: '/', repeat: RepeatPolicy.AtMostOnce, isEventStream: false, isResumable: false, timeoutMs: TIMEOUT_MS, eventGapTargetMs: 0, attemptsMax: 1, priority: 0, isPublic: false, backends: [{ service: 's', weight: 1 }] }
    }
    task.submit(request, {
      onHead: () => {}, onBody: () => {}, onComplete: () => end('complete'), onAbort: () => end('aborted'), onRefuse: code => end(ResultCode[code]!), ...overrides
    })
  })
  const fail = () => { throw new Error('unexpected') }

  // Guards against a request that waits for a check that never ends.
  it('ends if the question whether its worker lives cannot be sent', async () => {
    server.removeAllListeners('connection')
    server.on('connection', socket => {
      socket.on('error', () => {})
      socket.on('data', () => { socket.end('HTTP/1.1 200 OK\r\n\r\nanswer') })
    })
    start({ statusPath: '/a b', codec: { askRun: (_worker, path) => ({ path, headers: [], decode: () => UpstreamCheck.Up }) } })
    await expect(send()).resolves.not.toBe('complete')
  })

  it('is answered if there is none', async () => {
    start({})
    expect(await send()).toBe('complete')
    expect(task.core.liveCount).toBe(0)
  })

  // Guards against a caller without an end: an exception in one effect used to drop the ones behind it.
  it.each(['onHead', 'onBody', 'onComplete'] as const)('ends as failed if its response cannot be written: %s', async part => {
    start({})
    expect(await send({ [part]: fail })).toBe('AnswerLost')
    expect(events).toContain(LogEvent.ResponseUndelivered)
  })

  it('is refused as not run if it cannot be encoded', async () => {
    start({ codec: { encode: () => { throw new UnsendableRequestError('the target') } } })
    expect(await send()).toBe('Unsendable')
    expect([sentCount, task.core.liveCount]).toEqual([0, 0])
  })

  // Guards against a promise that a request has not run without proof: these end as unknown.
  it.each<[string, Parameters<typeof start>[0]]>([
    ['the encoder fails otherwise', { codec: { encode: fail } }],
    ['the response cannot be decoded', { codec: { decode: fail } }],
    ['the response has ended, as seen by the log', { ports: { onRequestEnded: fail } }],
    ['the attempt has ended, as seen by the log', { ports: { onAttemptEnded: fail } }]
  ])('ends as unknown if %s', async (_what, overrides) => {
    start(overrides)
    expect(['UpstreamDied', 'AnswerLost', 'Internal']).toContain(await send())
    expect(events).toContain(LogEvent.InternalError)
  })

  it('ends at once if no worker can be chosen for it because of the exception', async () => {
    start({ ports: { place: fail } })
    expect(await send()).toBe('Internal')
    expect([sentCount, task.core.liveCount]).toEqual([0, 0])
  })

  // Guards against a response with a gap that looks complete: parts that the mailbox had no room for used to be dropped.
  it('ends as failed if a part of its response cannot be queued, and other requests go on', async () => {
    start({ mailboxCapacity: 0 })
    expect(await send()).toBe('UpstreamDied')
    expect([task.core.liveCount, task.rejectedMessages > 0]).toEqual([0, true])
  })
})
