import type { Server, Socket } from 'node:net'

/** The connections of a server that still have bytes to write. */
export interface UnsentConnections {
  /** Connections with bytes that the operating system has not taken yet, for instance as their callers read slowly. */
  readonly count: number
}

/**
 * Tracks the connections of a server. An HTTP server itself takes a connection for idle as soon as its response has ended,
 * even if most of it is not written yet.
 *
 * @example
 * const unsent = trackUnsent(server)
 * if (unsent.count === 0) server.closeIdleConnections()
 */
export const trackUnsent = (server: Server): UnsentConnections => {
  const sockets = new Set<Socket>()
  server.on('connection', socket => {
    sockets.add(socket)
    socket.on('close', () => { sockets.delete(socket) })
  })
  return {
    get count () { return [...sockets].filter(({ writableLength }) => writableLength > 0).length }
  }
}
