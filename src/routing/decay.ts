import { DECAY_DELAY_MS, DECAY_HALF_LIFE_MS } from './constants.js'

/**
 * Lets a learned value decay while no new sample comes in. An upstream that is avoided for a bad
 * value gets no requests, so without decay it would be avoided forever.
 *
 * @example
 * decay(800, DECAY_DELAY_MS + DECAY_HALF_LIFE_MS) // 400
 */
export const decay = (value: number, ageMs: number): number =>
  ageMs <= DECAY_DELAY_MS ? value : value * 0.5 ** ((ageMs - DECAY_DELAY_MS) / DECAY_HALF_LIFE_MS)
