import { createServer, type Server, type Socket } from 'node:net'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { createMonotonicClock } from '../core/index.js'
import { createConnectionPool } from './connectionPool.js'
import { RESPONSE_BODY_BYTES_MAX, RESPONSE_FRAMING_BYTES_MAX } from './constants.js'
import { createResponseReader } from './createResponseReader.js'
import { createHttpCaller } from './httpCall.js'
import { ConnectionUse, type ExchangeEvent, ExchangeEventKind } from './types.js'

const HEAD = 'HTTP/1.1 200 OK\r\n'
const CHUNKED_HEAD = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`
const PIECE_BYTES = 16 * 1024
/** What sockets on both sides may buffer beyond what the reader accepts. */
const SOCKET_BUFFER_BYTES = 16 * 1024 * 1024

const CALL_TIMEOUT_MS = 5_000

const filled = (text: string) => text.repeat(Math.ceil(PIECE_BYTES / text.length))

/** Beginning of a response, and what then follows without end. */
const ENDLESS: Record<string, { start: string, piece: string, bytesMax: number }> = {
  'a status line': { start: 'HTTP/1.1 200 ', piece: filled('x'), bytesMax: RESPONSE_FRAMING_BYTES_MAX },
  'empty lines': { start: '', piece: filled('\r\n'), bytesMax: RESPONSE_FRAMING_BYTES_MAX },
  headers: { start: HEAD, piece: filled('X-Filler: 1\r\n'), bytesMax: RESPONSE_FRAMING_BYTES_MAX },
  'a header without a line break': { start: `${HEAD}X-Filler: `, piece: filled('x'), bytesMax: RESPONSE_FRAMING_BYTES_MAX },
  'interim responses': { start: '', piece: filled('HTTP/1.1 102 Processing\r\n\r\n'), bytesMax: RESPONSE_FRAMING_BYTES_MAX },
  'a chunk extension': { start: `${CHUNKED_HEAD}5;name=`, piece: filled('x'), bytesMax: RESPONSE_FRAMING_BYTES_MAX },
  trailers: { start: `${CHUNKED_HEAD}0\r\n`, piece: filled('X-Filler: 1\r\n'), bytesMax: RESPONSE_FRAMING_BYTES_MAX },
  'a body without a length': { start: `${HEAD}\r\n`, piece: filled('x'), bytesMax: RESPONSE_BODY_BYTES_MAX },
  'a body past its length': { start: `${HEAD}Content-Length: 5\r\n\r\n`, piece: filled('x'), bytesMax: PIECE_BYTES },
  'no response at all': { start: '', piece: filled('\u0000\u0001'), bytesMax: RESPONSE_FRAMING_BYTES_MAX }
}

describe('responses without end', () => {
  let server: Server | undefined

  afterEach(() => { server?.close() })

  /** Serves one connection: writes without pause until it is closed; resolves with the bytes written. */
  const serveEndlessly = async (start: string, piece: string) => {
    let onClosed: (bytes: number) => void
    const closed = new Promise<number>(resolve => { onClosed = resolve })
    server = createServer((socket: Socket) => {
      let bytes = start.length
      const write = () => {
        let canWrite = !socket.destroyed
        while (canWrite) {
          bytes += piece.length
          canWrite = socket.write(piece, 'latin1')
        }
      }
      socket.on('drain', write)
      socket.on('error', () => {})
      socket.on('close', () => onClosed(bytes))
      socket.write(start)
      socket.once('data', write)
    })
    await new Promise<void>(resolve => server!.listen(0, '127.0.0.1', resolve))
    return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, closed }
  }

  // Guards against a process that runs out of memory, and an exchange that never ends, because of one faulty worker.
  it.each(Object.entries(ENDLESS))('end the exchange and the connection within bounds: %s', async (_name, { start, piece, bytesMax }) => {
    const { address, closed } = await serveEndlessly(start, piece)
    const pool = createConnectionPool({ address, clock: createMonotonicClock() })
    const events: ExchangeEvent[] = []
    const ended = new Promise<void>(resolve => {
      pool.send({ method: 'GET', path: '/', headers: [], body: new Uint8Array() }, ConnectionUse.Fresh, event => {
        events.push(event)
        if (event.kind === ExchangeEventKind.Finished || event.kind === ExchangeEventKind.Failed) resolve()
      })
    })
    await ended
    expect(await closed).toBeLessThan(bytesMax + SOCKET_BUFFER_BYTES)
    const received = events.reduce((sum, event) => sum + (event.kind === ExchangeEventKind.Body ? event.bytes.length : 0), 0)
    expect(received).toBeLessThanOrEqual(RESPONSE_BODY_BYTES_MAX)
    pool.close()
  })

  // Guards against a store, or a rank, whose bytes without end take the memory of the process that called it.
  it.each(Object.entries(ENDLESS))('end a whole call within bounds: %s', async (_name, { start, piece, bytesMax }) => {
    const { address, closed } = await serveEndlessly(start, piece)
    const caller = createHttpCaller({ address, clock: createMonotonicClock(), connectTimeoutMs: CALL_TIMEOUT_MS })
    const answered = await caller.call({ method: 'GET', path: '/', timeoutMs: CALL_TIMEOUT_MS }).answer.then(({ body }) => body.length, () => 0)
    expect(answered).toBeLessThanOrEqual(RESPONSE_BODY_BYTES_MAX)
    expect(await closed).toBeLessThan(bytesMax + SOCKET_BUFFER_BYTES)
  })

  it('are refused by the reader as soon as their framing exceeds the limit', () => {
    for (const { start, piece, bytesMax } of Object.values(ENDLESS)) {
      const reader = createResponseReader({ isHeadRequest: false, onHead: () => {}, onBody: () => {} })
      let fault = reader.read(Buffer.from(start, 'latin1'))
      let bytes = 0
      while (fault === undefined && !reader.isComplete && bytes <= bytesMax + 2 * PIECE_BYTES) {
        fault = reader.read(Buffer.from(piece, 'latin1'))
        bytes += piece.length
      }
      expect(bytes).toBeLessThanOrEqual(bytesMax + 2 * PIECE_BYTES)
    }
  })
})

describe('chunks', () => {
  const readAll = (body: string) => {
    let received = ''
    const reader = createResponseReader({ isHeadRequest: false, onHead: () => {}, onBody: bytes => { received += Buffer.from(bytes).toString() } })
    const fault = reader.read(Buffer.from(CHUNKED_HEAD + body))
    return { received, fault, isComplete: reader.isComplete }
  }

  it('are read with extensions and trailers', () => {
    expect(readAll('5;a=b\r\nhello\r\n0\r\nX-Trailer: 1\r\n\r\n')).toEqual({ received: 'hello', fault: undefined, isComplete: true })
  })

  // Guards against a truncated response that looks complete: a size that is no number would count as the last chunk.
  it.each(['xyz', '', '-5', '0x5', '5 5', '1e', ' '])('with the size %j never complete a response', size => {
    const { isComplete } = readAll(`5\r\nhello\r\n${size}\r\n\r\n`)
    expect(isComplete).toBe(false)
  })
})
