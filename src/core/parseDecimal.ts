const DECIMAL_NUMBER = /^(\d+\.?\d*|\.\d+)$/

/**
 * Parses a decimal number without a sign or an exponent; undefined for any other text.
 *
 * @example
 * parseDecimal('1.6') // 1.6
 */
export const parseDecimal = (text: string | undefined): number | undefined => {
  const trimmed = text?.trim()
  return trimmed !== undefined && DECIMAL_NUMBER.test(trimmed) ? Number(trimmed) : undefined
}
