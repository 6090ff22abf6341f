/** State of a connection to an upstream. */
export enum ConnectionState {
  Connecting = 'connecting',
  Idle = 'idle',
  Busy = 'busy',
  Closed = 'closed'
}

/** Who holds back the reading of a response. */
export enum ReadPause {
  /** Its caller has bytes of it left to read. */
  Caller = 'caller',
  /** What was read has not been handled yet. */
  Unhandled = 'unhandled',
  /** The rest of the last read is parsed in later turns of the event loop. */
  Unparsed = 'unparsed'
}

/** Why an exchange ended without a complete response. */
export enum ExchangeFault {
  /** The connection was never established; the upstream received nothing. */
  NotConnected = 'not-connected',
  /** The connection was reset, or ended before the head of the response. */
  ConnectionLost = 'connection-lost',
  /** The peer closed the connection normally in the middle of the response. */
  Truncated = 'cut',
  /** The peer closed the connection normally after a response with neither a length nor chunks: at its end, or by a crash. */
  UnframedEnd = 'unframed-end',
  /** The received bytes are not a valid HTTP response, or its framing is ambiguous. */
  MalformedResponse = 'malformed-response',
  /** The response exceeds the size limit. */
  ResponseTooLarge = 'response-too-large'
}

/** Needed because a SYN to a host that is switched off gets no reply. */
export const CONNECT_TIMEOUT_MS = 700
/** Time for the reset of a connection to follow its end. */
export const END_SETTLE_MS = 50
/** An idle connection is no longer reused this long before the end of the idle timeout that the upstream announces. */
export const IDLE_MARGIN_MS = 1_000
/** Longest time for which an idle connection may be reused, also if the upstream announces no timeout. */
export const IDLE_REUSE_MAX_MS = 4_000
/** An upstream that closes a connection this soon after a response, although it said it would keep it, may have crashed. */
export const EARLY_CLOSE_MS = 200
export const IDLE_CONNECTIONS_MAX = 8
/**
 * Bytes of one connection that are parsed in one turn of the event loop. The work that they cause depends on how small the
 * parts of the response are, and the other connections wait for it.
 */
export const PARSED_BYTES_PER_TURN = 16 * 1024
/** Bytes of a response that are not its body, such as headers or chunk sizes, before the next byte of the body. */
export const RESPONSE_FRAMING_BYTES_MAX = 65_536
export const RESPONSE_BODY_BYTES_MAX = 16 * 1024 * 1024

/** Result of a check of an upstream. */
export enum UpstreamCheck {
  Up = 'up',
  /** Nothing listens at the address, so the process that served there has ended. */
  Down = 'down',
  /** Another process, or another run of the same one, answers at the address. */
  Replaced = 'replaced',
  /** No result in time; the upstream or the network may be slow. */
  Unknown = 'unknown'
}
/** An upstream that is up accepts a connection well within this time. */
export const CHECK_TIMEOUT_MS = 150
/** Time for an upstream to answer a question about itself, which may have to wait for a slot. */
export const ASK_TIMEOUT_MS = 500
