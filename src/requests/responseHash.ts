import { createRunningHash } from '../core/index.js'
import type { ResponseHead } from './frames.js'

const encoder = new TextEncoder()

/** Hash over a complete response. It covers the request id, so a response of another request is detected. */
export interface ResponseHash {
  addHead (head: ResponseHead): void
  addBytes (bytes: Uint8Array): void
  digest (): string
}

/**
 * Starts the hash of one response.
 *
 * @example
 * const hash = createResponseHash(requestId)
 * hash.addHead({ status: 200, contentType: 'application/json' })
 */
export const createResponseHash = (requestId: string): ResponseHash => {
  const hash = createRunningHash()
  hash.update(encoder.encode(requestId))
  return {
    addHead: ({ status, contentType }) => hash.update(encoder.encode(`${status} ${contentType}`)),
    addBytes: bytes => hash.update(bytes),
    digest: () => hash.digest()
  }
}
