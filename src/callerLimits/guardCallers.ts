import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { type Clock, createByteBuffer } from '../core/index.js'
import { BodyRefusal, BudgetMessageKind, CloseReason, HeldKind, REQUEST_COST_BYTES, WRITE_COST_BYTES } from './constants.js'
import { createCollector } from './createCollector.js'
import { createCallerBudget } from './createCallerBudget.js'
import type { BudgetMessage, BudgetLimits, CloseEffect } from './types.js'

/** How a body is received, and what follows. */
export interface BodyReception {
  bytesMax: number
  /** Time from now within which the body must be complete; no limit if undefined. */
  remainingMs: number | undefined
  onBody: (body: Buffer) => void
  /** The body will not be used; the connection must be closed after the refusal. */
  onRefuse: (refusal: BodyRefusal) => void
}

/** What one request of a caller makes the process hold; given back when its response has closed. */
export interface RequestGuard {
  receiveBody (reception: BodyReception): void
  /** Reads and drops the body of a refused request; closes the connection if it exceeds these bounds. */
  discardBody (bounds: { bytesMax: number, remainingMs: number }): void
  /** The body is no longer kept for a retry. */
  releaseBody (): void
  /** Counts bytes of a response that are held until it is complete. */
  holdResponse (bytes: number): void
  /** Held bytes are written now, or dropped. */
  releaseResponse (bytes: number): void
  /** Writes a part of the response, which counts until the operating system has taken it. */
  write (bytes: Uint8Array, onTaken?: () => void): void
  /** Memory of the response that is held or was not taken yet. */
  readonly unreadBytes: number
}

/** The connections of callers at one server, within the budget of the process. */
export interface CallerGuard {
  /** `onGone` is called if the connection closes before the response has been written. */
  guard (request: IncomingMessage, response: ServerResponse, onGone: () => void): RequestGuard
  readonly heldBytes: number
  readonly connectionCount: number
  /** Connections that gave way since the start, by reason. */
  readonly closed: Readonly<Record<CloseReason, number>>
  /** Bodies that were refused since the start, by reason. */
  readonly refused: Readonly<Record<BodyRefusal, number>>
}

export interface CallerGuardOptions {
  server: Server
  clock: Clock
  limits: BudgetLimits
  onClosed: (reason: CloseReason, state: { heldBytes: number, connections: number }) => void
  onRefused: (refusal: BodyRefusal) => void
}

interface Connection {
  connectionId: number
  socket: Socket
  /** Refuse the bodies that are being received on the connection. */
  refusers: Set<(refusal: BodyRefusal) => void>
  /** End the requests that have not ended when the connection closes. */
  enders: Set<() => void>
}

const countsOf = <Key extends string>(keys: readonly Key[]) => Object.fromEntries(keys.map(key => [key, 0])) as Record<Key, number>

const headBytesOf = ({ rawHeaders, url = '' }: IncomingMessage): number => rawHeaders.reduce((sum, text) => sum + text.length, url.length)

/**
 * Watches the connections of a server and closes those that the budget gives up.
 *
 * @example
 * const callers = guardCallers({ server, clock, limits, onClosed, onRefused })
 * callers.guard(request, response, onGone).receiveBody({ bytesMax, remainingMs, onBody, onRefuse })
 */
