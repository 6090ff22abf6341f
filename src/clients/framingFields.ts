import type { HeaderField } from '../upstreams/index.js'

const FRAMING_HEADERS = ['content-length', 'transfer-encoding'] as const

/**
 * Returns the headers that may state where a response ends, as a client library has read them.
 *
 * @example
 * isFramingValid(framingFields(name => response.headers.get(name)))
 */
export const framingFields = (valueOf: (name: string) => string | string[] | null | undefined): HeaderField[] =>
  FRAMING_HEADERS.flatMap(name => [valueOf(name) ?? []].flat().map((value): HeaderField => [name, value]))
