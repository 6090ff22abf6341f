import type { Clock } from '../core/index.js'
import { STAGE_BYTES_PER_S } from './constants.js'

/** Limits the bytes of map changes that a coordinator sends. */
export interface StageRateLimiter {
  canSend (): boolean
  consume (bytes: number): void
}

/**
 * Creates a pacer with a budget of STAGE_BYTES_PER_S. One message may overdraw it, so that a change
 * larger than the budget is still sent; the following ones wait until it is repaid.
 */
export const createStageRateLimiter = ({ clock }: { clock: Clock }): StageRateLimiter => {
  let availableBytes = STAGE_BYTES_PER_S
  let refilledAtMs = clock.nowMs()

  return {
    canSend: () => {
      const nowMs = clock.nowMs()
      availableBytes = Math.min(STAGE_BYTES_PER_S, availableBytes + (nowMs - refilledAtMs) * STAGE_BYTES_PER_S / 1000)
      refilledAtMs = nowMs
      return availableBytes > 0
    },
    consume: bytes => { availableBytes -= bytes }
  }
}
