/** What an upstream connection is used for at the moment. */
export enum ConnectionState {
  Connecting = 'connecting',
  Idle = 'idle',
  Busy = 'busy',
  Closed = 'closed'
}

/** Why an exchange ended without a whole response. */
export enum ExchangeFault {
  /** The connection was never established; the upstream has seen nothing. */
  NotConnected = 'not-connected',
  /** The connection was reset, or ended before the head of the response. */
  ConnectionLost = 'connection-lost',
  /** The connection ended in order inside the response, or at the end of one without a length: it may be cut. */
  CutOrUnframed = 'cut-or-unframed',
  /** The bytes received are no HTTP response, or frame it in two ways. */
  MalformedResponse = 'malformed-response',
  /** The response is longer than the limit. */
  ResponseTooLarge = 'response-too-large'
}

/** A SYN to a dark machine is never answered. */
export const CONNECT_TIMEOUT_MS = 700
/** An idle connection is not used again within this time of the upstream's announced timeout. */
export const IDLE_MARGIN_MS = 1_000
/** Reuse limit for upstreams that announce no timeout. */
export const IDLE_REUSE_MAX_MS = 4_000
export const IDLE_CONNECTIONS_MAX = 8
export const RESPONSE_HEADER_BYTES_MAX = 65_536
export const RESPONSE_BODY_BYTES_MAX = 16 * 1024 * 1024
