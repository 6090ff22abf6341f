import type { Clock, TimestampMs } from '../core/index.js'
import { LEAVING_CLOSED_MS } from './constants.js'
import { createPauseTable } from './createPauseTable.js'
import { createPermitIssuer } from './createPermitIssuer.js'
import { createRateLimitTable } from './createRateLimitTable.js'
import type { WorkerNotice } from './types.js'

/** Whether the only caller of an upstream may send it a request now. */
export interface UpstreamGate {
  recordNotice (notice: WorkerNotice, sentAtMs: TimestampMs): void
  /** Takes a permit for one request; returns false if the upstream takes none now. */
  admit (): boolean
  /** Time until the upstream takes the next request; 0 if it takes one now. */
  closedForMs (): number
  /** The upstream has crashed or restarted, so that what it said before no longer holds. */
  reset (): void
}

/**
 * Creates the gate of one upstream, in the agent that is its only caller.
 *
 * @example
 * const gate = createUpstreamGate({ clock })
 * gate.recordNotice({ limitPerS: 1.6 }, sentAtMs)
 * gate.admit()
 */
export const createUpstreamGate = ({ clock }: { clock: Clock }): UpstreamGate => {
  const limits = createRateLimitTable({ clock })
  const issuer = createPermitIssuer({ clock })
  const pauses = createPauseTable({ clock })
  let run = { workerId: 'upstream', startedAtUnixMs: 0 }
  let permits = 0
  let nextPermitMs = 0
  let isLeaving = false

  /** Takes new permits from the issuer if none is left. */
  const refill = (limitPerS: number) => {
    if (permits > 0) return
    const { count, retryAfterMs } = issuer.take(run, limitPerS)
    permits = count
    nextPermitMs = clock.nowMs() + retryAfterMs
  }

  const closedForMs = () => {
    if (isLeaving) return LEAVING_CLOSED_MS
    const pausedMs = pauses.remainingMs(run)
    if (pausedMs > 0) return pausedMs
    const limitPerS = limits.limitOf(run)
    if (limitPerS === undefined) return 0
    refill(limitPerS)
    return permits > 0 ? 0 : Math.max(1, nextPermitMs - clock.nowMs())
  }

  return {
    recordNotice: (notice, sentAtMs) => {
      isLeaving ||= notice.isLeaving
      if (notice.pauseMs !== undefined) pauses.record(run, notice.pauseMs)
      limits.record(run, notice, sentAtMs)
    },
    closedForMs,
    admit: () => {
      if (closedForMs() > 0) return false
      if (limits.limitOf(run) === undefined) return true
      permits -= 1
      return true
    },
    reset: () => {
      run = { ...run, startedAtUnixMs: run.startedAtUnixMs + 1 }
      permits = 0
      isLeaving = false
    }
  }
}
