import type { Clock, TimestampMs } from '../../core/index.js'
import type { SlowdownNotice } from '../../membership/index.js'
import { SLOW_WORKER_FACTOR } from '../../routing/index.js'

/** A lost datagram is made up for by the next one. */
export const PACE_NOTICE_INTERVAL_MS = 400
/** A worker that is sound again is told this many times. */
const SOUND_NOTICES = 3

/** Decides when the entries are told of the pace of this machine's worker. */
export interface PaceNotices {
  /** Takes a reading; returns the notice to send, if one is due. */
  onReading (workerId: string, pace: number): SlowdownNotice | undefined
}

/**
 * Creates the notices of one agent.
 *
 * @example
 * const notice = createPaceNotices({ clock }).onReading('i-7f3a91c2', 2.5)
 */
export const createPaceNotices = ({ clock }: { clock: Clock }): PaceNotices => {
  let sentAtMs: TimestampMs = -PACE_NOTICE_INTERVAL_MS
  let wasSlow = false
  let soundNoticesLeft = 0

  return {
    onReading: (workerId, pace) => {
      const isSlow = pace >= SLOW_WORKER_FACTOR
      const hasChanged = isSlow !== wasSlow
      if (hasChanged) soundNoticesLeft = isSlow ? 0 : SOUND_NOTICES
      wasSlow = isSlow
      const isDue = hasChanged || ((isSlow || soundNoticesLeft > 0) && clock.nowMs() - sentAtMs >= PACE_NOTICE_INTERVAL_MS)
      if (!isDue) return undefined
      sentAtMs = clock.nowMs()
      if (!isSlow) soundNoticesLeft -= 1
      return { workerId, pace }
    }
  }
}
