/** The headers that may state where a response ends. */
export interface FramingFields {
  contentLength: string | undefined
  transferEncoding: string | undefined
}

const LAST_CODING_IS_CHUNKED = /(^|,)\s*chunked\s*$/i

/**
 * Whether headers state where a response ends: by a length, or by chunks. After any other transfer coding only the end of the
 * connection ends it, as it does after a crash.
 *
 * @example
 * statesEnd({ contentLength: undefined, transferEncoding: 'gzip' }) // false
 */
export const statesEnd = ({ contentLength, transferEncoding = '' }: FramingFields): boolean =>
  contentLength !== undefined || LAST_CODING_IS_CHUNKED.test(transferEncoding)
