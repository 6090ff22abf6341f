import createXxhash from 'xxhash-wasm'

const xxhash = await createXxhash()

/**
 * Returns the 64-bit xxHash of text or bytes as 16 hexadecimal digits. It detects corruption and
 * identifies equal content; it does not protect against deliberate manipulation.
 *
 * @example
 * fingerprint('panel quote') // the same 16 digits in every process
 */
export const fingerprint = (content: string | Uint8Array): string => {
  const hash = typeof content === 'string' ? xxhash.h64(content) : xxhash.h64Raw(content)
  return hash.toString(16).padStart(16, '0')
}

/** Returns the 32-bit xxHash of text as an unsigned integer. */
export const hash32 = (text: string, seed = 0): number => xxhash.h32(text, seed) >>> 0

/** An incremental xxHash; `digest` may be called at any time. */
export interface RunningHash {
  update (content: Uint8Array): void
  digest (): string
}

/** Creates an incremental 64-bit xxHash; its digest equals `fingerprint` of the concatenated content. */
export const createRunningHash = (): RunningHash => {
  const state = xxhash.create64()
  return {
    update: content => { state.update(content) },
    digest: () => state.digest().toString(16).padStart(16, '0')
  }
}
