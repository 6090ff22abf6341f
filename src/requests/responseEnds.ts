import { ExchangeFault } from '../upstreams/index.js'

/** How a worker's response states where its body ends. */
export enum ResponseFraming {
  Chunks = 'chunks',
  Length = 'length',
  /** Neither: the response ends with its connection, as it does if the worker dies. */
  None = 'none'
}

/** What ended a response of a worker. */
export enum ResponseEnd {
  LastChunk = 'last-chunk',
  Length = 'length',
  /** A response that has no body by its status or method. */
  NoBody = 'no-body',
  /** The normal end of the connection of a response without framing. */
  ConnectionEnd = 'connection-end',
  /** The normal end of the connection within a response with framing. */
  Truncated = 'truncated',
  /** The connection was reset, or ended before the head. */
  Reset = 'reset',
  NotConnected = 'not-connected',
  Malformed = 'malformed',
  TooLarge = 'too-large',
  Deadline = 'deadline',
  Caller = 'caller',
  ProcessExit = 'process-exit',
  /** This process gave the response up: it was no answer to the request, or could not be held. */
  GivenUp = 'given-up'
}

/** What a response was taken for whole by. */
export enum CompletionProof {
  /** The worker's own framing. */
  Framing = 'framing',
  /** A resumption after the last event had nothing more to give, and stated so. */
  Resumption = 'resumption',
  /** The run of the worker still answered after the end of the connection, so that it had closed it itself. */
  LiveRun = 'live-run'
}

/** What ends a response that the worker has framed to its end. */
export const FRAMED_END: Record<ResponseFraming, ResponseEnd> = {
  [ResponseFraming.Chunks]: ResponseEnd.LastChunk,
  [ResponseFraming.Length]: ResponseEnd.Length,
  [ResponseFraming.None]: ResponseEnd.NoBody
}

export const END_OF_FAULT: Record<ExchangeFault, ResponseEnd> = {
  [ExchangeFault.NotConnected]: ResponseEnd.NotConnected,
  [ExchangeFault.ConnectionLost]: ResponseEnd.Reset,
  [ExchangeFault.Truncated]: ResponseEnd.Truncated,
  [ExchangeFault.UnframedEnd]: ResponseEnd.ConnectionEnd,
  [ExchangeFault.MalformedResponse]: ResponseEnd.Malformed,
  [ExchangeFault.ResponseTooLarge]: ResponseEnd.TooLarge
}
