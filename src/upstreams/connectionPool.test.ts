import { createServer, type Server, type Socket } from 'node:net'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { createSteadyClock } from '../core/index.js'
import { type ConnectionPool, createConnectionPool } from './connectionPool.js'
import { ExchangeFault } from './constants.js'
import { ConnectionUse, type ExchangeEvent, ExchangeEventKind } from './types.js'

const BODY = 'hello'
const SOUND = `HTTP/1.1 200 OK\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`
const MOMENT_MS = 40

const moment = () => new Promise(resolve => setTimeout(resolve, MOMENT_MS))

describe('connections to an upstream', () => {
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
    pool = createConnectionPool({ address: `127.0.0.1:${(server.address() as AddressInfo).port}`, clock: createSteadyClock() })
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

  it('uses a sound idle connection again, and a new one when asked for it', async () => {
    await serve(socket => socket.write(SOUND))
    await exchange()
    await exchange()
    expect(pool.openedCount).toBe(1)
    await exchange(ConnectionUse.Fresh)
    expect(pool.openedCount).toBe(2)
  })

  // Each row leaves a connection that must not carry another request.
  const unsound: [string, string][] = [
    ['bytes after the answer', `${SOUND}HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother`],
    ['an announced close', `HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\n${BODY}`],
    ['an idle timeout that has as good as passed', `HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 5\r\n\r\n${BODY}`]
  ]
  it.each(unsound)('delivers the answer and gives up the connection after %s', async (_name, response) => {
    await serve(socket => socket.write(response))
    expect(bodyOf(await exchange())).toBe(BODY)
    await moment()
    expect(bodyOf(await exchange())).toBe(BODY)
    expect(pool.openedCount).toBe(2)
  })

  // Guards against a late second answer that is taken for the answer to the next request.
  it('closes an idle connection on which bytes arrive', async () => {
    await serve(socket => {
      socket.write(SOUND)
      setTimeout(() => socket.write(SOUND), MOMENT_MS / 4)
    })
    await exchange()
    await moment()
    await exchange()
    expect(pool.openedCount).toBe(2)
  })

  const cut: [string, string, ExchangeFault][] = [
    ['a body shorter than its length', 'HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhel', ExchangeFault.CutOrUnframed],
    ['chunks without the last one', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n', ExchangeFault.CutOrUnframed],
    ['two lengths', 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!', ExchangeFault.MalformedResponse],
    ['a length beside chunks', 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n', ExchangeFault.MalformedResponse],
    ['bytes that are no response', 'SSH-2.0-x\r\n\r\n', ExchangeFault.MalformedResponse],
    ['no response at all', '', ExchangeFault.ConnectionLost]
  ]
  it.each(cut)('fails an exchange with %s and says that the request has left', async (_name, response, fault) => {
    await serve(socket => socket.end(response))
    expect((await exchange()).at(-1)).toEqual({ kind: ExchangeEventKind.Failed, fault, hasLeft: true })
  })

  // Guards against an answer of a crashed worker that is passed on as whole: its connection ends in order too.
  it('never takes an answer without a length as whole', async () => {
    await serve(socket => socket.end(`HTTP/1.1 200 OK\r\n\r\n${BODY}`))
    expect((await exchange()).at(-1)).toEqual({ kind: ExchangeEventKind.Failed, fault: ExchangeFault.CutOrUnframed, hasLeft: true })
  })

  // Guards against an answer without a length that is cut by a reset and passed on as whole.
  it('fails an answer without a length whose connection is reset', async () => {
    await serve(socket => {
      socket.write(`HTTP/1.1 200 OK\r\n\r\n${BODY}`)
      setTimeout(() => socket.resetAndDestroy(), MOMENT_MS / 4)
    })
    expect((await exchange()).at(-1)).toMatchObject({ kind: ExchangeEventKind.Failed, hasLeft: true })
  })

  it('says that nothing has left when the connection is refused', async () => {
    await serve(() => {})
    const { port } = server.address() as AddressInfo
    await new Promise(resolve => server.close(resolve))
    pool = createConnectionPool({ address: `127.0.0.1:${port}`, clock: createSteadyClock() })
    expect(await exchange()).toEqual([{ kind: ExchangeEventKind.Failed, fault: ExchangeFault.NotConnected, hasLeft: false }])
  })

  it('closes the connection of a cancelled exchange', async () => {
    let closed = 0
    await serve(socket => { socket.on('close', () => { closed += 1 }) })
    const cancel = pool.send({ method: 'GET', path: '/', headers: [], body: Buffer.alloc(0) }, ConnectionUse.Reuse, () => {})
    await moment()
    cancel()
    await moment()
    expect(closed).toBe(1)
  })
})
