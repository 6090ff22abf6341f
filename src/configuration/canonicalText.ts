const sortKeys = (_key: string, value: unknown): unknown => {
  if (value === null || typeof value !== 'object' || Array.isArray(value)) return value
  return Object.fromEntries(Object.entries(value).sort(([a], [b]) => (a < b ? -1 : 1)))
}

/**
 * Serializes a value as JSON with sorted keys, so that equal content gives equal text, whatever encoding it was
 * decoded from.
 *
 * @example
 * canonicalText({ b: 1, a: 2 }) // '{"a":2,"b":1}'
 */
export const canonicalText = (value: unknown): string => JSON.stringify(value, sortKeys)
