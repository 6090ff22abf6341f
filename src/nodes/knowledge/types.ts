import type { FleetConfiguration, KeyedRecord } from '../../configuration/index.js'
import type { WorkerEntry } from '../../membership/index.js'

export interface RecordCall {
  result: Promise<{ records: KeyedRecord[], end: number }>
  abort (): void
}

/** One keyed topic of the store. */
export interface TopicPort {
  list (timeoutMs: number): RecordCall
  read (from: number, waitMs: number, timeoutMs: number): RecordCall
  isHistoryLost (error: unknown): boolean
}

/** The store, and how its records are decoded. */
export interface StorePort {
  operator: TopicPort
  workers: TopicPort
  /** Undefined for records of other keys; throws SettingsError on a record that cannot be used. */
  decodeConfiguration (record: KeyedRecord): FleetConfiguration | undefined
  decodeWorker (record: KeyedRecord): WorkerEntry
}
