import type { TimestampMs } from './clock.js'

/** One record of a log stream. Offsets start at 1 and increase by one per record of the stream. */
export interface LogRecord {
  offset: number
  /** Time at which the log accepted the record, according to the log's clock. */
  timeMs: TimestampMs
  body: unknown
}

/** Response to a read: the retained records from the requested offset on. */
export interface LogPage {
  records: LogRecord[]
  /** Oldest retained offset; if it is above the requested offset, there is a gap. */
  firstOffset: number
  /** Offset of the next record to be appended. */
  nextOffset: number
}

/** The platform's append-only log. Both operations throw LogUnavailableError. */
export interface LogClient {
  /**
   * Appends one record and returns its offset. A rejection does not prove that the append
   * had no effect, as the response may have been lost.
   */
  append (stream: string, body: unknown): Promise<number>
  read (stream: string, fromOffset: number, recordsMax?: number): Promise<LogPage>
}
