import { deflateRawSync, inflateRawSync } from 'node:zlib'

/** Smaller texts are sent as they are. */
const PACKED_BYTES_MIN = 1_000
/** First byte of packed bytes; JSON never begins with it. */
const PACKED_MARK = 1
/** The messages between processes repeat themselves so much that a higher level gains little. */
const COMPRESSION_LEVEL = 1

/**
 * Compresses a JSON text, unless it is short.
 *
 * @example
 * unpackText(packText(JSON.stringify(page)), 1024 * 1024)
 */
export const packText = (text: string): Buffer => {
  const plain = Buffer.from(text)
  if (plain.length < PACKED_BYTES_MIN) return plain
  return Buffer.concat([Buffer.from([PACKED_MARK]), deflateRawSync(plain, { level: COMPRESSION_LEVEL })])
}

/**
 * Restores a text; bytes from outside may not expand beyond the limit.
 *
 * @throws Error if the bytes are broken or expand too far
 */
export const unpackText = (bytes: Buffer, bytesMax: number): string =>
  (bytes[0] === PACKED_MARK ? inflateRawSync(bytes.subarray(1), { maxOutputLength: bytesMax }) : bytes).toString('utf8')
