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
  isRecordsExpired (error: unknown): boolean
}

/** Other processes that may know the state of a topic. */
export interface PeerStatePort {
  /**
   * Resolves with the latest record of each key of a topic, or with undefined if no peer is known. Rejects if the
   * chosen peer does not respond.
   */
  fetch (topic: string, timeoutMs: number): Promise<KeyedRecord[] | undefined>
}

/** The topics of the store, and the decoders of their records. */
export interface StorePort {
  operator: TopicPort
  workers: TopicPort
  /** Returns undefined for records of other keys; throws SettingsError if the record is invalid. */
  decodeConfiguration (record: KeyedRecord): FleetConfiguration | undefined
  decodeWorker (record: KeyedRecord): WorkerRegistration
}
