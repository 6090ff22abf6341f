import type { Clock } from '../core/index.js'
import { STAGE_BYTES_PER_S } from './constants.js'

/** Limits the bytes of map changes that a coordinator sends. */
export interface StagePacer {
  mayStage (): boolean
  spend (bytes: number): void
}

/**
 * Creates a pacer with a budget of STAGE_BYTES_PER_S. One message may overdraw it, so that a change
 * larger than the budget is still sent; the following ones wait until it is repaid.
 */
export const createStagePacer = ({ clock }: { clock: Clock }): StagePacer => {
  let bytesLeft = STAGE_BYTES_PER_S
  let refilledMs = clock.nowMs()

  return {
    mayStage: () => {
      const nowMs = clock.nowMs()
      bytesLeft = Math.min(STAGE_BYTES_PER_S, bytesLeft + (nowMs - refilledMs) * STAGE_BYTES_PER_S / 1000)
      refilledMs = nowMs
      return bytesLeft > 0
    },
    spend: bytes => { bytesLeft -= bytes }
  }
}
