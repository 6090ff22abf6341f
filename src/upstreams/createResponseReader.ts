import { HTTPParser } from 'http-parser-js'
import { ExchangeFault, RESPONSE_BODY_BYTES_MAX, RESPONSE_FRAMING_BYTES_MAX } from './constants.js'
import { hasNoBody, isHeadValid, isInterim, statesEnd } from './responseFraming.js'
import { createStrictParser } from './strictParser.js'
import type { HeaderField, ResponseHeadRaw } from './types.js'

export interface ResponseReaderOptions {
  /** A response to HEAD has no body, regardless of its headers. */
  isHeadRequest: boolean
  /** Limit of the body; RESPONSE_BODY_BYTES_MAX unless stated otherwise. */
  bodyBytesMax?: number
  onHead: (head: ResponseHeadRaw) => void
  /** Called at most once for each read, with all parts of the body that it holds. */
  onBody: (bytes: Uint8Array) => void
}

/** Parses exactly one response from the bytes of a connection. */
export interface ResponseReader {
  /**
   * Returns a fault if the bytes are not a valid response. After a complete response it takes the bytes that were received
   * together with it.
   */
  read (bytes: Buffer): ExchangeFault | undefined
  /** Handles the end of the connection; returns a fault if the response is incomplete. */
  end (): ExchangeFault | undefined
  readonly isComplete: boolean
  /** Whether bytes followed the response; they belong to no request, so the connection cannot be reused. */
  readonly hasExtraBytes: boolean
  /** Whether the connection can be reused after the response. */
  readonly keepsAlive: boolean
}

/** Returned to the parser to indicate that the response has no body. */
const SKIP_BODY = 1

/** How another response begins that follows on the same connection. */
const NEXT_RESPONSE_START = 'HTTP/1.'

/** The library strips blanks and tabs around a value, as HTTP does; other white space belongs to it. */
const toFields = (flat: readonly string[]): HeaderField[] => {
  const fields: HeaderField[] = []
  for (let i = 0; i + 1 < flat.length; i += 2) fields.push([flat[i]!.toLowerCase(), flat[i + 1]!])
  return fields
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
export const createResponseReader = (
  { isHeadRequest, bodyBytesMax = RESPONSE_BODY_BYTES_MAX, onHead, onBody }: ResponseReaderOptions
): ResponseReader => {
  const parser = createStrictParser()
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
    const { versionMinor, statusCode: status, statusMessage: reason, headers, shouldKeepAlive } = info
    // Bytes after the final response are not parsed.
    if (isComplete) return SKIP_BODY
    const fields = toFields(headers)
    if (!isHeadValid({ versionMinor, status, reason, fields })) fault = ExchangeFault.MalformedResponse
    if (isInterim(status) || fault !== undefined) return SKIP_BODY
    hasFinalHead = true
    isFramed = statesEnd(fields)
    keepsAlive = shouldKeepAlive
    onHead({ status, headers: fields })
    return hasNoBody(status, isHeadRequest) ? SKIP_BODY : undefined
  }
  parser[HTTPParser.kOnBody] = (bytes, offset, length) => {
    if (isComplete || fault !== undefined) return
    bodyBytes += length
    if (bodyBytes > bodyBytesMax) fault = ExchangeFault.ResponseTooLarge
    else bodyParts.push(bytes.subarray(offset, offset + length))
  }
  parser[HTTPParser.kOnMessageComplete] = () => {
    // An interim response (1xx) completes before the final head.
    if (!hasFinalHead || isComplete) return
    isComplete = true
    if (parser.offset < parser.end) recordExtraBytes(parser.chunk.subarray(parser.offset, parser.end))
  }

  /**
   * Another response, such as a late copy of an earlier one, confirms the end of the one before. Anything else may be the rest
   * of a body whose length, or whose last chunk, is wrong.
   */
  const recordExtraBytes = (bytes: Buffer) => {
    hasExtraBytes = true
    if (!bytes.toString('latin1', 0, NEXT_RESPONSE_START.length).startsWith(NEXT_RESPONSE_START)) fault ??= ExchangeFault.MalformedResponse
  }

  const deliverBody = (readBytes: number) => {
    const joined = joinParts(bodyParts, readBytes)
    bodyParts = []
    if (joined !== undefined) onBody(joined)
  }

  /** Bytes of the body, with those that its length or the size of a chunk announces. */
  const announcedBytes = () => bodyBytes + (parser.body_bytes ?? 0)

  const read = (bytes: Buffer): ExchangeFault | undefined => {
    if (isComplete) {
      recordExtraBytes(bytes)
      return fault
    }
    const bodyBytesBefore = bodyBytes
    const consumed = parser.execute(bytes)
    deliverBody(bytes.length)
    if (isComplete) return fault
    const received = bodyBytes - bodyBytesBefore
    framingBytes = bytes.length - received + (received > 0 ? 0 : framingBytes)
    if (typeof consumed !== 'number') fault ??= ExchangeFault.MalformedResponse
    // The library limits only headers, and only those of one interim response.
    if (framingBytes > RESPONSE_FRAMING_BYTES_MAX || announcedBytes() > bodyBytesMax) fault ??= ExchangeFault.ResponseTooLarge
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
