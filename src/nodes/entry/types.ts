import type { ResultCode } from '../../core/index.js'
import type { ResponseHead, SubmittedRequest } from '../../requests/index.js'

/** Where the parts of one response go; the front end that submitted the request provides it. */
export interface ResponseSink {
  onHead (head: ResponseHead): void
  onBody (bytes: Uint8Array): void
  onComplete (): void
  onFail (code: ResultCode): void
}

/** What a front end needs of the entry. */
export interface RequestGateway {
  submit (request: SubmittedRequest, sink: ResponseSink): void
  cancel (requestId: string): void
}

/** Addresses that a customer's callers may use. */
export interface AddressAnswer {
  addresses: string[]
  lifetimeMs: number
}