export const guardCallers = ({ server, clock, limits, onClosed, onRefused }: CallerGuardOptions): CallerGuard => {
  const budget = createCallerBudget({ clock, limits })
  const collector = createCollector({ clock, memoryBytes: limits.memoryBytes })
  const bySocket = new WeakMap<Socket, Connection>()
  const byId = new Map<number, Connection>()
  const closed = countsOf(Object.values(CloseReason))
  const refused = countsOf(Object.values(BodyRefusal))
  let nextId = 1

  const perform = ({ connectionId, reason }: CloseEffect) => {
    closed[reason] += 1
    onClosed(reason, { heldBytes: budget.heldBytes, connections: budget.connectionCount })
    const connection = byId.get(connectionId)
    if (connection === undefined) return
    // A request whose body is incomplete has not run, and its caller is told so.
    if (connection.refusers.size > 0) [...connection.refusers].forEach(refuse => refuse(BodyRefusal.BudgetSpent))
    else {
      connection.socket.resetAndDestroy()
      // The socket emits its end only after all others have been read, so that these requests would receive more.
      connection.enders.forEach(end => end())
    }
  }
  const post = (message: BudgetMessage) => budget.handle(message).forEach(perform)

  const track = (socket: Socket): Connection => {
    const connectionId = nextId++
    const connection: Connection = { connectionId, socket, refusers: new Set(), enders: new Set() }
    bySocket.set(socket, connection)
    byId.set(connectionId, connection)
    socket.on('close', () => {
      byId.delete(connectionId)
      // The server emits no event for responses that wait behind another one.
      connection.enders.forEach(end => end())
      post({ kind: BudgetMessageKind.Closed, connectionId })
    })
    post({ kind: BudgetMessageKind.Opened, connectionId })
    return connection
  }
  server.on('connection', track)

  const guard = (request: IncomingMessage, response: ServerResponse, onGone: () => void): RequestGuard => {
    const connection = bySocket.get(request.socket) ?? track(request.socket)
    const { connectionId, refusers, enders } = connection
    const held: Record<HeldKind, number> = { [HeldKind.Body]: 0, [HeldKind.InFlight]: 0, [HeldKind.Response]: 0, [HeldKind.Request]: 0 }

    const hold = (kind: HeldKind, bytes: number) => {
      if (bytes <= 0) return
      held[kind] += bytes
      post({ kind: BudgetMessageKind.Held, connectionId, held: kind, bytes })
    }
    const release = (kind: HeldKind, bytes: number) => {
      const released = Math.min(bytes, held[kind])
      if (released <= 0) return
      held[kind] -= released
      post({ kind: BudgetMessageKind.Released, connectionId, held: kind, bytes: released })
      collector.recordReleased(released)
    }

    post({ kind: BudgetMessageKind.RequestStarted, connectionId })
    hold(HeldKind.Request, REQUEST_COST_BYTES + headBytesOf(request))
    const end = () => {
      if (!enders.delete(end)) return
      for (const kind of Object.values(HeldKind)) release(kind, held[kind])
      post({ kind: BudgetMessageKind.RequestEnded, connectionId })
      if (!response.writableFinished) onGone()
    }
    enders.add(end)
    response.on('close', end)

    const receiveBody = ({ bytesMax, remainingMs, onBody, onRefuse }: BodyReception) => {
      const body = createByteBuffer()
      let isOver = false
      let timer: NodeJS.Timeout | undefined

      const stop = () => {
        isOver = true
        clearTimeout(timer)
        refusers.delete(refuse)
        body.clear()
        release(HeldKind.Body, held[HeldKind.Body])
      }
      const refuse = (refusal: BodyRefusal) => {
        if (isOver) return
        stop()
        refused[refusal] += 1
        onRefused(refusal)
        onRefuse(refusal)
      }

      // Node's parser accepts only digits here.
      if (Number(request.headers['content-length'] ?? 0) > bytesMax) return refuse(BodyRefusal.TooLarge)
      refusers.add(refuse)
      if (remainingMs !== undefined) timer = setTimeout(() => refuse(BodyRefusal.Deadline), Math.max(1, remainingMs))
      request.on('data', (chunk: Buffer) => {
        collector.recordRead(chunk.length)
        if (isOver) return
        if (body.length + chunk.length > bytesMax) return refuse(BodyRefusal.TooLarge)
        hold(HeldKind.Body, body.add(chunk))
      })
      request.on('end', () => {
        if (isOver) return
        // The connection gave way when this request's head was counted.
        if (request.socket.destroyed) return stop()
        hold(HeldKind.InFlight, body.length)
        if (isOver) return
        const joined = body.join()
        stop()
        onBody(joined)
      })
      request.on('close', () => { if (!isOver) stop() })
    }

    const discardBody = ({ bytesMax, remainingMs }: { bytesMax: number, remainingMs: number }) => {
      let bytes = 0
      const timer = setTimeout(() => request.socket.destroy(), remainingMs)
      request.on('data', (chunk: Buffer) => {
        bytes += chunk.length
        if (bytes > bytesMax) request.socket.destroy()
      })
      const stop = () => clearTimeout(timer)
      request.on('end', stop)
      request.on('close', stop)
    }

    return {
      receiveBody,
      discardBody,
      releaseBody: () => release(HeldKind.InFlight, held[HeldKind.InFlight]),
      holdResponse: bytes => hold(HeldKind.Response, bytes),
      releaseResponse: bytes => release(HeldKind.Response, bytes),
      write: (bytes, onTaken) => {
        const costBytes = bytes.length + WRITE_COST_BYTES
        hold(HeldKind.Response, costBytes)
        response.write(bytes, () => {
          release(HeldKind.Response, costBytes)
          onTaken?.()
        })
      },
      get unreadBytes () { return held[HeldKind.Response] }
    }
  }

  return {
    guard,
    get heldBytes () { return budget.heldBytes },
    get connectionCount () { return budget.connectionCount },
    closed,
    refused
  }
}
