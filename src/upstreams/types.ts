import type { TimestampMs } from '../core/index.js'
import type { ExchangeFault } from './constants.js'

export type HeaderField = readonly [name: string, value: string]

/** One HTTP/1.1 request to send. */
export interface OutgoingRequest {
  method: string
  path: string
  headers: readonly HeaderField[]
  body: Uint8Array
}

/** A request as it is written to a connection. */
export interface EncodedRequest {
  bytes: Uint8Array
  /** A large body, which is written after the bytes so that it need not be copied. */
  largeBody?: Uint8Array
  /** The response to a HEAD request has no body. */
  isHeadRequest: boolean
}

/** Status line and headers of a response; header names are in lower case. */
export interface ResponseHeadRaw {
  status: number
  headers: readonly HeaderField[]
}

export enum ExchangeEventKind {
  Head = 'head',
  Body = 'body',
  Finished = 'finished',
  Failed = 'failed'
}

/** Events of an exchange, in this order: Head, any number of Body, then exactly one of Finished and Failed. */
export type ExchangeEvent =
  | { kind: ExchangeEventKind.Head, head: ResponseHeadRaw }
  | { kind: ExchangeEventKind.Body, bytes: Uint8Array }
  | { kind: ExchangeEventKind.Finished }
  /**
   * `hasLeft` (the request was sent) is false only if provably no byte of it reached the upstream. `endedAtMs` is when the
   * connection ended, if that was before the event.
   */
  | { kind: ExchangeEventKind.Failed, fault: ExchangeFault, hasLeft: boolean, endedAtMs?: TimestampMs }

/** Which connections a request may use. */
export enum ConnectionUse {
  /** A reusable idle connection, or a new one if there is none. */
  Reuse = 'reuse',
  /** Only a new connection, as the upstream may close an idle one while the request is in flight. */
  Fresh = 'fresh'
}
