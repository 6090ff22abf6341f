import type { LogPosition } from '../core/index.js'
import type { KeyedRecord, RecordCall, TopicPort } from './types.js'

export interface HistoryOptions {
  port: TopicPort
  timeoutMs: number
  /** Position that this process would have read next before the list. */
  before: LogPosition | undefined
  /** Offset from which on this process can compare records; undefined if it compares none. */
  oldestOffset: number | undefined
}

/** Reads the last records of a store that came back from an older copy. */
export interface HistoryCall {
  /**
   * Reads them if the list that ends at a position shows a later era; resolves with undefined if it does not, or if the
   * records have expired. Rejects if the store does not answer.
   */
  read (listEnd: LogPosition): Promise<readonly KeyedRecord[] | undefined>
  abort (): void
}

/**
 * Creates the call that may follow a list. A list shows neither which records the copy holds nor which keys were removed
 * since the store came back.
 *
 * @example
 * await readHistory({ port, timeoutMs: 1_500, before: { era: 1, offset: 90 }, oldestOffset: 26 }).read({ era: 2, offset: 80 })
 */
export const readHistory = ({ port, timeoutMs, before, oldestOffset }: HistoryOptions): HistoryCall => {
  let running: RecordCall | undefined
  return {
    read: async listEnd => {
      const isNewEra = before !== undefined && listEnd.era > before.era
      if (!isNewEra || oldestOffset === undefined || oldestOffset >= listEnd.offset) return undefined
      running = port.read({ era: listEnd.era, offset: oldestOffset }, 0, timeoutMs)
      try {
        const { records, end } = await running.result
        if (end.era !== listEnd.era) throw new Error('the store came back from an older copy between a list and a read')
        return records
      } catch (error) {
        if (port.isRecordsExpired(error)) return undefined
        throw error
      }
    },
    abort: () => running?.abort()
  }
}
