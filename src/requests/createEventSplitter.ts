/** One complete event of an event stream, with its bytes as the worker sent them. */
export interface StreamEvent {
  bytes: Buffer
  /** Value of its `id` field; undefined if it has none. */
  id: string | undefined
}

export interface EventSplitter {
  /** Appends bytes and returns the events that they complete. */
  push (bytes: Uint8Array): StreamEvent[]
  /** Bytes after the last complete event. */
  readonly rest: Buffer
}

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const ID_FIELD = /^id:[ ]?(.*)$/m

/** Index after the blank line that ends the first event, or -1. */
const findEventEnd = (bytes: Buffer, from: number): number => {
  for (let at = bytes.indexOf(LINE_FEED, from); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    const next = bytes[at + 1] === CARRIAGE_RETURN ? at + 2 : at + 1
    if (bytes[next] === LINE_FEED) return next + 1
  }
  return -1
}

/**
 * Splits the bytes of an event stream into complete events, so that no partial event is forwarded.
 *
 * @example
 * createEventSplitter().push(Buffer.from('id: 1\ndata: a\n\nid: 2')) // one event
 */
export const createEventSplitter = (): EventSplitter => {
  let rest: Buffer = Buffer.alloc(0)

  return {
    push: bytes => {
      rest = rest.length === 0 ? Buffer.from(bytes) : Buffer.concat([rest, bytes])
      const events: StreamEvent[] = []
      let start = 0
      for (let end = findEventEnd(rest, start); end >= 0; end = findEventEnd(rest, start)) {
        const event = rest.subarray(start, end)
        events.push({ bytes: event, id: ID_FIELD.exec(event.toString('latin1'))?.[1]?.trim() })
        start = end
      }
      rest = rest.subarray(start)
      return events
    },
    get rest () { return rest }
  }
}
