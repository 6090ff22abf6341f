/** Chunks buffered ahead of the next expected one until the gap is filled. */
export const REORDER_CHUNKS_MAX = 64
/** Bytes of one response that an agent buffers for resumes. */
export const RESUME_BUFFER_MAX_BYTES = 1024 * 1024
/** Chunks of it, as each takes about 150 bytes besides its own. */
export const RESUME_BUFFER_CHUNKS_MAX = 8_192
/** How long an agent keeps a finished response for resumes. */
export const RESUME_KEEP_MS = 15_000
/** An attempt whose link is not re-established within this time counts as lost. */
export const RESUME_WAIT_MS = 5_000
/** Fraction of the remaining time that an idempotent request waits for its link; the rest is left for a retry. */
export const RESUME_WAIT_SHARE = 0.5
/** Response bytes buffered at the entry, so that a failure can still be reported by an error status. */
export const HOLD_BACK_MAX_BYTES = 1024 * 1024
export const REQUESTS_MAX = 20_000
export const AGENT_RUNS_MAX = 4_096
export const ATTEMPTS_MAX = 4
export const REQUEST_TICK_MS = 50
/** An event stream that is idle for this long is sent a comment as a keep-alive. */
export const COMMENT_INTERVAL_MS = 5_000
/** Longer than a Run frame can wait in the buffers of an old connection, so that it is still refused on arrival. */
export const VOID_KEEP_MS = 60_000
/** Covers the clock drift between entry and agent over the longest deadline. */
export const STARTED_KEEP_MARGIN_MS = 5_000

/** Headers sent to an upstream in addition to the caller's content type. */
export enum UpstreamRequestHeader {
  RequestId = 'x-request-id',
  Customer = 'x-customer',
  Priority = 'x-priority',
  IdempotencyKey = 'idempotency-key',
  Traceparent = 'traceparent'
}
/** Infrequent, as entries count their own requests and reports are most of the control traffic of a fleet. */
export const LOAD_REPORT_INTERVAL_MS = 2_000

/** Maximum number of requests that one process forwards concurrently. */
export const FORWARDED_REQUESTS_MAX = 2_000
/** A request queued this long for a worker is refused, while its caller still has time to try elsewhere. */
export const QUEUE_WAIT_MAX_MS = 60
/**
 * A stream that has begun waits for a worker until this long after its last event: callers abandon it after a gap of two seconds,
 * and the next worker needs some of that for its first event.
 */
export const CONTINUATION_WAIT_MAX_MS = 1_500
/**
 * Share of the time for which upstreams stall before they cut work off. An end after a longer silence may be such a cut; a
 * sound response ends right after its last part.
 */
export const CUT_OFF_SILENCE_SHARE = 0.5
/** With less time left, a retry is unlikely to finish before the deadline. */
export const RETRY_TIME_MIN_MS = 150
export const FORWARD_TICK_MS = 25
/** A stream without the end of an event for this many bytes is broken; each of them is kept until its event is complete. */
export const EVENT_BYTES_MAX = 256 * 1024
/** Bytes of a response that are kept until it is complete, so that only complete responses reach the caller. */
export const HELD_RESPONSE_BYTES_MAX = 4 * 1024 * 1024
/** A body up to this size is written together with its head by one call, as the operating system buffers at least as much. */
export const WRITTEN_AT_ONCE_BYTES_MAX = 16 * 1024
