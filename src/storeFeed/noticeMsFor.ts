import { NOTICE_MIN_MS, SPREAD_MS } from './constants.js'

/**
 * Returns the time within which the first process must notice that its connection has fallen silent, in ms, so that the
 * records that it has missed are in force everywhere in time.
 *
 * @example
 * noticeMsFor(2_000) // 1000
 */
export const noticeMsFor = (recordAgeMaxMs: number): number => Math.max(NOTICE_MIN_MS, recordAgeMaxMs - SPREAD_MS)
