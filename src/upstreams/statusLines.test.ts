import { createServer, type Server } from 'node:net'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { createMonotonicClock } from '../core/index.js'
import { ExchangeFault } from './constants.js'
import { createResponseReader } from './createResponseReader.js'
import { createHttpCaller } from './httpCall.js'

const BODY = 'Content-Length: 2\r\n\r\nok'
const INTERIM = 'HTTP/1.1 102 Processing\r\n\r\n'
const TIMEOUT_MS = 2_000

/** Status lines that the standard does not allow: the status has three digits, from 100 to 599, and a space follows. */
const BROKEN = ['000 X', '099 X', '600 X', '999 X', '2000 X', '20 X', '200X', '+200 X', '2e2 X', ' 200 X', 'abc X']
const VALID = ['200 OK', '200 ', '200', '404 Not Found', '599 X']

describe('a status line', () => {
  const read = (text: string) => {
    const statuses: number[] = []
    const reader = createResponseReader({ isHeadRequest: false, onHead: ({ status }) => { statuses.push(status) }, onBody: () => {} })
    const fault = reader.read(Buffer.from(text, 'latin1'))
    return { fault, statuses, isComplete: reader.isComplete }
  }

  // Guards against an answer with a status that is none, which the caller would get as a worker's answer.
  it.each(BROKEN)('makes a response malformed: %j', status => {
    for (const before of ['', INTERIM]) {
      expect(read(`${before}HTTP/1.1 ${status}\r\n${BODY}`)).toEqual({ fault: ExchangeFault.MalformedResponse, statuses: [], isComplete: false })
    }
    expect(read(`HTTP/1.1 ${status}\r\n\r\nHTTP/1.1 200 OK\r\n${BODY}`)).toMatchObject({ fault: ExchangeFault.MalformedResponse, statuses: [] })
  })

  it.each(VALID)('is read: %j', status => {
    for (const before of ['', INTERIM]) {
      expect(read(`${before}HTTP/1.1 ${status}\r\n${BODY}`)).toEqual({ fault: undefined, statuses: [Number(status.slice(0, 3))], isComplete: true })
    }
  })
})

describe('a call to the store or to a rank', () => {
  let server: Server | undefined
  afterEach(() => { server?.close() })

  it.each(BROKEN)('fails on a kept connection on which a response has the status %j', async status => {
    const lines = ['200 OK', status, '200 OK']
    let connections = 0
    server = createServer(socket => {
      connections += 1
      socket.on('error', () => {})
      socket.on('data', () => socket.write(`HTTP/1.1 ${lines.shift()}\r\n${BODY}`))
    })
    await new Promise<void>(resolve => server!.listen(0, '127.0.0.1', resolve))
    const caller = createHttpCaller({
      address: `127.0.0.1:${(server.address() as AddressInfo).port}`, clock: createMonotonicClock(), connectTimeoutMs: TIMEOUT_MS
    })
    const call = () => caller.call({ method: 'GET', path: '/', timeoutMs: TIMEOUT_MS }).answer
    expect((await call()).status).toBe(200)
    await expect(call()).rejects.toThrow(ExchangeFault.MalformedResponse)
    expect((await call()).status).toBe(200)
    expect(connections).toBe(2)
  })
})
