import { createServer, type Server } from 'node:net'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { createMonotonicClock } from '../core/index.js'
import { createHttpCaller, NoResponseError } from './httpCall.js'

const OK = 'HTTP/1.1 200 OK\r\n'

describe('calls to the store, to ranks and between entries', () => {
  let server: Server
  let answer: string | undefined

  const call = () => createHttpCaller({ address: `127.0.0.1:${(server.address() as AddressInfo).port}`, clock: createMonotonicClock(), connectTimeoutMs: 1_000 })
    .call({ method: 'GET', path: '/', timeoutMs: 500 }).answer

  beforeEach(async () => {
    server = createServer(socket => {
      socket.on('error', () => {})
      socket.on('data', () => { if (answer !== undefined) socket.end(answer) })
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  })
  afterEach(() => { server.close() })

  // Guards against an empty or shortened list that is taken for the whole one, because its sender or the way to it broke off.
  it.each([
    ['at once', ''],
    ['within the head', `${OK}Content-Le`],
    ['after a head without framing', `${OK}\r\n`],
    ['without framing', `${OK}\r\n{"records":[]}`],
    ['within the length', `${OK}Content-Length: 20\r\n\r\n{"records":[]}`],
    ['before the last chunk', `${OK}Transfer-Encoding: chunked\r\n\r\ne\r\n{"records":[]}\r\n`]
  ])('fail if the connection ends %s', async (_where, text) => {
    answer = text
    await expect(call()).rejects.toThrow()
  })

  it('fail if nothing comes', async () => {
    answer = undefined
    await expect(call()).rejects.toThrow(NoResponseError)
  })

  it('return a response that states its end', async () => {
    answer = `${OK}Content-Length: 2\r\n\r\nok`
    expect((await call()).body.toString()).toBe('ok')
  })
})
