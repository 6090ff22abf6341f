import { createServer, type Server, type Socket } from 'node:net'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { ResultCode } from '../core/index.js'
import { createUpstreamClient } from './createUpstreamClient.js'
import type { UpstreamCall, UpstreamClient } from './types.js'

const CALL: UpstreamCall = { method: 'GET', path: '/stock', headers: {}, body: new Uint8Array(), isEventStream: false, timeoutMs: 2_000 }

const CALLS = 20

describe('an agent\'s client of its upstream', () => {
  let server: Server
  let client: UpstreamClient
  let respond: (socket: Socket) => void

  /** Sends a call to an upstream that does not live on after its responses. */
  const run = (call: Partial<UpstreamCall> = {}) => new Promise<ResultCode>(resolve => {
    client.run({ ...CALL, ...call }, { onHead: () => {}, onBytes: () => {}, onEnd: resolve, confirmEnd: async () => false })
  })

  beforeEach(async () => {
    server = createServer(socket => {
      socket.on('error', () => {})
      socket.on('data', () => respond(socket))
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    client = createUpstreamClient(`http://127.0.0.1:${(server.address() as AddressInfo).port}`)
  })
  afterEach(async () => {
    await client.close()
    server.close()
  })

  // Guards against a response that broke off and is passed on as complete: such an encoding states no end.
  it.each(['identity', 'gzip', 'chunked, gzip'])('takes the end of a connection for no end of a response with Transfer-Encoding: %s', async encoding => {
    respond = socket => { socket.end(`HTTP/1.1 200 OK\r\nTransfer-Encoding: ${encoding}\r\n\r\nans`) }
    expect(await run()).not.toBe(ResultCode.Ok)
  })

  it('takes a response in chunks for complete at its last chunk', async () => {
    respond = socket => { socket.end('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nans\r\n0\r\n\r\n') }
    expect(await run()).toBe(ResultCode.Ok)
  })

  // Guards against a lookup that is reported as failed although its upstream has answered it to the end.
  it.each([['204', 'GET'], ['304', 'GET'], ['200', 'HEAD']])('takes a response that has no body for complete at its head: %s to %s', async (status, method) => {
    respond = socket => { socket.end(`HTTP/1.1 ${status} X\r\n\r\n`) }
    expect(await run({ method })).toBe(ResultCode.Ok)
  })

  // Guards against a call that is lost because its connection was about to be closed: the upstream has not announced it.
  it('sends no call on a connection that its upstream closes right after a response', async () => {
    respond = socket => { socket.end('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok') }
    const codes: ResultCode[] = []
    for (let at = 0; at < CALLS; at++) codes.push(await run())
    expect(codes).toEqual(codes.map(() => ResultCode.Ok))
  })

  // Guards against an upstream that counts as up, with a load that nobody has reported, because something at its address
  // answers every request.
  it.each(['{}', 'null', '[]', '"ok"', '{"sequence":"7"}', '{"sequence":7}', '{"sequence":7,"madeAtMs":1,"queuedTokens":null,"runningRequests":0,"tokensPerS":1}'])('takes a body that is no load for none: %s', async body => {
    respond = socket => { socket.end(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`) }
    await expect(client.load()).rejects.toThrow()
  })

  it('reads a load', async () => {
    const load = { sequence: 7, madeAtMs: 1.5, queuedTokens: 0, runningRequests: 2, tokensPerS: 10, runningMax: 32 }
    const body = JSON.stringify({ ...load, ownField: 'x' })
    respond = socket => { socket.end(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`) }
    expect(await client.load()).toMatchObject(load)
  })

  // Guards against a stream that broke off and is passed on as complete, because a text of the model names the last event.
  it.each([
    ['within the text of an event', 'data: {"text":"data: [DONE]', ResultCode.UpstreamDied],
    ['in another field', 'id: data: [DONE]', ResultCode.UpstreamDied],
    ['after an event', 'data: {}\n\ndata: [DONE]\n\n', ResultCode.Ok],
    ['alone', 'data: [DONE]\n\n', ResultCode.Ok],
    ['after an event, with CR LF', 'data: {}\r\n\r\ndata: [DONE]\r\n\r\n', ResultCode.Ok]
  ])('takes an event stream for complete only after its last event: %s', async (_where, body, code) => {
    respond = socket => { socket.end(`HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n${body}`) }
    expect(await run({ isEventStream: true })).toBe(code)
  })
})
