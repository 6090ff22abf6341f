import type { Clock } from '../core/index.js'
import { STAGE_BYTES_PER_S } from './constants.js'

/** Token bucket that limits the bytes of map changes sent by a coordinator. */
export interface StagePacer {
  canSend (): boolean
  consume (bytes: number): void
}

/**
 * Creates a pacer with a budget of STAGE_BYTES_PER_S. One message may overdraw the budget, so
 * that a change larger than it can be sent; later messages wait until the balance is positive again.
 */
export const createStagePacer = ({ clock }: { clock: Clock }): StagePacer => {
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
