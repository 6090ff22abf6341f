import { parseDecimal } from '../core/index.js'
import type { HeaderField } from '../upstreams/index.js'
import type { WorkerNotice } from '../workerLimits/index.js'

/** Headers in which an upstream tells its agent about itself. */
export enum UpstreamResponseHeader {
  /** Requests per second that the upstream takes, a decimal number; absent while it names no limit. */
  RateLimit = 'x-rate-limit-per-s',
  /** `1` in all responses of an upstream that is about to stop. */
  Leaving = 'x-leaving',
  /** On a response with status 503: seconds for which the upstream wants no request. */
  RetryAfter = 'retry-after'
}

const LEAVING = '1'
const UNAVAILABLE = 503
const MS_PER_S = 1_000

const textOf = (headers: readonly HeaderField[], name: UpstreamResponseHeader): string | undefined =>
  headers.find(([key]) => key === name)?.[1]

/**
 * Decodes what an upstream says about itself in a response.
 *
 * @example
 * readUpstreamNotice(200, [['x-rate-limit-per-s', '1.6']]).limitPerS // 1.6
 */
export const readUpstreamNotice = (status: number, headers: readonly HeaderField[]): WorkerNotice => {
  const retryAfterS = status === UNAVAILABLE ? parseDecimal(textOf(headers, UpstreamResponseHeader.RetryAfter)) : undefined
  return {
    limitPerS: parseDecimal(textOf(headers, UpstreamResponseHeader.RateLimit)),
    isLeaving: textOf(headers, UpstreamResponseHeader.Leaving) === LEAVING,
    pauseMs: retryAfterS === undefined ? undefined : retryAfterS * MS_PER_S
  }
}
