import { END_REQUESTS_MAX } from './constants.js'

interface EndRequest {
  /** Only reads with a higher id were sent after the request. */
  afterReadId: number
  /** Last offset of the log as the first of these reads found it. */
  targetOffset: number | undefined
}

/** Requests to be notified when a reader has applied every record that existed at the time of the request. */
export interface EndRequests {
  /** Returns false if too many requests are open. */
  add (requestId: string, lastReadId: number): boolean
  observePage (readId: number, nextOffset: number): void
  /** Removes and returns the requests that are satisfied at this offset. */
  takeReached (offset: number): string[]
  takeAll (): string[]
  /** Whether a request still waits for a read that was sent after it. */
  needsRead (): boolean
}

/**
 * Creates an empty set of requests.
 *
 * @example
 * const requests = createEndRequests()
 * requests.add('edit-7', lastReadId)
 */
export const createEndRequests = (): EndRequests => {
  const requests = new Map<string, EndRequest>()

  const removeMatching = (isMatch: (request: EndRequest) => boolean): string[] => {
    const requestIds = [...requests].filter(([, request]) => isMatch(request)).map(([requestId]) => requestId)
    for (const requestId of requestIds) requests.delete(requestId)
    return requestIds
  }

  return {
    add: (requestId, lastReadId) => {
      if (requests.size >= END_REQUESTS_MAX && !requests.has(requestId)) return false
      requests.set(requestId, { afterReadId: lastReadId, targetOffset: undefined })
      return true
    },
    observePage: (readId, nextOffset) => {
      for (const request of requests.values()) {
        // A page of an earlier read may lack records that existed when the request was made.
        if (readId > request.afterReadId) request.targetOffset ??= nextOffset - 1
      }
    },
    takeReached: offset => removeMatching(({ targetOffset }) => targetOffset !== undefined && offset >= targetOffset),
    takeAll: () => removeMatching(() => true),
    needsRead: () => [...requests.values()].some(({ targetOffset }) => targetOffset === undefined)
  }
}
