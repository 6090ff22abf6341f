import { parseDecimal } from '../core/index.js'
import type { WorkerNotice } from '../workerLimits/index.js'

/** Headers in which an upstream tells its agent about itself. */
export enum UpstreamResponseHeader {
  /** Requests per second that the upstream takes, a decimal number; absent while it names no limit. */
  RateLimit = 'x-rate-limit-per-s',
  /** `1` in all responses of an upstream that is about to stop. */
  Leaving = 'x-leaving'
}

const LEAVING = '1'

type ResponseHeaders = Record<string, string | string[] | undefined>

const textOf = (headers: ResponseHeaders, name: UpstreamResponseHeader): string | undefined => {
  const value = headers[name]
  return Array.isArray(value) ? value[0] : value
}

/**
 * Decodes what an upstream says about itself in the headers of a response.
 *
 * @example
 * readUpstreamNotice({ 'x-rate-limit-per-s': '1.6' }) // { limitPerS: 1.6, isLeaving: false }
 */
export const readUpstreamNotice = (headers: ResponseHeaders): WorkerNotice => ({
  limitPerS: parseDecimal(textOf(headers, UpstreamResponseHeader.RateLimit)),
  isLeaving: textOf(headers, UpstreamResponseHeader.Leaving) === LEAVING
})
