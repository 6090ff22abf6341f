import { validate, version } from 'uuid'
import { hash32, ResultCode, type TimestampMs } from '../core/index.js'
import { CLOCK_SKEW_MARGIN_MS, ONCE_SHARDS } from './constants.js'
import type { IdempotencyKey } from './types.js'

const UUID_V7 = 7

export interface ParseIdempotencyKeyOptions {
  /** Value of the header `Idempotency-Key`. */
  header: string | undefined
  customer: string
  /** `onceWindowMs` of the pool. */
  windowMs: number
  nowMs: TimestampMs
}

export type ParsedIdempotencyKey =
  | { code: ResultCode.Ok, key: IdempotencyKey }
  | { code: ResultCode.MissingIdempotencyKey | ResultCode.InvalidIdempotencyKey | ResultCode.KeyOutsideWindow }

/** Shard of a scoped key. */
export const shardOf = (scopedKey: string): number => hash32(scopedKey) % ONCE_SHARDS

/** Whether a key is dated further in the future than clocks may differ. */
export const isFutureKey = (keyTimeMs: TimestampMs, nowMs: TimestampMs): boolean =>
  keyTimeMs > nowMs + CLOCK_SKEW_MARGIN_MS

/**
 * Validates an idempotency key: a UUID of version 7 whose time lies inside the window.
 *
 * @example
 * const parsed = parseIdempotencyKey({ header, customer: 'kpakpo', windowMs: 600_000, nowMs: clock.nowMs() })
 * if (parsed.code !== ResultCode.Ok) refuse(parsed.code)
 */
export const parseIdempotencyKey = (
  { header, customer, windowMs, nowMs }: ParseIdempotencyKeyOptions
): ParsedIdempotencyKey => {
  if (header === undefined || header === '') return { code: ResultCode.MissingIdempotencyKey }
  if (!validate(header) || version(header) !== UUID_V7) return { code: ResultCode.InvalidIdempotencyKey }
  const uuid = header.toLowerCase()
  // The first 48 bits of a UUID of version 7 are milliseconds since the epoch.
  const keyTimeMs = Number.parseInt(uuid.slice(0, 8) + uuid.slice(9, 13), 16)
  if (keyTimeMs < nowMs - windowMs || isFutureKey(keyTimeMs, nowMs)) return { code: ResultCode.KeyOutsideWindow }
  // A UUID has a fixed length, so a customer name with a slash can't collide with another scope.
  const scopedKey = `${uuid}/${customer}`
  return { code: ResultCode.Ok, key: { scopedKey, keyTimeMs, shard: shardOf(scopedKey) } }
}
