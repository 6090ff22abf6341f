import { HTTPParser } from 'http-parser-js'
import { ExchangeFault, FRAMING_HEADERS, RESPONSE_BODY_BYTES_MAX, RESPONSE_FRAMING_BYTES_MAX } from './constants.js'
import { isFieldLine, isFieldValue, isFoldedLine } from './headerFields.js'
import type { HeaderField, ResponseHeadRaw } from './types.js'

/** Keeps all eight bits of each byte, so that header values are passed on as they came. */
HTTPParser.encoding = 'latin1'

export interface ResponseReaderOptions {
  /** A response to HEAD has no body, regardless of its headers. */
  isHeadRequest: boolean
  onHead: (head: ResponseHeadRaw) => void
  /** Called at most once for each read, with all parts of the body that it holds. */
  onBody: (bytes: Uint8Array) => void
}

/** Parses exactly one response from the bytes of a connection. */
export interface ResponseReader {
  /** Returns a fault if the bytes are not a valid response. */
  read (bytes: Buffer): ExchangeFault | undefined
  /** Handles the end of the connection; returns a fault if the response is incomplete. */
  end (): ExchangeFault | undefined
  readonly isComplete: boolean
  /** Whether bytes followed the response; they belong to no request, so the connection cannot be reused. */
  readonly hasExtraBytes: boolean
  /** Whether the connection can be reused after the response. */
  readonly keepsAlive: boolean
}

/** Never asked for, so that the bytes behind it belong to no protocol that is spoken here. */
const SWITCHING_PROTOCOLS = 101
const FIRST_FINAL_STATUS = 200
/** Returned to the parser to indicate that the response has no body. */
const SKIP_BODY = 1

/** Members of the parser that the type declarations of the library omit. */
interface ParserInternals {
  /** Position in the current bytes. */
  offset: number
  end: number
  /** Handler of the status line. */
  RESPONSE_LINE: () => void
  /** Handler of the line with the size of a chunk. */
  BODY_CHUNKHEAD: () => void
  /** Returns the next complete line, or undefined if there is none. */
  consumeLine (): string | undefined
  line: string
  /** Adds the header of a line, or appends the line to the header before it. */
  parseHeader (line: string, headers: string[]): void
}

/** Lines that are stricter here than in the library, by the handler that reads them. */
const LINE_PATTERNS = {
  // The library takes the first three digits of a longer status.
  RESPONSE_LINE: /^HTTP\/1\.\d [1-5]\d\d(?: .*)?$/,
  // The library takes a line without a size for the last chunk, so that a broken response would look complete.
  BODY_CHUNKHEAD: /^[0-9a-f]+[ \t]*(;.*)?$/i
} as const

/** Empty lines before a status line are skipped. */
const isSkipped = (handlerName: keyof typeof LINE_PATTERNS, line: string) => handlerName === 'RESPONSE_LINE' && line === ''

/** Rejects the lines of one kind that are not of their form, before the library reads them. */
const rejectInvalidLines = (parser: ParserInternals, handlerName: keyof typeof LINE_PATTERNS) => {
  const readLine = parser[handlerName]
  parser[handlerName] = () => {
    const line = parser.consumeLine()
    if (line === undefined) return
    if (!isSkipped(handlerName, line) && !LINE_PATTERNS[handlerName].test(line)) throw new SyntaxError(`invalid line: ${handlerName}`)
    // Hands the line back to the library.
    parser.consumeLine = () => {
      Reflect.deleteProperty(parser, 'consumeLine')
      return line
    }
    readLine.call(parser)
  }
}

/** The library skips lines that are no header and accepts any byte in a value, so that a broken head would look valid. */
const rejectInvalidHeaders = (parser: ParserInternals) => {
  const { parseHeader } = parser
  parser.parseHeader = (line, headers) => {
    const isValid = isFieldLine(line) || (headers.length > 0 && isFoldedLine(line))
    if (!isValid) throw new SyntaxError('invalid header')
    parseHeader.call(parser, line, headers)
  }
}

const isStatusValid = ({ statusCode, statusMessage }: { statusCode: number, statusMessage: string }) =>
  statusCode !== SWITCHING_PROTOCOLS && isFieldValue(statusMessage)

const toFields = (flat: readonly string[]): HeaderField[] => {
  const fields: HeaderField[] = []
  for (let i = 0; i + 1 < flat.length; i += 2) fields.push([flat[i]!.toLowerCase(), flat[i + 1]!.trim()])
  return fields
}

const valuesOf = (fields: readonly HeaderField[], name: string) => fields.filter(([key]) => key === name).map(([, value]) => value)

