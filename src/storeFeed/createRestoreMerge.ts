import type { Clock, TimestampMs } from '../core/index.js'
import { REMOVED_KEEP_MS } from './constants.js'
import type { KeyedRecord } from './types.js'

/**
 * Order of the records of one key by what their writer says in them, compared number by number. It holds across eras,
 * unlike the order of offsets.
 */
export type WriterOrder = readonly number[]

export interface RestoreMergeOptions {
  clock: Clock
  /** Undefined if the record tells none, such as one that cannot be decoded. */
  orderOf: (record: KeyedRecord) => WriterOrder | undefined
  /** Whether a key that the store lost keeps its record; otherwise its writer has to write it again. */
  keepsLostKeys: boolean
}

/** What a process knows of a topic besides the store, for the time after the store came back from an older copy. */
export interface RestoreMerge {
  observe (records: readonly KeyedRecord[]): void
  /** Replaces listed records by newer ones that this process knows, and leaves out keys that it knows as removed since. */
  merge (listed: readonly KeyedRecord[]): KeyedRecord[]
}

interface KnownKey {
  record: KeyedRecord
  order: WriterOrder
  removedAtMs: TimestampMs | undefined
}

const compareOrders = (one: WriterOrder, other: WriterOrder): number => {
  const at = one.findIndex((value, index) => value !== other[index])
  return at < 0 ? 0 : one[at]! - other[at]!
}

/**
 * Creates the memory of one topic.
 *
 * @example
 * const memory = createRestoreMerge({ clock, orderOf: record => [versionOf(record)], keepsLostKeys: true })
 * memory.observe(records)
 * memory.merge(listed)
 */
export const createRestoreMerge = ({ clock, orderOf, keepsLostKeys }: RestoreMergeOptions): RestoreMerge => {
  const known = new Map<string, KnownKey>()

  const forgetRemoved = () => {
    for (const [key, { removedAtMs }] of known) {
      if (removedAtMs !== undefined && clock.nowMs() - removedAtMs > REMOVED_KEEP_MS) known.delete(key)
    }
  }

  const observeOne = (record: KeyedRecord) => {
    const previous = known.get(record.key)
    if (record.value === undefined) {
      if (previous !== undefined) previous.removedAtMs ??= clock.nowMs()
      return
    }
    const order = orderOf(record)
    if (order !== undefined) known.set(record.key, { record, order, removedAtMs: undefined })
  }

  /** Returns the record that holds for a listed key; undefined if the key has been removed since. */
  const chooseRecord = (listed: KeyedRecord): KeyedRecord | undefined => {
    const last = known.get(listed.key)
    const order = orderOf(listed)
    if (last === undefined || order === undefined) return listed
    const difference = compareOrders(order, last.order)
    if (last.removedAtMs !== undefined) return difference > 0 ? listed : undefined
    return difference < 0 ? last.record : listed
  }

  return {
    observe: records => {
      forgetRemoved()
      records.forEach(observeOne)
    },
    merge: listed => {
      const merged = listed.flatMap(record => chooseRecord(record) ?? [])
      if (!keepsLostKeys) return merged
      const keys = new Set(listed.map(({ key }) => key))
      const lost = [...known.values()].filter(({ record, removedAtMs }) => removedAtMs === undefined && !keys.has(record.key))
      return [...merged, ...lost.map(({ record }) => record)]
    }
  }
}
