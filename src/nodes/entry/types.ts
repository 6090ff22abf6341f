import type { ResultCode } from '../../core/index.js'
import type { ResponseHead, SubmittedRequest } from '../../requests/index.js'

/** Receives the parts of one response; provided by the front end that submitted the request. */
export interface ResponseSink {
  onHead (head: ResponseHead): void
  onBody (bytes: Uint8Array): void
  onComplete (): void
  onFail (code: ResultCode): void
}

/** The operations of an entry that a front end uses. */
export interface RequestGateway {
  submit (request: SubmittedRequest, sink: ResponseSink): void
  cancel (requestId: string): void
}

/** Entry addresses that a customer's callers may use, and for how long. */
export interface AddressResponse {
  addresses: string[]
  lifetimeMs: number
}
