import type { Clock, TimestampMs } from '../../core/index.js'
import type { SlowdownNotice } from '../../peers/index.js'
import { SLOW_WORKER_FACTOR } from '../../routing/index.js'

/** Notices are resent at this interval, as datagrams can be lost. */
export const SLOWDOWN_NOTICE_INTERVAL_MS = 400
/** Number of notices about a worker that is healthy again. */
const HEALTHY_NOTICES = 3

/** Decides when the slowdown factor of this host's worker is reported to entries. */
export interface SlowdownNotices {
  /** Processes a reading; returns the notice to send, if one is due. */
  onReading (workerId: string, pace: number): SlowdownNotice | undefined
}

/**
 * Creates the notice schedule of one agent.
 *
 * @example
 * const notice = createSlowdownNotices({ clock }).onReading('i-7f3a91c2', 2.5)
 */
export const createSlowdownNotices = ({ clock }: { clock: Clock }): SlowdownNotices => {
  let sentAtMs: TimestampMs = -SLOWDOWN_NOTICE_INTERVAL_MS
  let wasSlow = false
  let healthyNoticesLeft = 0

  return {
    onReading: (workerId, pace) => {
      const isSlow = pace >= SLOW_WORKER_FACTOR
      const hasChanged = isSlow !== wasSlow
      if (hasChanged) healthyNoticesLeft = isSlow ? 0 : HEALTHY_NOTICES
      wasSlow = isSlow
      const isDue = hasChanged || ((isSlow || healthyNoticesLeft > 0) && clock.nowMs() - sentAtMs >= SLOWDOWN_NOTICE_INTERVAL_MS)
      if (!isDue) return undefined
      sentAtMs = clock.nowMs()
      if (!isSlow) healthyNoticesLeft -= 1
      return { workerId, pace }
    }
  }
}
