import type { FollowedRecord } from '../../src/configuration/index.js'

/** A page of a stream, with decoded record bodies. */
export interface FakeLogPage<Body> {
  records: Array<FollowedRecord<Body>>
  firstOffset: number
  nextOffset: number
}

/** One stream of an in-memory log that holds decoded records. */
export interface FakeLog<Body> {
  append (body: Body, timeMs: number): number
  read (fromOffset: number, recordsMax?: number): FakeLogPage<Body>
  /** Makes every record below the offset unreadable. */
  expireBelow (offset: number): void
  /** Every record ever appended, including expired ones. */
  readonly history: ReadonlyArray<FollowedRecord<Body>>
  readonly firstOffset: number
  readonly nextOffset: number
}

/**
 * Creates an empty stream.
 *
 * @example
 * const log = createFakeLog<ConfigurationBody>()
 * log.append({ kind: ConfigurationRecordKind.Unreadable }, 1_000) // 1
 */
export const createFakeLog = <Body>(): FakeLog<Body> => {
  const history: Array<FollowedRecord<Body>> = []
  let firstOffset = 1
  return {
    append: (body, timeMs) => {
      history.push({ offset: history.length + 1, timeMs, body })
      return history.length
    },
    read: (fromOffset, recordsMax = 1_000) => {
      const start = Math.max(fromOffset, firstOffset)
      return { records: history.slice(start - 1, start - 1 + recordsMax), firstOffset, nextOffset: history.length + 1 }
    },
    expireBelow: offset => { firstOffset = Math.max(firstOffset, Math.min(offset, history.length + 1)) },
    history,
    get firstOffset () { return firstOffset },
    get nextOffset () { return history.length + 1 }
  }
}
