import { RepeatPolicy } from '../configuration/index.js'
import type { TimestampMs } from '../core/index.js'
import { RESUME_WAIT_MS, RESUME_WAIT_SHARE } from './constants.js'
import type { SubmittedRequest } from './types.js'

/**
 * Time until which an attempt whose link is lost waits for a new link. A request that may be retried on
 * another agent reserves time for the retry; otherwise a dead agent would use up the whole deadline.
 *
 * @example
 * resumeDeadlineMs(submitted, false, clock.nowMs())
 */
export const resumeDeadlineMs = (
  { repeat, deadlineAtMs }: Pick<SubmittedRequest, 'repeat' | 'deadlineAtMs'>, isCommitted: boolean, nowMs: TimestampMs
): TimestampMs => {
  if (isCommitted || repeat !== RepeatPolicy.Idempotent) return nowMs + RESUME_WAIT_MS
  return nowMs + Math.min(RESUME_WAIT_MS, (deadlineAtMs - nowMs) * RESUME_WAIT_SHARE)
}
