import { createServer, type Server } from 'node:net'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { fetchWeights, WeightStoreBusyError } from './createRankClient.js'

const EXPERT_BYTES = 6

describe('weights from the store', () => {
  let server: Server
  let answer: string

  const fetch = () => fetchWeights(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, 'g-0', EXPERT_BYTES)

  beforeEach(async () => {
    server = createServer(socket => {
      socket.on('error', () => {})
      socket.on('data', () => socket.end(answer))
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  })
  afterEach(() => { server.close() })

  // Guards against an expert that counts as loaded, with the first part of its weights.
  it.each([
    ['without framing', 'HTTP/1.1 200 OK\r\n\r\nwei'],
    ['without framing, before the first byte', 'HTTP/1.1 200 OK\r\n\r\n'],
    ['after an encoding that states no end', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nwei'],
    ['within its length', 'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nwei'],
    ['within its chunks', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwei\r\n']
  ])('are not loaded if the response ends early %s', async (_where, text) => {
    answer = text
    await expect(fetch()).rejects.toThrow()
  })

  it.each([
    ['with a length', 'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nweight'],
    ['in chunks', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nweight\r\n0\r\n\r\n'],
    ['without framing, with all bytes', 'HTTP/1.1 200 OK\r\n\r\nweight']
  ])('are loaded from a whole response %s', async (_how, text) => {
    answer = text
    await expect(fetch()).resolves.toBeUndefined()
  })

  // Guards against a rank that asks again at once and for good, because no time can be read from the refusal.
  it.each([['', 1_000], ['Retry-After: 3\r\n', 3_000], ['Retry-After: soon\r\n', 1_000]])('are asked for later after a refusal with %j', async (header, retryAfterMs) => {
    answer = `HTTP/1.1 429 X\r\nContent-Length: 0\r\n${header}\r\n`
    const refusal = await fetch().catch(error => error)
    expect(refusal).toBeInstanceOf(WeightStoreBusyError)
    expect(refusal.retryAfterMs).toBe(retryAfterMs)
  })
})
