import { createServer, type Server } from 'node:net'
import type { AddressInfo } from 'node:net'
import { afterEach, expect, it } from 'vitest'
import { createMonotonicClock } from '../core/index.js'
import { createConnectionPool } from './connectionPool.js'
import { ExchangeFault, PARSED_BYTES_PER_TURN } from './constants.js'
import { ConnectionUse, type ExchangeEvent, ExchangeEventKind } from './types.js'

const NEXT_RESPONSE = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother'
const MALFORMED = { kind: ExchangeEventKind.Failed, fault: ExchangeFault.MalformedResponse, hasLeft: true }
const FINISHED = { kind: ExchangeEventKind.Finished }

/** Returns a response of this many bytes, with its head. */
const responseOf = (bytes: number): string => {
  const headOf = (length: number) => `HTTP/1.1 200 OK\r\nContent-Length: ${length}\r\n\r\n`
  const length = bytes - headOf(bytes).length
  return headOf(length) + 'x'.repeat(length)
}

let server: Server | undefined
afterEach(() => { server?.close() })

// Guards against a body whose length is too small, of which the caller gets the first part as the whole.
it.each([
  ['the rest of a body', 200, 'more', MALFORMED],
  ['the rest of a body in the next turn', PARSED_BYTES_PER_TURN, 'more', MALFORMED],
  ['another response', 200, NEXT_RESPONSE, FINISHED],
  ['another response in the next turn', PARSED_BYTES_PER_TURN, NEXT_RESPONSE, FINISHED]
])('tells the end of a response by what was received with it: %s', async (_what, bytes, extra, lastEvent) => {
  server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => socket.write(responseOf(bytes) + extra))
  })
  await new Promise<void>(resolve => server!.listen(0, '127.0.0.1', resolve))
  const pool = createConnectionPool({ address: `127.0.0.1:${(server.address() as AddressInfo).port}`, clock: createMonotonicClock() })
  const last = await new Promise<ExchangeEvent>(resolve => {
    pool.send({ method: 'GET', path: '/', headers: [], body: new Uint8Array() }, ConnectionUse.Fresh, event => {
      if (event.kind === ExchangeEventKind.Finished || event.kind === ExchangeEventKind.Failed) resolve(event)
    })
  })
  expect(last).toEqual(lastEvent)
  pool.close()
})
