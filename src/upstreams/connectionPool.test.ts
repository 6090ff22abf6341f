import { createServer, type Server, type Socket } from 'node:net'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { createMonotonicClock } from '../core/index.js'
import { type ConnectionPool, createConnectionPool } from './connectionPool.js'
import { ExchangeFault } from './constants.js'
import { ConnectionUse, type ExchangeEvent, ExchangeEventKind } from './types.js'

const BODY = 'hello'
const COMPLETE_RESPONSE = `HTTP/1.1 200 OK\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`
const SHORT_DELAY_MS = 40

const shortDelay = () => new Promise(resolve => setTimeout(resolve, SHORT_DELAY_MS))

describe('connection pool', () => {
  let server: Server
  let pool: ConnectionPool
  const sockets: Socket[] = []

  const serve = async (onRequest: (socket: Socket, request: number) => void) => {
    let requests = 0
    server = createServer(socket => {
      sockets.push(socket)
      socket.on('error', () => {})
      socket.on('data', () => onRequest(socket, ++requests))
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    pool = createConnectionPool({ address: `127.0.0.1:${(server.address() as AddressInfo).port}`, clock: createMonotonicClock() })
  }

  afterEach(async () => {
    pool.close()
    sockets.splice(0).forEach(socket => socket.destroy())
    await new Promise(resolve => server.close(resolve))
  })

  const exchange = (use = ConnectionUse.Reuse): Promise<ExchangeEvent[]> => new Promise(resolve => {
    const events: ExchangeEvent[] = []
    pool.send({ method: 'GET', path: '/', headers: [['host', 'x']], body: Buffer.alloc(0) }, use, event => {
      events.push(event)
      if (event.kind === ExchangeEventKind.Finished || event.kind === ExchangeEventKind.Failed) resolve(events)
    })
  })
  const bodyOf = (events: readonly ExchangeEvent[]) =>
    events.flatMap(event => event.kind === ExchangeEventKind.Body ? [Buffer.from(event.bytes).toString()] : []).join('')

  it('reuses an idle connection, and opens a new one on request', async () => {
    await serve(socket => socket.write(COMPLETE_RESPONSE))
    await exchange()
    await exchange()
    expect(pool.openedCount).toBe(1)
    await exchange(ConnectionUse.Fresh)
    expect(pool.openedCount).toBe(2)
  })

  // After each of these responses, the connection must not be reused.
  const unusableAfter: [string, string][] = [
    ['bytes after the response', `${COMPLETE_RESPONSE}HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother`],
    ['an announced close', `HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\n${BODY}`],
    ['an idle timeout that has almost passed', `HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 5\r\n\r\n${BODY}`]
  ]
  it.each(unusableAfter)('delivers the response and does not reuse the connection after %s', async (_name, response) => {
    await serve(socket => socket.write(response))
    expect(bodyOf(await exchange())).toBe(BODY)
    await shortDelay()
    expect(bodyOf(await exchange())).toBe(BODY)
    expect(pool.openedCount).toBe(2)
  })

  // Guards against a late second response that is mistaken for the response to the next request.
  it('closes an idle connection on which bytes arrive', async () => {
    await serve(socket => {
      socket.write(COMPLETE_RESPONSE)
      setTimeout(() => socket.write(COMPLETE_RESPONSE), SHORT_DELAY_MS / 4)
    })
    await exchange()
    await shortDelay()
    await exchange()
    expect(pool.openedCount).toBe(2)
  })

  const invalidResponses: [string, string, ExchangeFault][] = [
    ['a body shorter than its length', 'HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhel', ExchangeFault.Truncated],
    ['a chunked body without its last chunk', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n', ExchangeFault.Truncated],
    ['two lengths', 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!', ExchangeFault.MalformedResponse],
    ['a length and a chunked body', 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n', ExchangeFault.MalformedResponse],
    ['bytes that are not an HTTP response', 'SSH-2.0-x\r\n\r\n', ExchangeFault.MalformedResponse],
    ['a head that is cut', 'HTTP/1.1 200 OK\r\nContent-Le', ExchangeFault.ConnectionLost],
    ['no response at all', '', ExchangeFault.ConnectionLost]
  ]
  it.each(invalidResponses)('fails an exchange with %s and reports that the request was sent', async (_name, response, fault) => {
    await serve(socket => socket.end(response))
    expect((await exchange()).at(-1)).toEqual({ kind: ExchangeEventKind.Failed, fault, hasLeft: true })
  })

  // Guards against a truncated response that is forwarded as complete: the connection of a crashed worker also closes
  // normally, without a reset.
  it('never considers a response without a length complete', async () => {
    await serve(socket => socket.end(`HTTP/1.1 200 OK\r\n\r\n${BODY}`))
    expect((await exchange()).at(-1)).toEqual({ kind: ExchangeEventKind.Failed, fault: ExchangeFault.UnframedEnd, hasLeft: true, endedAtMs: expect.any(Number) })
  })

  // Guards against a response without a length that is truncated by a reset and forwarded as complete.
  it('fails a response without a length when its connection is reset', async () => {
    await serve(socket => {
      socket.write(`HTTP/1.1 200 OK\r\n\r\n${BODY}`)
      setTimeout(() => socket.resetAndDestroy(), SHORT_DELAY_MS / 4)
    })
    expect((await exchange()).at(-1)).toMatchObject({ kind: ExchangeEventKind.Failed, hasLeft: true })
  })

  it('reports that nothing was sent when the connection is refused', async () => {
    await serve(() => {})
    const { port } = server.address() as AddressInfo
    await new Promise(resolve => server.close(resolve))
    pool = createConnectionPool({ address: `127.0.0.1:${port}`, clock: createMonotonicClock() })
    expect(await exchange()).toEqual([{ kind: ExchangeEventKind.Failed, fault: ExchangeFault.NotConnected, hasLeft: false }])
  })

  it('closes the connection of a cancelled exchange', async () => {
    let closed = 0
    await serve(socket => { socket.on('close', () => { closed += 1 }) })
    const cancel = pool.send({ method: 'GET', path: '/', headers: [], body: Buffer.alloc(0) }, ConnectionUse.Reuse, () => {})
    await shortDelay()
    cancel()
    await shortDelay()
    expect(closed).toBe(1)
  })
})
