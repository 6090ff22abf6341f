import { createServer, type Server } from 'node:net'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { createMonotonicClock } from '../core/index.js'
import { BROKEN_RESPONSES, renderResponse, SOUND_RESPONSES } from '../standIns/index.js'
import { askUpstream } from './askUpstream.js'
import { UpstreamCheck } from './constants.js'
import { createResponseReader } from './createResponseReader.js'
import { createHttpCaller } from './httpCall.js'

const BODY = 'answer'
const TIMEOUT_MS = 2_000

const broken = Object.entries(BROKEN_RESPONSES).flatMap(([part, responses]) => responses.map(response => [`${part}: ${response.what}`, response] as const))
const sound = SOUND_RESPONSES.map(response => [response.what, response] as const)

const readInParts = (bytes: Buffer, partBytes: number, isHeadRequest = false) => {
  let body = ''
  const reader = createResponseReader({ isHeadRequest, onHead: () => {}, onBody: part => { body += Buffer.from(part).toString('latin1') } })
  let fault
  for (let at = 0; at < bytes.length && fault === undefined && !reader.isComplete; at += partBytes) fault = reader.read(bytes.subarray(at, at + partBytes))
  return { fault, body, isComplete: reader.isComplete }
}

describe('the reader of a response', () => {
  it.each(broken)('refuses a broken %s', (_what, response) => {
    const { fault } = readInParts(Buffer.from(renderResponse(response, BODY), 'latin1'), Infinity)
    expect(fault).toBeDefined()
  })

  it.each(sound)('reads %s, in parts of any size', (_what, response) => {
    const bytes = Buffer.from(renderResponse(response, BODY), 'latin1')
    for (const partBytes of [1, 2, 7, Infinity]) {
      expect(readInParts(bytes, partBytes)).toEqual({ fault: undefined, body: BODY, isComplete: true })
    }
  })

  // Guards against an answer that waits for a body which never comes.
  it.each([
    ['204', 'HTTP/1.1 204 X\r\n\r\n', false],
    ['204 with a length', 'HTTP/1.1 204 X\r\nContent-Length: 6\r\n\r\n', false],
    ['304 with the length of what it stands for', 'HTTP/1.1 304 X\r\nContent-Length: 6\r\n\r\n', false],
    ['304 with chunks', 'HTTP/1.1 304 X\r\nTransfer-Encoding: chunked\r\n\r\n', false],
    ['200 to HEAD', 'HTTP/1.1 200 X\r\nContent-Length: 6\r\n\r\n', true],
    ['200 to HEAD, of any length', 'HTTP/1.1 200 X\r\nContent-Length: 99999999999\r\n\r\n', true]
  ])('ends a response that has no body with its head: %s', (_what, text, isHeadRequest) => {
    expect(readInParts(Buffer.from(text), Infinity, isHeadRequest)).toEqual({ fault: undefined, body: '', isComplete: true })
  })
})

describe('a question to an upstream, the store, a rank or another entry', () => {
  let server: Server | undefined
  afterEach(() => { server?.close() })

  const serve = async (response: string): Promise<string> => {
    server = createServer(socket => {
      socket.on('error', () => {})
      socket.on('data', () => socket.write(Buffer.from(response, 'latin1')))
    })
    await new Promise<void>(resolve => server!.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${(server.address() as AddressInfo).port}`
  }
  const call = async (address: string) =>
    (await createHttpCaller({ address, clock: createMonotonicClock(), connectTimeoutMs: TIMEOUT_MS }).call({ method: 'GET', path: '/', timeoutMs: TIMEOUT_MS }).answer).body.toString()
  const ask = (address: string) => askUpstream({
    address, clock: createMonotonicClock(), question: { path: '/', headers: [], decode: () => UpstreamCheck.Up }
  })

  // Guards against a state that nobody has reported, or that is half of what was.
  it.each(broken)('gets no answer from a broken %s', async (_what, response) => {
    const address = await serve(renderResponse(response, BODY))
    await expect(call(address)).rejects.toThrow(/malformed-response|response-too-large/)
    expect(await ask(address)).toBe(UpstreamCheck.Unknown)
  })

  it.each(sound)('is answered by %s', async (_what, response) => {
    const address = await serve(renderResponse(response, BODY))
    expect(await call(address)).toBe(BODY)
    expect(await ask(address)).toBe(UpstreamCheck.Up)
  })
})
