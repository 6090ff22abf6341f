import { describe, expect, it } from 'vitest'
import { BYTES_PER_MB, PLATFORM_BASE_MB } from './constants.js'
import { createUpstreamBytes } from './createUpstreamBytes.js'
import { deriveCallerLimits } from './deriveCallerLimits.js'

describe('the limits of a host', () => {
  it('hold one body of 4 MiB with its joined copy on the smallest host', () => {
    const { callerBytesMax } = deriveCallerLimits({ memoryMb: 112, descriptorsMax: 2_069, baseMb: PLATFORM_BASE_MB })
    expect(callerBytesMax).toBeGreaterThanOrEqual(8.2 * BYTES_PER_MB)
  })

  it.each([112, 602])('leave descriptors for files, upstreams, the store and peers with %i MB', memoryMb => {
    const { connectionsMax } = deriveCallerLimits({ memoryMb, descriptorsMax: 2_069, baseMb: PLATFORM_BASE_MB })
    expect(connectionsMax).toBe(1_121)
  })

  it('can be set one by one', () => {
    expect(deriveCallerLimits({ baseMb: PLATFORM_BASE_MB, callerMb: 5, connectionsMax: 7, upstreamMb: 2 }))
      .toMatchObject({ callerBytesMax: 5 * BYTES_PER_MB, connectionsMax: 7, upstreamBytesMax: 2 * BYTES_PER_MB })
  })
})

describe('bytes in flight to an upstream', () => {
  // Guards against an upstream that crashes because it holds more than its memory.
  it('have a bound, but one request is always sent', () => {
    const upstreamBytes = createUpstreamBytes(100)
    expect(upstreamBytes.hasRoom('w-1', 500)).toBe(true)
    upstreamBytes.recordSent('w-1', 60)
    expect([40, 41].map(bytes => upstreamBytes.hasRoom('w-1', bytes))).toEqual([true, false])
    expect(upstreamBytes.hasRoom('w-2', 41)).toBe(true)
    upstreamBytes.recordEnded('w-1', 60)
    expect(upstreamBytes.hasRoom('w-1', 500)).toBe(true)
  })
})
