import {
  BYTES_PER_MB, CALLER_BYTES_MIN, CALLER_DESCRIPTORS_SHARE, CALLER_MEMORY_SHARE, CONNECTION_BYTES_MAX, CONNECTION_COST_BYTES, DESCRIPTORS_DEFAULT,
  FILE_DESCRIPTORS, MEMORY_DEFAULT_MB, UPSTREAM_BYTES_MAX
} from './constants.js'
import type { BudgetLimits } from './types.js'

export interface HostLimits {
  memoryMb?: number | undefined
  descriptorsMax?: number | undefined
  /** Memory of the process in calm. */
  baseMb: number
  /** Replaces the derived number of bytes for callers. */
  callerMb?: number | undefined
  /** Replaces the derived number of connections. */
  connectionsMax?: number | undefined
  /** Replaces the default for the bytes in flight to one upstream. */
  upstreamMb?: number | undefined
}

/**
 * Derives what callers may make a process hold from the memory and the descriptors of its host.
 *
 * @example
 * deriveCallerLimits({ memoryMb: 112, descriptorsMax: 2_069, baseMb: PLATFORM_BASE_MB }).connectionsMax
 */
export const deriveCallerLimits = (
  { memoryMb = MEMORY_DEFAULT_MB, descriptorsMax = DESCRIPTORS_DEFAULT, baseMb, callerMb, connectionsMax, upstreamMb }: HostLimits
): BudgetLimits => {
  const derivedBytes = Math.max(CALLER_BYTES_MIN, Math.floor((memoryMb - baseMb) * CALLER_MEMORY_SHARE * BYTES_PER_MB))
  const callerBytesMax = callerMb === undefined ? derivedBytes : callerMb * BYTES_PER_MB
  const byDescriptors = Math.floor((descriptorsMax - FILE_DESCRIPTORS) * CALLER_DESCRIPTORS_SHARE)
  // The program does not see the bytes of a head that is incomplete.
  const byMemory = Math.floor(callerBytesMax / CONNECTION_COST_BYTES)
  return {
    memoryBytes: memoryMb * BYTES_PER_MB,
    callerBytesMax,
    connectionBytesMax: CONNECTION_BYTES_MAX,
    connectionsMax: connectionsMax ?? Math.max(1, Math.min(byDescriptors, byMemory)),
    upstreamBytesMax: upstreamMb === undefined ? UPSTREAM_BYTES_MAX : upstreamMb * BYTES_PER_MB
  }
}
