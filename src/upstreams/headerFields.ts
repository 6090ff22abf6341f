/** Rules of HTTP for the bytes of a head, one character a byte: what they exclude cannot be sent or passed on. */

const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/
/** Tab, visible ASCII, space and the bytes above ASCII; no other control byte. */
const VALUE = /^[\t\x20-\x7e\x80-\xff]*$/

export const isToken = (text: string): boolean => TOKEN.test(text)

export const isFieldValue = (text: string): boolean => VALUE.test(text)

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

/** Whether a line continues the value of the header before it. */
export const isFoldedLine = (line: string): boolean => /^[ \t]/.test(line) && isFieldValue(line)
