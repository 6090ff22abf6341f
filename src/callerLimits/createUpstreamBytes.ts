/** Bytes of requests in flight to each upstream. */
export interface UpstreamBytes {
  recordSent (upstreamId: string, bytes: number): void
  recordEnded (upstreamId: string, bytes: number): void
  /** Whether the upstream may be sent this many more bytes; it may always be sent one request. */
  hasRoom (upstreamId: string, bytes: number): boolean
}

/**
 * Creates the account of one process.
 *
 * @example
 * const upstreamBytes = createUpstreamBytes(UPSTREAM_BYTES_MAX)
 * if (upstreamBytes.hasRoom('w-1', body.length)) upstreamBytes.recordSent('w-1', body.length)
 */
export const createUpstreamBytes = (bytesMax: number): UpstreamBytes => {
  const inFlight = new Map<string, number>()

  return {
    recordSent: (upstreamId, bytes) => { if (bytes > 0) inFlight.set(upstreamId, (inFlight.get(upstreamId) ?? 0) + bytes) },
    recordEnded: (upstreamId, bytes) => {
      const left = (inFlight.get(upstreamId) ?? 0) - bytes
      if (left > 0) inFlight.set(upstreamId, left)
      else inFlight.delete(upstreamId)
    },
    hasRoom: (upstreamId, bytes) => {
      const used = inFlight.get(upstreamId) ?? 0
      return used === 0 || bytes === 0 || used + bytes <= bytesMax
    }
  }
}
