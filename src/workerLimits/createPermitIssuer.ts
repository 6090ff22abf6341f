import type { Clock, TimestampMs } from '../core/index.js'
import type { WorkerRun } from '../membership/index.js'
import { ISSUER_FORGET_MS, ISSUER_IDLE_MS, LIMIT_MIN_PER_S, LimitSource, PERMIT_BATCH_MS, PERMITS_MAX } from './constants.js'
import { ISSUE_RULES } from './issueRules.js'

export interface PermitGrant {
  /** Permits taken; 0 if there is none for now. */
  count: number
  /** Time until the next permit, if there is none for now. */
  retryAfterMs: number
}

/** Issues permits for requests to limited workers: a token bucket by worker run, which starts empty. */
export interface PermitIssuer {
  take (run: WorkerRun, limitPerS: number, source?: LimitSource): PermitGrant
  /** Forgets workers that nobody has asked about for a while. */
  expire (): void
}

interface Bucket {
  startedAtUnixMs: number
  permits: number
  updatedMs: TimestampMs
}

const MS_PER_S = 1_000
/** Tolerates the rounding of fractions of a permit. */
const WHOLE_PERMIT = 1 - 1e-9

/**
 * Creates the issuer of one entry.
 *
 * @example
 * createPermitIssuer({ clock }).take(worker, 1.6) // { count: 0, retryAfterMs: 625 }
 */
export const createPermitIssuer = ({ clock }: { clock: Clock }): PermitIssuer => {
  const buckets = new Map<string, Bucket>()

  const bucketOf = ({ workerId, startedAtUnixMs }: WorkerRun): Bucket => {
    const known = buckets.get(workerId)
    if (known?.startedAtUnixMs === startedAtUnixMs) return known
    const bucket = { startedAtUnixMs, permits: 0, updatedMs: clock.nowMs() }
    buckets.set(workerId, bucket)
    return bucket
  }

  return {
    take: (run, limitPerS, source = LimitSource.Named) => {
      const perMs = Math.max(LIMIT_MIN_PER_S, limitPerS) / MS_PER_S
      const nowMs = clock.nowMs()
      const bucket = bucketOf(run)
      const unaskedMs = nowMs - bucket.updatedMs
      const savedMax = unaskedMs > ISSUER_IDLE_MS ? 1 : ISSUE_RULES[source].savedMaxOf(perMs)
      bucket.permits = Math.min(savedMax, bucket.permits + unaskedMs * perMs)
      bucket.updatedMs = nowMs
      if (bucket.permits < WHOLE_PERMIT) return { count: 0, retryAfterMs: Math.ceil((1 - bucket.permits) / perMs) }
      const batch = Math.max(1, Math.ceil(perMs * PERMIT_BATCH_MS))
      const count = Math.max(1, Math.min(batch, Math.floor(bucket.permits), PERMITS_MAX))
      bucket.permits -= count
      return { count, retryAfterMs: 0 }
    },
    expire: () => {
      for (const [workerId, { updatedMs }] of buckets) if (clock.nowMs() - updatedMs > ISSUER_FORGET_MS) buckets.delete(workerId)
    }
  }
}
