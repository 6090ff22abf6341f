/** A caller that waits for the response to a request. */
interface WaitingCaller<Sink> {
  sink: Sink
  /** Whether the core has handled the request. */
  isTaken: boolean
}

export interface CallerTableOptions<Sink> {
  /** Ends a response that cannot be delivered, so that the caller sees that it has failed. */
  fail: (sink: Sink) => void
  /** Called when the response to a request could not be delivered. */
  onUndelivered: (requestId: string, error: unknown) => void
}

/**
 * The callers of one task, with the sinks that receive their responses. Each caller gets an end: also if a sink throws,
 * and if an exception loses the effect that would have ended its response.
 */
export interface CallerTable<Sink> {
  add (requestId: string, sink: Sink): void
  /** Records that the core now decides about the request. */
  take (requestId: string): void
  /** Delivers a part of a response; does nothing if the caller is gone. */
  deliver (requestId: string, part: (sink: Sink) => void): void
  /** Delivers the end of a response and removes the caller. */
  finish (requestId: string, end: (sink: Sink) => void): void
  /** Removes a caller without an end; returns false if it is unknown. */
  remove (requestId: string): boolean
  /** Fails the callers whose requests the core no longer knows. */
  failOrphans (isLive: (requestId: string) => boolean): void
}

/**
 * Creates an empty table.
 *
 * @example
 * const callers = createCallerTable<CallerSink>({ fail: sink => sink.onRefuse(ResultCode.AnswerLost, undefined), onUndelivered })
 * callers.add(requestId, sink)
 */
export const createCallerTable = <Sink>({ fail, onUndelivered }: CallerTableOptions<Sink>): CallerTable<Sink> => {
  const callers = new Map<string, WaitingCaller<Sink>>()

  const failCaller = (requestId: string, sink: Sink, error: unknown) => {
    callers.delete(requestId)
    onUndelivered(requestId, error)
    try {
      fail(sink)
    } catch (failure) {
      onUndelivered(requestId, failure)
    }
  }

  const deliver = (requestId: string, part: (sink: Sink) => void) => {
    const caller = callers.get(requestId)
    if (caller === undefined) return
    try {
      part(caller.sink)
    } catch (error) {
      failCaller(requestId, caller.sink, error)
    }
  }

  return {
    add: (requestId, sink) => { callers.set(requestId, { sink, isTaken: false }) },
    take: requestId => {
      const caller = callers.get(requestId)
      if (caller !== undefined) caller.isTaken = true
    },
    deliver,
    finish: (requestId, end) => {
      deliver(requestId, end)
      callers.delete(requestId)
    },
    remove: requestId => callers.delete(requestId),
    failOrphans: isLive => {
      for (const [requestId, { sink, isTaken }] of callers) {
        if (isTaken && !isLive(requestId)) failCaller(requestId, sink, new Error('an exception lost the end of the response'))
      }
    }
  }
}
