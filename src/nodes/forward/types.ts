import type { ForwardRequest, WorkerResponse } from '../../requests/index.js'
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
  decode (head: ResponseHeadRaw, callerAttemptId: string): WorkerResponse
}
