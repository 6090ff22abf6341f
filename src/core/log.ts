import createDebug from 'debug'

/** Writes one log message with the prefix of its component; values are formatted as by printf. */
export type Log = (format: string, ...values: unknown[]) => void

/**
 * Returns the log function of one component. Its messages are written when `DEBUG` matches the prefix.
 *
 * @example
 * const log = createLog('links')
 * log('link to %s timed out', address) // baobabdrift:links link to 127.0.0.1:7101 timed out
 */
export const createLog = (component: string): Log => createDebug(`baobabdrift:${component}`)
