import { createServer, type Server } from 'node:net'
import type { AddressInfo } from 'node:net'
import { afterEach, expect, it } from 'vitest'
import { createMonotonicClock } from '../core/index.js'
import { createConnectionPool } from './connectionPool.js'
import { ExchangeFault, PARSED_BYTES_PER_TURN } from './constants.js'
import { ConnectionUse, type ExchangeEvent, ExchangeEventKind } from './types.js'

const BODY_BYTES = 50 * PARSED_BYTES_PER_TURN + 1
const ENDS: [what: string, headers: string, lastEvent: Partial<ExchangeEvent>][] = [
  ['without framing', '', { kind: ExchangeEventKind.Failed, fault: ExchangeFault.UnframedEnd }],
  ['with a length', `Content-Length: ${BODY_BYTES}\r\n`, { kind: ExchangeEventKind.Finished }],
  ['that is shorter than its length', `Content-Length: ${BODY_BYTES + 1}\r\n`, { kind: ExchangeEventKind.Failed, fault: ExchangeFault.Truncated }]
]

let server: Server | undefined
afterEach(() => { server?.close() })

// Guards against a response that loses its last bytes: the end of its connection is reported before they are parsed.
it.each(ENDS)('delivers all bytes of a large response %s, whose connection ends at once', async (_what, headers, lastEvent) => {
  server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => socket.end(`HTTP/1.1 200 OK\r\n${headers}\r\n${'x'.repeat(BODY_BYTES)}`))
  })
  await new Promise<void>(resolve => server!.listen(0, '127.0.0.1', resolve))
  const pool = createConnectionPool({ address: `127.0.0.1:${(server.address() as AddressInfo).port}`, clock: createMonotonicClock() })
  const events: ExchangeEvent[] = []
  await new Promise<void>(resolve => {
    pool.send({ method: 'GET', path: '/', headers: [], body: new Uint8Array() }, ConnectionUse.Fresh, event => {
      events.push(event)
      if (event.kind === ExchangeEventKind.Finished || event.kind === ExchangeEventKind.Failed) resolve()
    })
  })
  const received = events.reduce((sum, event) => sum + (event.kind === ExchangeEventKind.Body ? event.bytes.length : 0), 0)
  expect([received, events.at(-1)]).toMatchObject([BODY_BYTES, lastEvent])
  pool.close()
})
