import createDebug from 'debug'

/** Writes one short sentence with the prefix of its part; arguments follow printf style. */
export type Log = (sentence: string, ...values: unknown[]) => void

/**
 * Returns the log of one part, shown when `DEBUG` matches its prefix.
 *
 * @example
 * const log = createLog('links')
 * log('link to %s is silent', address) // baobabdrift:links link to 127.0.0.1:7101 is silent
 */
export const createLog = (part: string): Log => createDebug(`baobabdrift:${part}`)
