import { NOTICE_MIN_MS, SPREAD_MS } from './constants.js'

/**
 * Returns the time within which the first process must notice that its connection has fallen silent, in ms, so that the
 * records that it has missed are in force everywhere in time.
 *
 * @example
 * noticeMsFor(3_000) // 2000
 */
export const noticeMsFor = (silenceMaxMs: number): number => Math.max(NOTICE_MIN_MS, silenceMaxMs - SPREAD_MS)
