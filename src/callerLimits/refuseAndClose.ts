import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http'
import { LINGER_BYTES_MAX, LINGER_MS } from './constants.js'

/**
 * Sends a refusal while the caller still sends its body, and closes the connection. Closed at once, it would be reset by the
 * bytes that nobody reads, and the caller could lose the refusal.
 *
 * @example
 * refuseAndClose(request, response, 413, { 'content-type': 'application/json' }, body)
 */
export const refuseAndClose = (
  request: IncomingMessage, response: ServerResponse, status: number, headers: OutgoingHttpHeaders, body: Buffer
) => {
  response.writeHead(status, { ...headers, 'content-length': body.length, connection: 'close' })
  response.write(body)
  const finish = () => {
    clearTimeout(timer)
    response.end()
  }
  const timer = setTimeout(() => {
    response.end()
    // Responses before this one may not be read.
    setTimeout(() => request.socket.destroy(), LINGER_MS).unref()
  }, LINGER_MS)
  response.on('close', () => clearTimeout(timer))
  if (request.complete) return finish()
  request.on('end', finish)
  let readBytes = 0
  request.on('data', ({ length }: Buffer) => {
    readBytes += length
    if (readBytes > LINGER_BYTES_MAX) request.pause()
  })
}
