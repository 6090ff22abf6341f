import { DECAY_DELAY_MS, DECAY_HALF_LIFE_MS } from './constants.js'

/**
 * Lets a learned value fade while no new sample comes in. An upstream that is avoided for a bad
 * value gets no requests, so without fading it would be avoided forever.
 *
 * @example
 * fade(800, FADE_AFTER_MS + FADE_HALF_LIFE_MS) // 400
 */
export const decay = (value: number, ageMs: number): number =>
  ageMs <= DECAY_DELAY_MS ? value : value * 0.5 ** ((ageMs - DECAY_DELAY_MS) / DECAY_HALF_LIFE_MS)
