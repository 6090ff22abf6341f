// A client that sees the bytes of a response and how its connection ended.
import { connect } from 'node:net'

/** How a response ended. */
export const ResponseEnd = {
  /** All bytes that its length or its chunks announce have arrived. */
  Complete: 'complete',
  /** It has neither a length nor chunks, and its connection was closed without a reset. */
  Closed: 'closed',
  /** Bytes that its length or its chunks announce are missing, or its connection was reset. */
  BrokenOff: 'broken off',
  /** The client gave up waiting. */
  TimedOut: 'timed out'
}

/** Splits the bytes of a chunked body; `isLast` once the last chunk has arrived. */
const readChunks = bytes => {
  const parts = []
  for (let at = 0; ;) {
    const lineEnd = bytes.indexOf('\r\n', at)
    if (lineEnd < 0) return { body: Buffer.concat(parts), isLast: false }
    const size = parseInt(bytes.toString('latin1', at, lineEnd), 16)
    const end = lineEnd + 2 + size
    if (size === 0) return { body: Buffer.concat(parts), isLast: bytes.length >= end + 2 }
    if (bytes.length < end + 2) return { body: Buffer.concat([...parts, bytes.subarray(lineEnd + 2, end)]), isLast: false }
    parts.push(bytes.subarray(lineEnd + 2, end))
    at = end + 2
  }
}

const parseHead = bytes => {
  const headEnd = bytes.indexOf('\r\n\r\n')
  if (headEnd < 0) return undefined
  const [statusLine, ...lines] = bytes.toString('latin1', 0, headEnd).split('\r\n')
  const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  return { status: Number(statusLine.split(' ')[1]), headers, rest: bytes.subarray(headEnd + 4) }
}

const parseResponse = bytes => {
  const head = parseHead(bytes)
  if (head === undefined) return undefined
  const { status, headers, rest } = head
  if (headers['transfer-encoding'] === 'chunked') {
    const { body, isLast } = readChunks(rest)
    return { status, headers, body, isFramed: true, isWhole: isLast }
  }
  const length = headers['content-length']
  return { status, headers, body: rest, isFramed: length !== undefined, isWhole: length !== undefined && rest.length >= Number(length) }
}

/**
 * Sends one request on a connection of its own. `onSocket` gets the connection, for a client that reads slowly.
 *
 * @example
 * const { status, body, end } = await sendRequest({ address, path: '/look/1', attemptId: 'a1', timeoutMs: 3_000 })
 */
export const sendRequest = ({ address, method = 'GET', path, attemptId, key = 'key-a', headers = {}, body = '', deadlineMs = 2_500, timeoutMs, onSocket, onBytes }) =>
  new Promise(resolve => {
    const [host, port] = address.split(':')
    const socket = connect({ host, port: Number(port), noDelay: true })
    const startedMs = performance.now()
    const chunks = []
    let hasFinished = false
    const finish = (endOf, isReset = false) => {
      if (hasFinished) return
      hasFinished = true
      clearTimeout(timer)
      socket.destroy()
      const response = parseResponse(Buffer.concat(chunks))
      resolve({ status: 0, headers: {}, body: Buffer.alloc(0), ...response, end: endOf(response), isReset, tookMs: performance.now() - startedMs })
    }
    const endOfConnection = response => response === undefined ? ResponseEnd.BrokenOff : response.isWhole ? ResponseEnd.Complete : response.isFramed ? ResponseEnd.BrokenOff : ResponseEnd.Closed
    const timer = setTimeout(() => finish(() => ResponseEnd.TimedOut), timeoutMs)
    const fields = {
      Host: 'site.example',
      'Attempt-Id': attemptId,
      'Deadline-Remaining': deadlineMs,
      ...(key === undefined ? {} : { Credential: key }),
      ...(method === 'POST' ? { 'Content-Length': Buffer.byteLength(body) } : {}),
      ...headers
    }
    const head = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`).join('')
    socket.write(`${method} ${path} HTTP/1.1\r\n${head}\r\n${body}`)
    socket.on('data', bytes => {
      chunks.push(bytes)
      onBytes?.(bytes)
      if (bytes.length < 65_536 && parseResponse(Buffer.concat(chunks))?.isWhole === true) finish(endOfConnection)
    })
    socket.on('end', () => finish(endOfConnection))
    socket.on('error', () => finish(() => ResponseEnd.BrokenOff, true))
    onSocket?.(socket)
  })

/** Ids of the complete events of a stream. */
export const eventIds = body => [...body.toString('utf8').matchAll(/^id: (\d+)\n(?:.+\n)*\n/gm)].map(([, id]) => Number(id))