/** With two different lengths, or a length and a transfer encoding, the end of the response is ambiguous. */
const isFramedTwice = (fields: readonly HeaderField[]): boolean => {
  const lengths = new Set(valuesOf(fields, 'content-length'))
  if (lengths.size > 1 || [...lengths].some(length => !/^\d+$/.test(length))) return true
  return lengths.size > 0 && valuesOf(fields, 'transfer-encoding').length > 0
}

/**
 * Joins the parts of the body in one read. They are copied if they are less than half of what was read, as they would keep the
 * rest of it in memory.
 */
const joinParts = (parts: readonly Uint8Array[], readBytes: number): Uint8Array | undefined => {
  const [first, ...others] = parts
  if (first === undefined) return undefined
  return others.length === 0 && 2 * first.length >= readBytes ? first : Buffer.concat(parts)
}

/**
 * Creates a reader for one response, based on the HTTP parser library.
 *
 * @example
 * const reader = createResponseReader({ isHeadRequest: false, onHead, onBody })
 * socket.on('data', bytes => reader.read(bytes))
 */
export const createResponseReader = ({ isHeadRequest, onHead, onBody }: ResponseReaderOptions): ResponseReader => {
  const parser = new HTTPParser(HTTPParser.RESPONSE)
  const internals = parser as unknown as ParserInternals
  parser.maxHeaderSize = RESPONSE_FRAMING_BYTES_MAX
  rejectInvalidLines(internals, 'RESPONSE_LINE')
  rejectInvalidLines(internals, 'BODY_CHUNKHEAD')
  rejectInvalidHeaders(internals)
  let hasFinalHead = false
  let isFramed = false
  let isComplete = false
  let hasExtraBytes = false
  let keepsAlive = false
  let bodyBytes = 0
  let framingBytes = 0
  let fault: ExchangeFault | undefined
  let bodyParts: Uint8Array[] = []

  parser[HTTPParser.kOnHeadersComplete] = info => {
    const { statusCode, headers, shouldKeepAlive } = info
    // Bytes after the final response are ignored.
    if (isComplete) return SKIP_BODY
    if (!isStatusValid(info)) {
      fault = ExchangeFault.MalformedResponse
      return SKIP_BODY
    }
    // Interim responses have no body.
    if (statusCode < FIRST_FINAL_STATUS) return SKIP_BODY
    const fields = toFields(headers)
    if (isFramedTwice(fields)) fault = ExchangeFault.MalformedResponse
    hasFinalHead = true
    isFramed = FRAMING_HEADERS.some(name => valuesOf(fields, name).length > 0)
    keepsAlive = shouldKeepAlive
    if (fault === undefined) onHead({ status: statusCode, headers: fields })
    return isHeadRequest ? SKIP_BODY : undefined
  }
  parser[HTTPParser.kOnBody] = (bytes, offset, length) => {
    if (isComplete || fault !== undefined) return
    bodyBytes += length
    if (bodyBytes > RESPONSE_BODY_BYTES_MAX) fault = ExchangeFault.ResponseTooLarge
    else bodyParts.push(bytes.subarray(offset, offset + length))
  }
  parser[HTTPParser.kOnMessageComplete] = () => {
    // An interim response (1xx) completes before the final head.
    if (!hasFinalHead || isComplete) return
    isComplete = true
    hasExtraBytes = internals.offset < internals.end
  }

  const deliverBody = (readBytes: number) => {
    const joined = joinParts(bodyParts, readBytes)
    bodyParts = []
    if (joined !== undefined) onBody(joined)
  }

  const read = (bytes: Buffer): ExchangeFault | undefined => {
    if (isComplete) {
      hasExtraBytes = true
      return undefined
    }
    const bodyBytesBefore = bodyBytes
    const consumed = parser.execute(bytes)
    deliverBody(bytes.length)
    if (isComplete) return fault
    const received = bodyBytes - bodyBytesBefore
    framingBytes = bytes.length - received + (received > 0 ? 0 : framingBytes)
    // The library limits only headers, and only those of one interim response.
    if (framingBytes > RESPONSE_FRAMING_BYTES_MAX) fault ??= ExchangeFault.ResponseTooLarge
    if (typeof consumed !== 'number') fault ??= ExchangeFault.MalformedResponse
    return fault
  }

  return {
    read,
    end: () => {
      if (isComplete) return undefined
      if (fault !== undefined) return fault
      if (!hasFinalHead) return ExchangeFault.ConnectionLost
      return isFramed ? ExchangeFault.Truncated : ExchangeFault.UnframedEnd
    },
    get isComplete () { return isComplete },
    get hasExtraBytes () { return hasExtraBytes },
    get keepsAlive () { return keepsAlive && !hasExtraBytes }
  }
}
