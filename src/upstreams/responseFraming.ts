import { isFieldValue } from './headerFields.js'
import type { HeaderField } from './types.js'

/** Head of a response as it was parsed. */
export interface ParsedHead {
  /** 0 for HTTP/1.0. */
  versionMinor: number
  status: number
  reason: string
  fields: readonly HeaderField[]
}

/** Never asked for, so that the bytes behind it belong to no protocol that is spoken here. */
const SWITCHING_PROTOCOLS = 101
const FIRST_FINAL_STATUS = 200
/** Responses with these statuses end with their head, whatever their headers say. */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304])
const LENGTH = /^\d+$/
/** The only transfer coding that may come unasked. */
const CHUNKED = 'chunked'

const valuesOf = (fields: readonly HeaderField[], name: string) => fields.filter(([key]) => key === name).map(([, value]) => value)

const isLengthValid = (lengths: readonly string[]) => lengths.every(length => LENGTH.test(length) && length === lengths[0])

/** Chunks once, as the only coding: after another one only the end of the connection would end the body, or decode it. */
const isCodingValid = (codings: readonly string[]) => codings.length === 1 && codings[0]!.toLowerCase() === CHUNKED

/**
 * Whether headers state without ambiguity where a response ends, or state nothing about it: with a length and chunks it might
 * be either.
 *
 * @example
 * isFramingValid([['content-length', '12x']]) // false
 */
export const isFramingValid = (fields: readonly HeaderField[]): boolean => {
  const lengths = valuesOf(fields, 'content-length')
  const codings = valuesOf(fields, 'transfer-encoding')
  return codings.length === 0 ? isLengthValid(lengths) : lengths.length === 0 && isCodingValid(codings)
}

/** HTTP/1.0 has no transfer codings, so that a response with one was changed on its way. */
const isVersionValid = ({ versionMinor, fields }: ParsedHead) => versionMinor > 0 || valuesOf(fields, 'transfer-encoding').length === 0

/**
 * Whether a head may be the head of a response to a request of this process.
 *
 * @example
 * isHeadValid({ versionMinor: 1, status: 101, reason: 'Switching Protocols', fields: [] }) // false
 */
export const isHeadValid = (head: ParsedHead): boolean =>
  head.status !== SWITCHING_PROTOCOLS && isFieldValue(head.reason) && isVersionValid(head) && isFramingValid(head.fields)

/** Whether another response to the same request follows. */
export const isInterim = (status: number): boolean => status < FIRST_FINAL_STATUS

/** Whether a response ends with its head. */
export const hasNoBody = (status: number, isHeadRequest: boolean): boolean => isHeadRequest || BODYLESS_STATUSES.has(status)

/**
 * Whether valid headers state where the body ends; otherwise it ends with its connection.
 *
 * @example
 * statesEnd([['content-type', 'text/plain']]) // false
 */
export const statesEnd = (fields: readonly HeaderField[]): boolean =>
  fields.some(([name]) => name === 'content-length' || name === 'transfer-encoding')
