import { comparePositions, fingerprint, type LogPosition } from '../core/index.js'
import { FIRST_ERA, HISTORY_RECORDS, REMEMBERED_KEYS_MAX } from './constants.js'
import type { KeyedRecord } from './types.js'

/** A list of a topic. */
export interface Listing {
  records: readonly KeyedRecord[]
  end: LogPosition
  /** Whether the store itself was listed. An entry lists the state of its own memory: records with the eras they were written in. */
  isFromStore: boolean
  /** Records of the store from `oldestOffset` on, read after the list; undefined if they have expired or were not read. */
  history?: readonly KeyedRecord[] | undefined
}

/**
 * What a process knows of the keys whose records tell no order. They are ordered by the era and the offset that they were
 * written at; a store that came back from an older copy lists all records with its present era.
 */
export interface PositionMerge {
  /** Offset from which on this process can tell the records of the copy from those that were written since. */
  readonly oldestOffset: number | undefined
  /** Last known record of each key, without a value if the key was removed, and marked if the store has lost it. */
  state (): KeyedRecord[]
  observe (records: readonly KeyedRecord[], end: LogPosition): void
  /** Takes over a list; `isRestored` is set if the store came back from an older copy. */
  list (listing: Listing, isRestored: boolean): void
}

/** A record of the store's present log. */
interface LogEntry { digest: string, era: number }

/** Era of a record that a process has only from a store that came back from a copy: any other process knows better. */
const UNKNOWN_ERA = FIRST_ERA - 1

const digestOf = ({ key, value }: KeyedRecord) => `${key} ${value === undefined ? '' : fingerprint(value)}`

const byOffset = (a: KeyedRecord, b: KeyedRecord) => a.offset - b.offset

/**
 * Creates the memory of one topic.
 *
 * @example
 * const memory = createPositionMerge({ isOrderedByPosition: ({ key }) => key.startsWith('evacuate/') })
 * memory.observe(records, end)
 * memory.list({ records: listed, end, isFromStore: true }, true)
 */
