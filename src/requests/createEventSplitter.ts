/** One complete event of an event stream, by its place in the bytes of its batch. */
export interface StreamEvent {
  start: number
  end: number
  /** Value of its `id` field; undefined if it has none. */
  id: string | undefined
  /** Whether it has only comments, and so is no event to its receiver. */
  isComment: boolean
}

/** Events that one push has completed, next to each other in `bytes` as the worker sent them. */
export interface EventBatch {
  bytes: Buffer
  events: readonly StreamEvent[]
}

export interface EventSplitter {
  /** Appends bytes and returns the events that they complete. */
  push (bytes: Uint8Array): EventBatch
  /** Bytes after the last complete event. */
  readonly restBytes: number
  /** Whether the bytes after the last complete event are the beginning of another one, and not only blank lines. */
  readonly hasPartialEvent: boolean
  /** Returns the bytes after the last complete event, and forgets them. */
  takeRest (): Buffer
}

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const ID_FIELD = /^id:[ ]?(.*)$/m
/** An event with an id has at least the name of the field and two line feeds. */
const ID_EVENT_BYTES_MIN = 5
const EMPTY = Buffer.alloc(0)
const FIELD_LINE = /^[^:\r\n]/m

const readId = (event: Buffer): string | undefined =>
  event.length < ID_EVENT_BYTES_MIN ? undefined : ID_FIELD.exec(event.toString('latin1'))?.[1]?.trim()

/**
 * Splits the bytes of an event stream into complete events, so that no partial event is forwarded. Each byte is looked at once,
 * however the stream is cut into pieces. Blank lines alone are no event; they belong to the event that follows them.
 *
 * @example
 * createEventSplitter().push(Buffer.from('id: 1\ndata: a\n\nid: 2')).events // one event
 */
export const createEventSplitter = (): EventSplitter => {
  /** Bytes after the last complete event, at the start of a buffer that may be longer. */
  let rest: Buffer = EMPTY
  let restBytes = 0
  /** Whether `rest` is memory of its own, which may be written to. */
  let isOwned = false
  let scannedTo = 0
  let isLineBlank = true
  let hasField = false

  const append = (bytes: Uint8Array) => {
    if (restBytes === 0) {
      rest = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length)
      isOwned = false
    } else {
      const neededBytes = restBytes + bytes.length
      if (!isOwned || rest.length < neededBytes) {
        const grown = Buffer.allocUnsafeSlow(Math.max(neededBytes, 2 * restBytes))
        rest.copy(grown, 0, 0, restBytes)
        rest = grown
        isOwned = true
      }
      rest.set(bytes, restBytes)
    }
    restBytes += bytes.length
  }

  /** Continues the scan; returns the index after the blank line that ends the next event, or undefined if it is incomplete. */
  const findEventEnd = (): number | undefined => {
    while (scannedTo < restBytes) {
      const byte = rest[scannedTo++]
      if (byte !== LINE_FEED) {
        if (byte !== CARRIAGE_RETURN) isLineBlank = false
        continue
      }
      if (isLineBlank && hasField) {
        hasField = false
        return scannedTo
      }
      hasField ||= !isLineBlank
      isLineBlank = true
    }
    return undefined
  }

  /** Keeps the bytes from an index on in memory of their own, as those before it are handed over. */
  const keepFrom = (start: number) => {
    rest = Buffer.from(rest.subarray(start, restBytes))
    isOwned = true
    restBytes -= start
    scannedTo -= start
  }

  return {
    push: bytes => {
      append(bytes)
      const batchBytes = rest
      const events: StreamEvent[] = []
      let start = 0
      for (let end = findEventEnd(); end !== undefined; end = findEventEnd()) {
        const event = batchBytes.subarray(start, end)
        const id = readId(event)
        events.push({ start, end, id, isComment: id === undefined && !FIELD_LINE.test(event.toString('latin1')) })
        start = end
      }
      if (start > 0) keepFrom(start)
      return { bytes: batchBytes, events }
    },
    get restBytes () { return restBytes },
    get hasPartialEvent () { return hasField || !isLineBlank },
    takeRest: () => {
      const taken = rest.subarray(0, restBytes)
      rest = EMPTY
      restBytes = 0
      scannedTo = 0
      return taken
    }
  }
}
