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

/** Shard that a scoped key belongs to. */
export const shardOf = (scopedKey: string): number => hash32(scopedKey) % ONCE_SHARDS

/** Whether a key's time is further in the future than the tolerated clock skew. */
export const isFutureKey = (keyTimeMs: TimestampMs, nowMs: TimestampMs): boolean =>
  keyTimeMs > nowMs + CLOCK_SKEW_MARGIN_MS

/**
 * Validates an idempotency key, which must be a version 7 UUID whose time lies within the window.
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
  // The first 48 bits of a version 7 UUID are the milliseconds since the Unix epoch.
  const keyTimeMs = Number.parseInt(uuid.slice(0, 8) + uuid.slice(9, 13), 16)
  if (keyTimeMs < nowMs - windowMs || isFutureKey(keyTimeMs, nowMs)) return { code: ResultCode.KeyOutsideWindow }
  // A UUID has a fixed length, so a slash in a customer name cannot make two scoped keys collide.
  const scopedKey = `${uuid}/${customer}`
  return { code: ResultCode.Ok, key: { scopedKey, keyTimeMs, shard: shardOf(scopedKey) } }
}
