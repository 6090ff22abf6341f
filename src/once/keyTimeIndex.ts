import { CLOCK_SKEW_MARGIN_MS } from './constants.js'
import type { Clock, TimestampMs } from '../core/index.js'

const BUCKET_MS = 1_000

/** Keys grouped by their time, so that removing old ones does not scan the whole table. */
export interface KeyTimeIndex {
  add (scopedKey: string, timeMs: TimestampMs): void
  /** Removes and returns the groups of keys that lie entirely before `floorMs`. */
  removeBefore (floorMs: TimestampMs): string[]
  /** Removes the oldest group; returns its keys and the end of its time range. */
  removeOldest (): { scopedKeys: string[], endMs: TimestampMs } | undefined
}

export const createKeyTimeIndex = (): KeyTimeIndex => {
  const buckets = new Map<number, string[]>()
  let oldest = Number.POSITIVE_INFINITY

  const removeBucket = (bucket: number): string[] => {
    const scopedKeys = buckets.get(bucket) ?? []
    buckets.delete(bucket)
    return scopedKeys
  }
  const findOldest = () => {
    oldest = Number.POSITIVE_INFINITY
    for (const bucket of buckets.keys()) oldest = Math.min(oldest, bucket)
  }

  return {
    add: (scopedKey, timeMs) => {
      const bucket = Math.floor(timeMs / BUCKET_MS)
      const scopedKeys = buckets.get(bucket)
      if (scopedKeys === undefined) buckets.set(bucket, [scopedKey])
      else scopedKeys.push(scopedKey)
      oldest = Math.min(oldest, bucket)
    },
    removeBefore: floorMs => {
      if ((oldest + 1) * BUCKET_MS > floorMs) return []
      const scopedKeys = [...buckets.keys()].filter(bucket => (bucket + 1) * BUCKET_MS <= floorMs).flatMap(removeBucket)
      findOldest()
      return scopedKeys
    },
    removeOldest: () => {
      if (buckets.size === 0) return undefined
      const bucket = oldest
      const scopedKeys = removeBucket(bucket)
      findOldest()
      return { scopedKeys, endMs: (bucket + 1) * BUCKET_MS }
    }
  }
}

/**
 * Time before which keys are removed and refused. It never decreases: a clock that steps back or a longer
 * window must not accept a key whose record was already dropped.
 */
export interface KeyFloor {
  readonly floorMs: TimestampMs
  /** Raises the floor to the start of the window by the current clock. */
  advance (): void
  raise (floorMs: TimestampMs): void
  setWindow (windowMs: number): void
}

export const createKeyFloor = (clock: Clock, windowMs: number): KeyFloor => {
  let floorMs = Number.NEGATIVE_INFINITY
  const raise = (candidateMs: TimestampMs) => { floorMs = Math.max(floorMs, candidateMs) }
  return {
    get floorMs () { return floorMs },
    // The entry checks keys without this margin, so it is the first to refuse an old key.
    advance: () => raise(clock.nowMs() - windowMs - CLOCK_SKEW_MARGIN_MS),
    raise,
    setWindow: changedMs => { windowMs = changedMs }
  }
}
