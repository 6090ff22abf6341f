/** What an event of a resumed stream is to the events that the caller has. */
export enum EventPlace {
  /** It follows them. */
  Next = 'next',
  /** The caller has it. */
  Replayed = 'replayed',
  /** Its place cannot be told, or an event before it is missing. */
  Unknown = 'unknown'
}

/** The place in a stream up to which its caller has the events. */
export interface EventPosition {
  /** Id of the last event with one; undefined if there was none. */
  readonly lastId: string | undefined
  /** Whether a stream can be resumed after the last event, as its id names the place. */
  readonly isResumable: boolean
  /** Records an event that is delivered. */
  advance (id: string | undefined): void
  /** Compares an event of a resumption with the events before. */
  placeOf (id: string | undefined): EventPlace
}

const INTEGER = /^\d{1,40}$/
/** Ids that are no numbers have no order, so that each one is kept. */
const NAMES_MAX = 4_096
/** Fewer steps by one do not show that the ids of a stream are consecutive. */
const CONSECUTIVE_STEPS_MIN = 2

const numberOf = (id: string | undefined): bigint | undefined => id !== undefined && INTEGER.test(id) ? BigInt(id) : undefined

/**
 * Creates the position after an event, or at the beginning of a stream.
 *
 * @example
 * const position = createEventPosition('12')
 * position.placeOf('12') // EventPlace.Replayed
 */
export const createEventPosition = (resumesAfter: string | undefined): EventPosition => {
  let lastId = resumesAfter
  let lastNumber = numberOf(resumesAfter)
  let hasUnnamed = false
  /** Steps between ids so far, as long as each one was by one. */
  let consecutiveSteps: number | undefined = 0
  const names = new Set<string>()

  const placeOfNumber = (number: bigint, last: bigint): EventPlace => {
    if (number <= last) return EventPlace.Replayed
    const isConsecutive = (consecutiveSteps ?? 0) >= CONSECUTIVE_STEPS_MIN
    return isConsecutive && number > last + 1n ? EventPlace.Unknown : EventPlace.Next
  }

  const countStep = (number: bigint) => {
    if (lastNumber === undefined || consecutiveSteps === undefined) return
    consecutiveSteps = number === lastNumber + 1n ? consecutiveSteps + 1 : undefined
  }

  return {
    get lastId () { return lastId },
    get isResumable () { return !hasUnnamed && names.size < NAMES_MAX },
    advance: id => {
      if (id === undefined || id === '') {
        hasUnnamed = true
        return
      }
      const number = numberOf(id)
      if (number === undefined) names.add(id)
      else countStep(number)
      lastId = id
      lastNumber = number
    },
    placeOf: id => {
      if (id === undefined || id === '') return EventPlace.Unknown
      const number = numberOf(id)
      if (number !== undefined && lastNumber !== undefined) return placeOfNumber(number, lastNumber)
      return id === lastId || names.has(id) ? EventPlace.Replayed : EventPlace.Next
    }
  }
}
