import { createServer, type Server, type Socket } from 'node:net'
import type { AddressInfo } from 'node:net'
import { afterEach, expect, it } from 'vitest'
import { createMonotonicClock } from '../core/index.js'
import { createConnectionPool } from './connectionPool.js'
import { ExchangeFault } from './constants.js'
import { ConnectionUse, type ExchangeEvent, ExchangeEventKind } from './types.js'

const EXCHANGES = 20
const RESPONSE = 'HTTP/1.1 200 OK\r\n\r\nhello'
const ENDS: [what: string, end: (socket: Socket) => void, fault: ExchangeFault][] = [
  ['reset', socket => {
    socket.write(RESPONSE)
    socket.resetAndDestroy()
  }, ExchangeFault.ConnectionLost],
  ['end', socket => { socket.end(RESPONSE) }, ExchangeFault.UnframedEnd]
]

let server: Server | undefined
afterEach(() => { server?.close() })

// Guards against a response that is reset and counts as ended: Node.js reports a reset that it reads together with data as an end.
it.each(ENDS)('reports the %s of a connection as what it is, right after the last data without framing', async (_what, end, fault) => {
  server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => end(socket))
  })
  await new Promise<void>(resolve => server!.listen(0, '127.0.0.1', resolve))
  const pool = createConnectionPool({ address: `127.0.0.1:${(server.address() as AddressInfo).port}`, clock: createMonotonicClock() })
  const exchange = () => new Promise<ExchangeEvent>(resolve => {
    pool.send({ method: 'GET', path: '/', headers: [], body: new Uint8Array() }, ConnectionUse.Fresh, event => {
      if (event.kind === ExchangeEventKind.Finished || event.kind === ExchangeEventKind.Failed) resolve(event)
    })
  })
  const lastEvents: ExchangeEvent[] = []
  for (let at = 0; at < EXCHANGES; at++) lastEvents.push(await exchange())
  expect(lastEvents).toEqual(lastEvents.map(() => ({ kind: ExchangeEventKind.Failed, fault, hasLeft: true, endedAtMs: expect.any(Number) })))
  pool.close()
})
