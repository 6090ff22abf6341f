/** Chunks that arrive ahead of the next expected one and are kept until the gap is filled. */
export const REORDER_CHUNKS_MAX = 64
/** Bytes of one response that an agent keeps for a resume. */
export const RESUME_BUFFER_MAX_BYTES = 1024 * 1024
/** How long an agent keeps a finished response for a resume. */
export const RESUME_KEEP_MS = 15_000
/** A link is redialed within this time or the attempt counts as lost. */
export const RESUME_WAIT_MS = 5_000
/** Part of the time to the deadline that a repeatable request waits for its link; the rest is for a retry elsewhere. */
export const RESUME_WAIT_SHARE = 0.5
/** Response bytes held back until the end, so that a failure can still become an error status. */
export const HOLD_BACK_MAX_BYTES = 1024 * 1024
export const REQUESTS_MAX = 20_000
export const AGENT_RUNS_MAX = 4_096
export const ATTEMPTS_MAX = 4
export const REQUEST_TICK_MS = 50
/** An event stream without data for this time gets a comment, so that the caller sees a live connection. */
export const COMMENT_INTERVAL_MS = 5_000
/** Voids outlive every Run frame that may still wait in an old connection's buffers. */
export const VOID_KEEP_MS = 60_000
/** Covers the difference in clock rates between entry and agent over the longest deadline. */
export const STARTED_KEEP_MARGIN_MS = 5_000

/** Headers that an upstream receives besides the caller's content type. */
export enum UpstreamRequestHeader {
  RequestId = 'x-request-id',
  Customer = 'x-customer',
  Priority = 'x-priority',
  IdempotencyKey = 'idempotency-key',
  Traceparent = 'traceparent'
}
/** Entries count their own work, so reports may be rare; they are most of the control traffic of a fleet. */
export const LOAD_REPORT_INTERVAL_MS = 2_000

/** Requests that one process forwards at once. */
export const FORWARDS_MAX = 2_000
/** A request that has waited this long for a place is refused while its caller can still try elsewhere. */
export const QUEUE_WAIT_MAX_MS = 60
/** With less time left another send is worth nothing. */
export const REPEAT_TIME_MIN_MS = 150
export const FORWARD_TICK_MS = 25
