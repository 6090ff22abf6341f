import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { FastifyReply } from 'fastify'
import { request } from 'undici'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import type { RequestGuard } from '../../callerLimits/index.js'
import { createManualClock, type ManualClock, ResultCode } from '../../core/index.js'
import { COMMENT_INTERVAL_MS, type SubmittedRequest } from '../../requests/index.js'
import { createResponseSink } from './createResponseSink.js'
import type { ResponseSink } from './types.js'

const submitted = { requestId: 'r1', customer: 'acme', request: { isEventStream: true } } as SubmittedRequest
const EVENT = 'data: {"text":"a"}\n\n'
const PARTIAL_EVENT = 'data: {"te'

describe('what an entry adds to an event stream', () => {
  let server: Server
  let clock: ManualClock
  let sinkReady: Promise<ResponseSink>

  const receive = async () => {
    let received = ''
    try {
      const { body } = await request(`http://127.0.0.1:${(server.address() as AddressInfo).port}`)
      for await (const bytes of body) received += bytes
    } catch {
      return { received, isComplete: false }
    }
    return { received, isComplete: true }
  }

  beforeEach(async () => {
    vi.useFakeTimers({ toFake: ['setInterval', 'clearInterval'] })
    clock = createManualClock()
    server = createServer()
    sinkReady = new Promise(resolve => server.on('request', (raw, response) => {
      const guard = {
        write: bytes => { response.write(bytes) }, releaseBody: () => {}, releaseResponse: () => {}
      } as Partial<RequestGuard> as RequestGuard
      const sink = createResponseSink({
        reply: { raw: response, request: { raw } } as FastifyReply,
        submitted,
        live: { guard, onGone: () => {}, refusal: undefined },
        clock,
        gateway: { submit: () => {}, cancel: () => {} },
        errorBodyOf: (_requestId, _customer, code) => ({ code })
      })
      sink.onHead({ status: 200, contentType: 'text/event-stream' })
      resolve(sink)
    }))
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  })
  afterEach(() => {
    server.close()
    vi.useRealTimers()
  })

  const send = async (...parts: string[]) => {
    const receiving = receive()
    const sink = await sinkReady
    for (const part of parts) sink.onBody(Buffer.from(part))
    return { sink, receiving }
  }
  const passInterval = () => {
    clock.advance(COMMENT_INTERVAL_MS)
    vi.advanceTimersByTime(COMMENT_INTERVAL_MS)
  }

  // Guards against a caller that gets the beginning of an event as an event, because a comment ends it.
  it('is no comment within an event', async () => {
    const { sink, receiving } = await send(EVENT, PARTIAL_EVENT)
    passInterval()
    sink.onBody(Buffer.from('xt":"b"}\n\n'))
    sink.onComplete()
    expect(await receiving).toEqual({ received: `${EVENT}data: {"text":"b"}\n\n`, isComplete: true })
  })

  it('is a comment between two events', async () => {
    const { sink, receiving } = await send(EVENT)
    passInterval()
    sink.onBody(Buffer.from(EVENT))
    sink.onComplete()
    expect(await receiving).toEqual({ received: `${EVENT}: waiting\n\n${EVENT}`, isComplete: true })
  })

  // Guards against a caller that doesn't see the error, because it belongs to the line of an event that broke off, and takes
  // the stream for complete.
  it('is no error within an event: the connection breaks off', async () => {
    const { sink, receiving } = await send(EVENT, PARTIAL_EVENT)
    sink.onFail(ResultCode.UpstreamDied)
    expect(await receiving).toMatchObject({ isComplete: false })
  })

  it.each([[[]], [[EVENT]], [['data: a\r\n\r', '\n']]])('is an error after the last whole event: %j', async parts => {
    const { sink, receiving } = await send(...parts)
    sink.onFail(ResultCode.UpstreamDied)
    const { received, isComplete } = await receiving
    expect(isComplete).toBe(true)
    expect(received).toBe(`${parts.join('')}event: error\ndata: {"code":${ResultCode.UpstreamDied}}\n\n`)
  })
})
