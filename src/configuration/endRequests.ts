import { END_REQUESTS_MAX } from './constants.js'

interface EndRequest {
  /** Reads with a higher id were sent after the request. */
  afterReadId: number
  /** End of the log as the first of these reads found it. */
  targetOffset: number | undefined
}

/** Requests for word that a reader has applied everything the log held at the time of the request. */
export interface EndRequests {
  /** Returns false if too many requests are open. */
  add (requestId: string, lastReadId: number): boolean
  notePage (readId: number, nextOffset: number): void
  /** Removes and returns the requests that are met at this offset. */
  takeReached (offset: number): string[]
  takeAll (): string[]
  /** Whether some request still needs a read of its own. */
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

  const take = (isTaken: (request: EndRequest) => boolean): string[] => {
    const taken = [...requests].filter(([, request]) => isTaken(request)).map(([requestId]) => requestId)
    for (const requestId of taken) requests.delete(requestId)
    return taken
  }

  return {
    add: (requestId, lastReadId) => {
      if (requests.size >= END_REQUESTS_MAX && !requests.has(requestId)) return false
      requests.set(requestId, { afterReadId: lastReadId, targetOffset: undefined })
      return true
    },
    notePage: (readId, nextOffset) => {
      for (const request of requests.values()) {
        // A page of an earlier read may miss records that existed when the request was made.
        if (readId > request.afterReadId) request.targetOffset ??= nextOffset - 1
      }
    },
    takeReached: offset => take(({ targetOffset }) => targetOffset !== undefined && offset >= targetOffset),
    takeAll: () => take(() => true),
    needsRead: () => [...requests.values()].some(({ targetOffset }) => targetOffset === undefined)
  }
}
