import type { ExchangeFault } from './constants.js'

export type HeaderField = readonly [name: string, value: string]

/** One HTTP/1.1 request as it goes out. */
export interface OutgoingRequest {
  method: string
  path: string
  headers: readonly HeaderField[]
  body: Uint8Array
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

/** What an exchange reports, in this order: Head, any number of Body, then exactly one of the others. */
export type ExchangeEvent =
  | { kind: ExchangeEventKind.Head, head: ResponseHeadRaw }
  | { kind: ExchangeEventKind.Body, bytes: Uint8Array }
  | { kind: ExchangeEventKind.Finished }
  /** `hasLeft` is false only with proof that no byte of the request reached the upstream. */
  | { kind: ExchangeEventKind.Failed, fault: ExchangeFault, hasLeft: boolean }

/** How a request may use connections. */
export enum ConnectionUse {
  /** An idle connection serves, if there is a sound one. */
  Reuse = 'reuse',
  /** Only a new connection: an idle one may be closed by the upstream while the request is on its way. */
  Fresh = 'fresh'
}
