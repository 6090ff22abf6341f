import { v4, v7 } from 'uuid'
import { describe, expect, it } from 'vitest'
import { ResultCode } from '../core/index.js'
import { CLOCK_SKEW_MARGIN_MS, ONCE_SHARDS } from './constants.js'
import { parseIdempotencyKey } from './parseIdempotencyKey.js'

const nowMs = 1_790_000_000_000
const windowMs = 600_000
const parse = (header: string | undefined, customer = 'kpakpo') =>
  parseIdempotencyKey({ header, customer, windowMs, nowMs })
const keyAt = (msecs: number) => v7({ msecs })

describe('parseIdempotencyKey', () => {
  it.each([
    ['no header', undefined, ResultCode.MissingIdempotencyKey],
    ['text that is not a UUID', 'order-17', ResultCode.InvalidIdempotencyKey],
    ['a UUID version without a timestamp', v4(), ResultCode.InvalidIdempotencyKey],
    ['the current time', keyAt(nowMs), ResultCode.Ok],
    ['the oldest time of the window', keyAt(nowMs - windowMs), ResultCode.Ok],
    ['a time before the window', keyAt(nowMs - windowMs - 1), ResultCode.KeyOutsideWindow],
    ['a caller whose clock is ahead by the margin', keyAt(nowMs + CLOCK_SKEW_MARGIN_MS), ResultCode.Ok],
    ['a time further in the future', keyAt(nowMs + CLOCK_SKEW_MARGIN_MS + 1), ResultCode.KeyOutsideWindow]
  ])('validates the format and the time of the key: %s', (_case, header, code) => {
    expect(parse(header).code).toBe(code)
  })

  it('distinguishes equal keys of two customers, and ignores the letter case of a key', () => {
    const header = keyAt(nowMs)
    expect(parse(header, 'a')).not.toEqual(parse(header, 'b'))
    expect(parse(header.toUpperCase(), 'a')).toEqual(parse(header, 'a'))
  })

  it('reads the time of the key and distributes keys over all shards', () => {
    const shards = new Set<number>()
    for (let i = 0; i < 1_000; i++) {
      const parsed = parse(v7({ msecs: nowMs - i }))
      if (parsed.code !== ResultCode.Ok) throw new Error(`code ${parsed.code}`)
      expect(parsed.key.keyTimeMs).toBe(nowMs - i)
      shards.add(parsed.key.shard)
    }
    expect(shards.size).toBe(ONCE_SHARDS)
  })
})
