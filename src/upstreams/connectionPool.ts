import type { Clock } from '../core/index.js'
import { ConnectionState, IDLE_CONNECTIONS_MAX, type ReadPause } from './constants.js'
import { type Connection, openConnection } from './connection.js'
import { encodeRequest } from './encodeRequest.js'
import { ConnectionUse, type ExchangeEvent, type OutgoingRequest } from './types.js'

/** Cancels an exchange and closes its connection when called. */
export type ExchangeControl = (() => void) & {
  /** Stops reading the response, or continues once nobody holds it back; does nothing once the exchange has ended. */
  setPaused (pause: ReadPause, isPaused: boolean): void
}

/** Manages the connections of this process to one address. */
export interface ConnectionPool {
  /**
   * Starts an exchange and returns its control.
   *
   * @throws UnsendableRequestError if the head of the request cannot be encoded; nothing was sent
   */
  send (request: OutgoingRequest, use: ConnectionUse, emit: (event: ExchangeEvent) => void): ExchangeControl
  readonly openedCount: number
  /** Closes the connections that are idle now, which may be broken. */
  discardIdle (): void
  /** Closes idle connections; exchanges in flight finish first, then their connections close too. */
  closeIdle (): void
  close (): void
}

export interface ConnectionPoolOptions {
  /** `ip:port` of the upstream. */
  address: string
  clock: Clock
  connectTimeoutMs?: number
  /** See `ResponseReaderOptions`. */
  bodyBytesMax?: number
  /** Time for which a connection must be idle before it is reused, as the upstream may close it right after a response. */
  reuseAfterMs?: number
  /** Called when the upstream has closed an idle connection right after a response. */
  onClosedEarly?: () => void
}

/**
 * Creates a connection pool for one upstream address.
 *
 * @example
 * const pool = createConnectionPool({ address: '10.0.0.1:80', clock })
 * const cancel = pool.send(request, ConnectionUse.Reuse, event => { ... })
 */
export const createConnectionPool = (
  { address, clock, connectTimeoutMs, bodyBytesMax, reuseAfterMs = 0, onClosedEarly = () => {} }: ConnectionPoolOptions
): ConnectionPool => {
  const separatorAt = address.lastIndexOf(':')
  const host = address.slice(0, separatorAt)
  const port = Number(address.slice(separatorAt + 1))
  const connections = new Set<Connection>()
  let isRetired = false
  let openedCount = 0

  const idleConnections = () => [...connections].filter(({ state }) => state === ConnectionState.Idle)

  const open = (): Connection => {
    openedCount += 1
    const connection = openConnection({
      host,
      port,
      clock,
      ...(connectTimeoutMs === undefined ? {} : { connectTimeoutMs }),
      ...(bodyBytesMax === undefined ? {} : { bodyBytesMax }),
      onIdle: () => {
        if (isRetired || idleConnections().length > IDLE_CONNECTIONS_MAX) connection.destroy()
      },
      onClosed: () => { connections.delete(connection) },
      onClosedEarly
    })
    connections.add(connection)
    return connection
  }

  /** Picks the most recently used connection, which the upstream is least likely to have closed. */
  const takeIdleConnection = (): Connection | undefined => {
    const nowMs = clock.nowMs()
    let best: Connection | undefined
    for (const connection of idleConnections()) {
      if (connection.reusableUntilMs <= nowMs) connection.destroy()
      else if (nowMs - connection.idleSinceMs < reuseAfterMs) continue
      else if (best === undefined || connection.reusableUntilMs > best.reusableUntilMs) best = connection
    }
    return best
  }

  return {
    send: (request, use, emit) => {
      const encoded = encodeRequest(request)
      const connection = (use === ConnectionUse.Reuse ? takeIdleConnection() : undefined) ?? open()
      let hasEnded = false
      connection.send(encoded, event => {
        hasEnded = event.kind === 'finished' || event.kind === 'failed'
        emit(event)
      })
      return Object.assign(() => { if (!hasEnded) connection.destroy() }, {
        setPaused: (pause: ReadPause, isPaused: boolean) => { if (!hasEnded) connection.setPaused(pause, isPaused) }
      })
    },
    get openedCount () { return openedCount },
    discardIdle: () => idleConnections().forEach(connection => connection.destroy()),
    closeIdle: () => {
      isRetired = true
      idleConnections().forEach(connection => connection.destroy())
    },
    close: () => {
      isRetired = true
      for (const connection of [...connections]) connection.destroy()
    }
  }
}
