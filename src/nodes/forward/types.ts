import type { BodyFraming, ForwardRequest, WorkerResponse } from '../../requests/index.js'
import type { HeaderField, OutgoingRequest, ResponseHeadRaw, UpstreamQuestion } from '../../upstreams/index.js'
import type { ResultCode } from '../../core/index.js'
import type { Worker } from '../../membership/index.js'

/** Head of a caller's request, as decoded by the front end. */
export interface CallerRequest {
  requestId: string
  callerAttemptId: string
  host: string
  method: string
  path: string
  apiKey: string | undefined
  remainingMs: number | undefined
  lastEventId: string | undefined
  /** Model that reads the prompt; undefined for requests without one. */
  model: string | undefined
  /** Ids of the parts of the prompt that other requests may share, in order. */
  promptParts: readonly string[]
  /** Headers that are forwarded to the worker unchanged. */
  headers: readonly HeaderField[]
}

/** Receives the response to one request. */
export interface CallerSink {
  onHead (status: number, headers: readonly HeaderField[], framing: BodyFraming): void
  onBody (bytes: Uint8Array): void
  /** Bytes of a response were received, which are held until they are delivered. */
  onReceived? (bytes: number): void
  /** An upstream begins to respond, or another one continues its response; reading from it can be paused. */
  onExchange? (setPaused: (isPaused: boolean) => void): void
  onComplete (): void
  /** Closes the caller's connection before the response is complete. */
  onAbort (): void
  onRefuse (code: ResultCode, retryAfterMs: number | undefined): void
}

/** Translates between forwarded requests and the workers' protocol. */
export interface WorkerCodec {
  encode (send: { request: ForwardRequest, worker: Worker, remainingMs: number, lastEventId: string | undefined }): OutgoingRequest
  decode (head: ResponseHeadRaw, callerAttemptId: string): WorkerResponse
  /** Asks the process at a worker's address whether it is the run that is known. */
  askRun (worker: Worker, statusPath: string): UpstreamQuestion
}
