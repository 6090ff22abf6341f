/** What has come of a response, as its bytes were received. */
export interface WireResponse {
  status: number
  /** Headers by their names in lower case. */
  headers: Record<string, string>
  body: string
  /** Whether its framing states its end, and the end is there. */
  isWhole: boolean
  /** Whether only the end of its connection can end it. */
  isUnframed: boolean
}

const HEAD_END = '\r\n\r\n'
const CHUNK_SIZE_LINE = /^([0-9a-f]+)\r\n/i
const LINE_END_BYTES = 2

/** Decodes a body in chunks; `isWhole` says whether its last chunk is there. */
const decodeChunks = (text: string): { body: string, isWhole: boolean } => {
  let body = ''
  let rest = text
  for (;;) {
    const size = CHUNK_SIZE_LINE.exec(rest)
    if (size === null) return { body, isWhole: false }
    const bytes = parseInt(size[1]!, 16)
    const data = rest.slice(size[0].length, size[0].length + bytes)
    if (bytes === 0) return { body, isWhole: rest === '0\r\n\r\n' }
    body += data
    if (data.length < bytes) return { body, isWhole: false }
    rest = rest.slice(size[0].length + bytes + LINE_END_BYTES)
  }
}

const parseHeaders = (lines: readonly string[]): Record<string, string> => Object.fromEntries(lines.map(line => {
  const at = line.indexOf(':')
  return [line.slice(0, at).toLowerCase(), line.slice(at + 1).trim()]
}))

/**
 * Reads what has come of a response, one character a byte; undefined before the end of its head.
 *
 * @example
 * parseWireResponse('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')?.isWhole // true
 */
export const parseWireResponse = (text: string): WireResponse | undefined => {
  const headBytes = text.indexOf(HEAD_END)
  if (headBytes < 0) return undefined
  const [statusLine = '', ...lines] = text.slice(0, headBytes).split('\r\n')
  const rest = text.slice(headBytes + HEAD_END.length)
  const headers = parseHeaders(lines)
  const status = Number(statusLine.split(' ', 2)[1])
  if (headers['transfer-encoding'] === 'chunked') return { status, headers, isUnframed: false, ...decodeChunks(rest) }
  const length = headers['content-length']
  return { status, headers, body: rest, isWhole: length !== undefined && rest.length === Number(length), isUnframed: length === undefined }
}
