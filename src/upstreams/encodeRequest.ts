import { BaobabdriftError, ResultCode } from '../core/index.js'
import { isExactFieldValue, isToken } from './headerFields.js'
import type { EncodedRequest, HeaderField, OutgoingRequest } from './types.js'

/** The head of a request holds characters that HTTP does not allow there; nothing was sent. */
export class UnsendableRequestError extends BaobabdriftError {
  constructor (part: string) {
    super(ResultCode.Unsendable, `${part} of the request cannot be sent in a head`)
  }
}

/** A body up to this size is written with its head by one call. */
const COPIED_BODY_BYTES_MAX = 64 * 1024
/** A space would end the target early. */
const TARGET = /^[\x21-\x7e\x80-\xff]+$/

const encodeField = ([name, value]: HeaderField): string => {
  if (!isToken(name) || !isExactFieldValue(value)) throw new UnsendableRequestError(`header ${JSON.stringify(name)}`)
  return `${name}: ${value}\r\n`
}

/**
 * Encodes a request. Each character of its head stands for one byte.
 *
 * @throws UnsendableRequestError if the method, the target or a header cannot be written so that a receiver reads the same
 * @example
 * socket.write(encodeRequest({ method: 'GET', path: '/', headers: [['host', 'site.example']], body: new Uint8Array() }).bytes)
 */
export const encodeRequest = ({ method, path, headers, body }: OutgoingRequest): EncodedRequest => {
  if (!isToken(method)) throw new UnsendableRequestError('the method')
  if (!TARGET.test(path)) throw new UnsendableRequestError('the target')
  const head = Buffer.from(`${method} ${path} HTTP/1.1\r\n${headers.map(encodeField).join('')}\r\n`, 'latin1')
  const isHeadRequest = method === 'HEAD'
  if (body.length > COPIED_BODY_BYTES_MAX) return { bytes: head, largeBody: body, isHeadRequest }
  return { bytes: body.length === 0 ? head : Buffer.concat([head, body]), isHeadRequest }
}