export const createPositionMerge = (
  { isOrderedByPosition }: { isOrderedByPosition: (record: KeyedRecord) => boolean }
): PositionMerge => {
  const known = new Map<string, KeyedRecord>()
  /** Keys whose known record is not in the store's present log. */
  const lostKeys = new Set<string>()
  /** Last records of the store's present log, all keys, in order of offset. */
  const log = new Map<number, LogEntry>()
  let end: LogPosition | undefined

  const addToLog = (records: readonly KeyedRecord[]) => {
    for (const record of records) log.set(record.offset, { digest: digestOf(record), era: record.era })
    const newest = [...log].sort(([one], [other]) => one - other).slice(-HISTORY_RECORDS)
    log.clear()
    for (const [offset, entry] of newest) log.set(offset, entry)
  }

  const forgetOldest = () => {
    for (const [key, { value }] of known) {
      if (known.size <= REMEMBERED_KEYS_MAX) break
      if (value === undefined) known.delete(key)
    }
  }

  const adopt = ({ key, value, era, offset, isLost = false }: KeyedRecord) => {
    // A key that is set again moves to the end, so that those removed longest ago are forgotten first.
    known.delete(key)
    known.set(key, { key, value, era, offset })
    if (isLost) lostKeys.add(key)
    else lostKeys.delete(key)
    forgetOldest()
  }

  const isInLog = (record: KeyedRecord) => log.get(record.offset)?.digest === digestOf(record)

  /** Gives a listed record the era that it was written in. */
  const withOwnEra = (record: KeyedRecord, otherwise: number): KeyedRecord =>
    ({ ...record, era: isInLog(record) ? log.get(record.offset)!.era : otherwise })

  /** The listed records of an entry that are surely in the store's present log. */
  const inLogOf = ({ era }: LogPosition, listed: readonly KeyedRecord[]) =>
    listed.filter(record => record.era === era && record.value !== undefined)

  /** A record that this process knows and the store has lost holds until its writer writes again. */
  const adoptIfNewer = (record: KeyedRecord) => {
    const last = known.get(record.key)
    if (last === undefined || comparePositions(last, record) <= 0) adopt(record)
  }

  const recordRemoved = (key: string, at: LogPosition) => adopt({ key, value: undefined, era: at.era, offset: at.offset - 1 })

  const unlistedKeys = (records: readonly KeyedRecord[]): KeyedRecord[] => {
    const keys = new Set(records.map(({ key }) => key))
    return [...known.values()].filter(({ key, value }) => value !== undefined && !keys.has(key))
  }

  const listSameEra = ({ records, end: listEnd, isFromStore }: Listing) => {
    // What was written before this process last read is known to it already, unless it reads for the first time.
    const knownUntil = end?.offset ?? (listEnd.era > FIRST_ERA ? Infinity : 0)
    const eraOf = ({ era, offset }: KeyedRecord) => offset < knownUntil ? UNKNOWN_ERA : era
    const listed = isFromStore ? records.map(record => withOwnEra(record, eraOf(record))) : records
    for (const { key } of unlistedKeys(listed)) if (!lostKeys.has(key)) recordRemoved(key, listEnd)
    listed.filter(isOrderedByPosition).forEach(adoptIfNewer)
    addToLog(isFromStore ? listed : inLogOf(listEnd, listed))
  }

  /**
   * Finds where the log of the copy ends: at the first record that differs from what this process has read there, or that
   * it has not read. A record that its writer has written again unchanged at the same offset counts as part of the copy.
   */
  const findCopyEnd = (records: readonly KeyedRecord[], before: LogPosition, listEnd: LogPosition) => {
    const firstNew = records.find(record => record.offset >= before.offset || (log.has(record.offset) && !isInLog(record)))
    const copyEnd = firstNew?.offset ?? Math.min(before.offset, listEnd.offset)
    const lastSame = records.filter(record => record.offset < copyEnd && isInLog(record)).at(-1)
    return { copyEnd, sameUntil: lastSame === undefined ? 0 : lastSame.offset + 1 }
  }

  const restoreFromStore = ({ records, end: listEnd, history }: Listing, before: LogPosition) => {
    const all = [...new Map([...records, ...history ?? []].map(record => [record.offset, record])).values()].sort(byOffset)
      .filter(({ offset }) => offset < listEnd.offset)
    const { copyEnd, sameUntil } = findCopyEnd(all, before, listEnd)
    const written = all.filter(({ offset }) => offset >= copyEnd)
    const copied = all.filter(({ offset }) => offset < copyEnd)
    // Without the history, only a record that both have proves that the copy has those before it.
    const provenEnd = history !== undefined && sameUntil > 0 ? copyEnd : sameUntil
    const unlisted = unlistedKeys(records)
    for (const { key, offset } of unlisted) {
      const wasRemoved = !lostKeys.has(key) && offset < provenEnd
      if (wasRemoved) recordRemoved(key, listEnd)
      else lostKeys.add(key)
    }
    for (const { key, offset } of known.values()) if (offset >= copyEnd) lostKeys.add(key)
    copied.filter(isOrderedByPosition).forEach(record => adoptIfNewer(withOwnEra(record, UNKNOWN_ERA)))
    written.filter(isOrderedByPosition).forEach(adopt)
    for (const offset of [...log.keys()]) if (offset >= copyEnd) log.delete(offset)
    addToLog(written)
  }

  const restoreFromEntry = ({ records, end: listEnd }: Listing, before: LogPosition) => {
    if (listEnd.era > before.era) {
      log.clear()
      for (const key of known.keys()) lostKeys.add(key)
    }
    records.filter(isOrderedByPosition).forEach(adoptIfNewer)
    addToLog(inLogOf(listEnd, records))
  }

  const restore = (listing: Listing, before: LogPosition) =>
    listing.isFromStore ? restoreFromStore(listing, before) : restoreFromEntry(listing, before)

  return {
    get oldestOffset () { return log.keys().next().value ?? end?.offset },
    state: () => [...known.values()].map(record => lostKeys.has(record.key) ? { ...record, isLost: true } : record),
    observe: (records, nextEnd) => {
      addToLog(records)
      records.filter(isOrderedByPosition).forEach(adopt)
      end = nextEnd
    },
    list: (listing, isRestored) => {
      if (isRestored && end !== undefined) restore(listing, end)
      else listSameEra(listing)
      end = listing.end
    }
  }
}
