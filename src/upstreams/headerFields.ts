/** Rules of HTTP for the bytes of a head, one character a byte: what they exclude cannot be sent or passed on. */

const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/
/** Tab, visible ASCII, space and the bytes above ASCII; no other control byte. */
const VALUE = /^[\t\x20-\x7e\x80-\xff]*$/

export const isToken = (text: string): boolean => TOKEN.test(text)

export const isFieldValue = (text: string): boolean => VALUE.test(text)

/**
 * Returns the value of a header for a text of any characters: its UTF-8 bytes, one character for each.
 *
 * @example
 * toFieldValue('ŋ') // '\xc5\x8b'
 */
export const toFieldValue = (text: string): string => Buffer.from(text, 'utf8').toString('latin1')

/**
 * Returns the text of a header's value: its bytes as UTF-8, or as Latin-1 if they are not UTF-8.
 *
 * @example
 * fromFieldValue('\xc5\x8b') // 'ŋ'
 */
export const fromFieldValue = (value: string): string => {
  const text = Buffer.from(value, 'latin1').toString('utf8')
  return toFieldValue(text) === value ? text : value
}

/** Whether a receiver gets the value as it is; it drops spaces at either end. */
export const isExactFieldValue = (text: string): boolean => isFieldValue(text) && !/^[ \t]|[ \t]$/.test(text)

/**
 * Whether a line of a head is a header.
 *
 * @example
 * isFieldLine('Content-Length: 12') // true
 */
export const isFieldLine = (line: string): boolean => {
  const separatorAt = line.indexOf(':')
  return isToken(line.slice(0, Math.max(0, separatorAt))) && isFieldValue(line.slice(separatorAt + 1))
}
