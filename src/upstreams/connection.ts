import { connect, type Socket } from 'node:net'
import type { Clock, TimestampMs } from '../core/index.js'
import {
  CONNECT_TIMEOUT_MS, ConnectionState, EARLY_CLOSE_MS, END_SETTLE_MS, ExchangeFault, IDLE_MARGIN_MS, IDLE_REUSE_MAX_MS, type ReadPause,
  RESPONSE_BODY_BYTES_MAX
} from './constants.js'
import { createPacedReading } from './createPacedReading.js'
import { createResponseReader, type ResponseReader } from './createResponseReader.js'
import { type EncodedRequest, type ExchangeEvent, ExchangeEventKind, type HeaderField, type ResponseHeadRaw } from './types.js'

const MS_PER_S = 1_000

/** One connection to one upstream; it handles one exchange of request and response at a time. */
export interface Connection {
  readonly state: ConnectionState
  readonly idleSinceMs: TimestampMs
  /** Time until which the idle connection may be reused. */
  readonly reusableUntilMs: TimestampMs
  /** Starts an exchange; allowed while the connection is new or idle. */
  send (request: EncodedRequest, emit: (event: ExchangeEvent) => void): void
  /** Stops reading, so that the upstream is held back by flow control, or continues once nobody holds it back any more. */
  setPaused (pause: ReadPause, isPaused: boolean): void
  /** Closes the connection at once; an exchange in flight emits no further events. */
  destroy (): void
}

export interface ConnectionOptions {
  host: string
  port: number
  clock: Clock
  connectTimeoutMs?: number
  /** See `ResponseReaderOptions`. */
  bodyBytesMax?: number
  onIdle: () => void
  onClosed: () => void
  /** Called when the upstream closes the idle connection within EARLY_CLOSE_MS of a response, although it said it would keep it. */
  onClosedEarly: () => void
}

interface Exchange {
  request: EncodedRequest
  emit: (event: ExchangeEvent) => void
  reader: ResponseReader
  hasLeft: boolean
}

/** Returns the idle timeout that the upstream announces in its Keep-Alive header. */
const announcedIdleMs = (headers: readonly HeaderField[]): number | undefined => {
  const value = headers.find(([name]) => name === 'keep-alive')?.[1]
  const seconds = /timeout=(\d+)/.exec(value ?? '')?.[1]
  return seconds === undefined ? undefined : Number(seconds) * MS_PER_S
}

/**
 * Whether a connection that has ended was reset: Node.js reports a reset that it reads together with data as an end, but the
 * socket has no peer then. To be asked once, as Node.js remembers a peer that it has seen.
 */
const wasReset = (socket: Socket) => socket.remoteAddress === undefined

/**
 * Opens a connection to an upstream.
 *
 * @example
 * const connection = openConnection({ host: '10.0.0.1', port: 80, clock, onIdle, onClosed })
 * connection.send(request, event => { ... })
 */
