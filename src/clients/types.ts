import type { TimestampMs } from '../core/index.js'

/** One record of a log stream. Offsets start at 1 and grow by one per record of the stream. */
export interface LogRecord {
  offset: number
  /** Time at which the log accepted the record, by the log's clock. */
  timeMs: TimestampMs
  body: unknown
}

/** Answer to a read: the records from the asked offset on, as far as they are retained. */
export interface LogPage {
  records: LogRecord[]
  /** Oldest offset that is still retained; above the asked offset it shows a gap. */
  firstOffset: number
  /** Offset that the next appended record will get. */
  nextOffset: number
}

/** The platform's append-only log. Both operations throw LogUnavailableError. */
export interface LogClient {
  /**
   * Appends one record and returns its offset. A rejection does not prove that the append
   * had no effect: its answer may have been lost.
   */
  append (stream: string, body: unknown): Promise<number>
  read (stream: string, fromOffset: number, recordsMax?: number): Promise<LogPage>
}

/** State of a host in the platform's lagging host list. */
export enum HostState {
  Live = 'live',
  Leaving = 'leaving'
}

export interface HostListEntry {
  /** IP address of the host. */
  address: string
  failureDomain: string
  state: HostState
}
