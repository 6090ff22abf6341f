import type { FleetConfiguration, KeyedRecord } from '../../configuration/index.js'
import type { WorkerEntry } from '../../membership/index.js'
import type { ForwardRequest, WorkerAnswer } from '../../requests/index.js'
import type { HeaderField, OutgoingRequest, ResponseHeadRaw } from '../../upstreams/index.js'
import type { ResultCode } from '../../core/index.js'
import type { Worker } from '../../membership/index.js'

/** A request of a caller as the front end has decoded its head. */
export interface CallerRequest {
  requestId: string
  callerAttemptId: string
  host: string
  method: string
  path: string
  apiKey: string | undefined
  remainingMs: number | undefined
  lastEventId: string | undefined
  promptTokens: number
  answerTokensMax: number
  /** Headers that a worker receives as they are. */
  headers: readonly HeaderField[]
}

/** Where the results of one request go. */
export interface CallerSink {
  onHead (status: number, headers: readonly HeaderField[], bodyBytes: number | undefined): void
  onBody (bytes: Uint8Array): void
  onComplete (): void
  /** Ends the caller's connection without completing the answer. */
  onBreak (): void
  onRefuse (code: ResultCode, retryAfterMs: number | undefined): void
}

/** Encoding between a request's life and the workers' protocol. */
export interface WorkerCodec {
  encode (send: { request: ForwardRequest, worker: Worker, remainingMs: number, lastEventId: string | undefined }): OutgoingRequest
  decode (head: ResponseHeadRaw, callerAttemptId: string): WorkerAnswer
}

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
