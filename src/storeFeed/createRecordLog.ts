import type { LogPosition } from '../core/index.js'
import { KEPT_BYTES_MAX, KEPT_RECORDS_MAX } from './constants.js'
import type { KeyedRecord } from './types.js'

/** The state of one topic and its last records, for the processes to which they are passed on. */
export interface RecordLog {
  /** Position after the last record; undefined before the first list. */
  readonly end: LogPosition | undefined
  /** Latest record of each key. */
  state (): KeyedRecord[]
  /** Records from a position on; undefined if some of them are no longer kept, or the position is of another era. */
  recordsFrom (position: LogPosition): KeyedRecord[] | undefined
  /** Replaces the state by a list that ends at a position. */
  replaceAll (records: readonly KeyedRecord[], end: LogPosition): void
  /** Appends records in log order. */
  append (records: readonly KeyedRecord[], end: LogPosition): void
}

const sizeOf = ({ value }: KeyedRecord) => value?.length ?? 0

/**
 * Creates an empty log.
 *
 * @example
 * const log = createRecordLog()
 * log.replaceAll(records, end)
 */
export const createRecordLog = (): RecordLog => {
  let newestByKey = new Map<string, KeyedRecord>()
  let kept: KeyedRecord[] = []
  let keptBytes = 0
  let first = 0
  let end: LogPosition | undefined

  const dropOldest = () => {
    while (kept.length > KEPT_RECORDS_MAX || keptBytes > KEPT_BYTES_MAX) {
      const oldest = kept.shift()!
      keptBytes -= sizeOf(oldest)
      first = oldest.offset + 1
    }
  }

  return {
    get end () { return end },
    state: () => [...newestByKey.values()],
    recordsFrom: ({ era, offset }) => offset < first || era !== end?.era ? undefined : kept.filter(record => record.offset >= offset),
    replaceAll: (records, nextEnd) => {
      newestByKey = new Map(records.map(record => [record.key, record]))
      kept = []
      keptBytes = 0
      first = nextEnd.offset
      end = nextEnd
    },
    append: (records, nextEnd) => {
      for (const record of records) {
        if (record.value === undefined) newestByKey.delete(record.key)
        else newestByKey.set(record.key, record)
        kept.push(record)
        keptBytes += sizeOf(record)
      }
      end = nextEnd
      dropOldest()
    }
  }
}
