import { CLOCK_SKEW_MARGIN_MS } from './constants.js'
import type { Clock, TimestampMs } from '../core/index.js'

const BUCKET_MS = 1_000

/** Keys grouped by their time, so that forgetting them needs no scan of the whole table. */
export interface KeyTimeIndex {
  add (scopedKey: string, timeMs: TimestampMs): void
  /** Removes and returns keys of which all are older than `floorMs`. */
  takeBefore (floorMs: TimestampMs): string[]
  /** Removes the oldest group; returns its keys and the time up to which keys may be in it. */
  takeOldest (): { scopedKeys: string[], endMs: TimestampMs } | undefined
}

export const createKeyTimeIndex = (): KeyTimeIndex => {
  const buckets = new Map<number, string[]>()
  let oldest = Number.POSITIVE_INFINITY

  const take = (bucket: number): string[] => {
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
    takeBefore: floorMs => {
      if ((oldest + 1) * BUCKET_MS > floorMs) return []
      const scopedKeys = [...buckets.keys()].filter(bucket => (bucket + 1) * BUCKET_MS <= floorMs).flatMap(take)
      findOldest()
      return scopedKeys
    },
    takeOldest: () => {
      if (buckets.size === 0) return undefined
      const bucket = oldest
      const scopedKeys = take(bucket)
      findOldest()
      return { scopedKeys, endMs: (bucket + 1) * BUCKET_MS }
    }
  }
}

/**
 * The time before which keys are forgotten and refused. It never moves backwards: a clock that
 * steps back or a longer window must not accept a key whose record was already dropped.
 */
export interface KeyFloor {
  readonly floorMs: TimestampMs
  /** Moves the floor along with the clock. */
  follow (): void
  raise (floorMs: TimestampMs): void
  setWindow (windowMs: number): void
}

export const createKeyFloor = (clock: Clock, windowMs: number): KeyFloor => {
  let floorMs = Number.NEGATIVE_INFINITY
  const raise = (candidateMs: TimestampMs) => { floorMs = Math.max(floorMs, candidateMs) }
  return {
    get floorMs () { return floorMs },
    // The margin makes the entry, which has none, the first to refuse an old key.
    follow: () => raise(clock.nowMs() - windowMs - CLOCK_SKEW_MARGIN_MS),
    raise,
    setWindow: changedMs => { windowMs = changedMs }
  }
}
