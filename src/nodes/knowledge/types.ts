import type { FleetConfiguration, KeyedRecord } from '../../configuration/index.js'
import type { WorkerRegistration } from '../../membership/index.js'

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

/** Other processes that may know the state of a topic. */
export interface PeerStatePort {
  /** Resolves with the newest records of a topic, or with undefined if no peer is known. Rejects if the peer asked does not answer. */
  fetch (topic: string, timeoutMs: number): Promise<KeyedRecord[] | undefined>
}

/** The store, and how its records are decoded. */
export interface StorePort {
  operator: TopicPort
  workers: TopicPort
  /** Undefined for records of other keys; throws SettingsError on a record that cannot be used. */
  decodeConfiguration (record: KeyedRecord): FleetConfiguration | undefined
  decodeWorker (record: KeyedRecord): WorkerRegistration
}