export const openConnection = (
  { host, port, clock, connectTimeoutMs = CONNECT_TIMEOUT_MS, bodyBytesMax = RESPONSE_BODY_BYTES_MAX, onIdle, onClosed, onClosedEarly }: ConnectionOptions
): Connection => {
  let state = ConnectionState.Connecting
  let exchange: Exchange | undefined
  let reusableUntilMs = 0
  let idleSinceMs = 0
  let idleLimitMs = IDLE_REUSE_MAX_MS
  let settleTimer: NodeJS.Timeout | undefined
  // Its own side stays open after the end of the other one, as a reset shows only until both have ended.
  const socket: Socket = connect({ host, port, noDelay: true, allowHalfOpen: true })

  const close = () => {
    if (state === ConnectionState.Closed) return
    state = ConnectionState.Closed
    clearTimeout(connectTimer)
    clearTimeout(settleTimer)
    reading.reset()
    socket.destroy()
    onClosed()
  }

  const fail = (fault: ExchangeFault, endedAtMs?: TimestampMs) => {
    const failed = exchange
    exchange = undefined
    close()
    failed?.emit({ kind: ExchangeEventKind.Failed, fault, hasLeft: failed.hasLeft, ...(endedAtMs === undefined ? {} : { endedAtMs }) })
  }

  const connectTimer = setTimeout(() => fail(ExchangeFault.NotConnected), connectTimeoutMs)

  const finish = () => {
    const { reader, emit } = exchange!
    exchange = undefined
    // If the response completed before the request was fully sent, the rest of the request is still in the buffer.
    if (!reader.keepsAlive || reading.hasUnparsed || socket.writableLength > 0 || socket.readableEnded) close()
    else {
      reading.reset()
      state = ConnectionState.Idle
      idleSinceMs = clock.nowMs()
      reusableUntilMs = idleSinceMs + idleLimitMs
      onIdle()
    }
    emit({ kind: ExchangeEventKind.Finished })
  }

  const write = () => {
    if (exchange === undefined) return
    exchange.hasLeft = true
    const { bytes, largeBody } = exchange.request
    socket.cork()
    socket.write(bytes)
    if (largeBody !== undefined) socket.write(largeBody)
    socket.uncork()
  }

  const onHead = (head: ResponseHeadRaw) => {
    const announcedMs = announcedIdleMs(head.headers)
    idleLimitMs = announcedMs === undefined ? IDLE_REUSE_MAX_MS : Math.min(IDLE_REUSE_MAX_MS, announcedMs - IDLE_MARGIN_MS)
    exchange?.emit({ kind: ExchangeEventKind.Head, head })
  }

  socket.on('connect', () => {
    clearTimeout(connectTimer)
    if (state !== ConnectionState.Connecting) return
    state = ConnectionState.Busy
    write()
  })
  /** Shows a reader that is complete what was received together with the end of its response. */
  const readRest = ({ reader }: Exchange) =>
    reader.isComplete && reading.unparsed !== undefined ? reader.read(reading.unparsed) : undefined

  const parse = (bytes: Buffer) => {
    // Bytes on an idle connection belong to no request.
    if (exchange === undefined) return close()
    const running = exchange
    const fault = running.reader.read(bytes) ?? readRest(running)
    if (exchange !== running) return
    if (fault !== undefined) fail(fault)
    else if (running.reader.isComplete) finish()
  }
  const reading = createPacedReading({ socket, parse })

  /**
   * Handles the end of a connection behind a response without framing. An upstream that gives a request up may close its side
   * first and reset the connection then, as it does if a part of the request is left unread.
   */
  const endUnframed = (ended: Exchange) => {
    // It has answered before it can have read the request.
    if (socket.writableLength > 0) return fail(ExchangeFault.ConnectionLost)
    const endedAtMs = clock.nowMs()
    settleTimer = setTimeout(() => {
      if (exchange === ended) fail(wasReset(socket) ? ExchangeFault.ConnectionLost : ExchangeFault.UnframedEnd, endedAtMs)
    }, END_SETTLE_MS)
  }

  const endResponse = (ended: Exchange) => {
    const fault = ended.reader.end()
    if (fault === undefined) finish()
    else if (fault === ExchangeFault.UnframedEnd) endUnframed(ended)
    else fail(wasReset(socket) ? ExchangeFault.ConnectionLost : fault)
  }

  const onIdleClosed = () => {
    const isEarly = state === ConnectionState.Idle && clock.nowMs() - idleSinceMs < EARLY_CLOSE_MS
    close()
    if (isEarly) onClosedEarly()
  }
  socket.on('end', () => {
    if (exchange === undefined) return onIdleClosed()
    // The end is reported even while a part of the last read waits to be parsed.
    reading.flush()
    if (exchange !== undefined) endResponse(exchange)
  })
  const onLost = () => {
    if (exchange === undefined) return onIdleClosed()
    // What was read before may complete the response.
    reading.flush()
    fail(exchange?.hasLeft === true ? ExchangeFault.ConnectionLost : ExchangeFault.NotConnected)
  }
  socket.on('error', onLost)
  socket.on('close', onLost)

  return {
    get state () { return state },
    get idleSinceMs () { return idleSinceMs },
    get reusableUntilMs () { return reusableUntilMs },
    send: (request, emit) => {
      const started: Exchange = {
        request,
        emit,
        hasLeft: false,
        reader: createResponseReader({
          isHeadRequest: request.isHeadRequest,
          bodyBytesMax,
          onHead,
          onBody: bytes => emit({ kind: ExchangeEventKind.Body, bytes })
        })
      }
      exchange = started
      if (state !== ConnectionState.Idle) return
      state = ConnectionState.Busy
      write()
    },
    setPaused: reading.setPaused,
    destroy: () => {
      exchange = undefined
      close()
    }
  }
}
