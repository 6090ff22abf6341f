/** What a connection of a caller makes the process hold. */
export enum HeldKind {
  /** Bytes of a body that is incomplete, as memory that they occupy. */
  Body = 'body',
  /** The joined body, kept for a retry until its request ends. */
  InFlight = 'in-flight',
  /** Bytes of a response that are held until it is complete, or that the caller has not read. */
  Response = 'response',
  /** Head and bookkeeping of a request that has not ended. */
  Request = 'request'
}

/** Why the connection of a caller gives way. */
export enum CloseReason {
  /** The budget is spent, and the connection holds bytes without progress. */
  Stalled = 'stalled',
  /** The budget is spent, and the connection holds more incomplete bytes than any other. */
  Largest = 'largest',
  /** The connection alone holds more than one connection may. */
  ConnectionBytes = 'connection-bytes',
  /** There are too many connections, and this one has no request. */
  IdleConnection = 'idle-connection',
  /** There are too many connections, and each of the others has a request. */
  TooManyConnections = 'too-many-connections'
}

/** Why a request was refused before it ran. */
export enum BodyRefusal {
  TooLarge = 'too-large',
  BudgetSpent = 'budget-spent',
  Deadline = 'deadline'
}

export enum BudgetMessageKind {
  Opened = 'opened',
  Closed = 'closed',
  Held = 'held',
  Released = 'released',
  RequestStarted = 'request-started',
  RequestEnded = 'request-ended'
}

export const BYTES_PER_MB = 1024 * 1024
/** For settings that name none: no known host has more, and its budget is far above what its callers hold in calm. */
export const MEMORY_DEFAULT_MB = 602
export const DESCRIPTORS_DEFAULT = 10_933
/** The platform's entry has 58 to 64 MB resident in calm; the rest is for garbage that is not collected yet. */
export const PLATFORM_BASE_MB = 80
/** The entry of the own interface has 131 MB resident in calm. */
export const OWN_BASE_MB = 150
/** The rest is for memory that the allocator has not given back, and for state that grows with the fleet. */
export const CALLER_MEMORY_SHARE = 0.3
/** One body of 4 MiB with the copy when it is joined fits even on the smallest hosts; its pages are free before the response. */
export const CALLER_BYTES_MIN = 9 * BYTES_PER_MB
/** A body of 4 MiB, its joined copy and a response of 4 MiB. */
export const CONNECTION_BYTES_MAX = 13 * BYTES_PER_MB
/** Descriptors that the platform reserves for files. */
export const FILE_DESCRIPTORS = 200
/** The rest is for connections to upstreams, the store and peers. */
export const CALLER_DESCRIPTORS_SHARE = 0.6
/** An idle connection and part of a head. On the known hosts the descriptors allow fewer connections than the memory. */
export const CONNECTION_COST_BYTES = 8 * 1024
/** Memory of the objects of one request, beyond its head. */
export const REQUEST_COST_BYTES = 4 * 1024
/** Memory of the objects of one write that the operating system has not taken yet, beyond its bytes. */
export const WRITE_COST_BYTES = 512
/** Heads and bookkeeping of a connection's requests up to this size are no reason to close it. */
export const REQUEST_ALLOWANCE_BYTES = 32 * 1024
/** A caller at 1 KB/s makes progress many times in this time. */
export const STALLED_AFTER_MS = 3_000
/** A refused caller may go on sending for this long, so that it can read the refusal before the connection is reset. */
export const LINGER_MS = 500
/** Bytes that are still read from a refused caller; more of them would only be garbage. */
export const LINGER_BYTES_MAX = 256 * 1024
/** Bytes of requests in flight from one process to one upstream; a single larger one is still sent. */
export const UPSTREAM_BYTES_MAX = 12 * BYTES_PER_MB
/** Unread bytes of a response beyond which no more of it is read from its upstream, and below which it is read again. */
export const FLOW_PAUSE_BYTES = 256 * 1024
export const FLOW_RESUME_BYTES = 64 * 1024
/** Upstreams cut off responses that stay unread for some seconds. */
export const FLOW_PAUSE_MAX_MS = 1_500
/** Released bytes after which a full collection is considered, at most once in the interval. */
export const COLLECT_AFTER_BYTES = 4 * BYTES_PER_MB
/** Bytes of read buffers after which a collection of the young generation is considered. */
export const COLLECT_YOUNG_AFTER_BYTES = 2 * BYTES_PER_MB
export const COLLECT_INTERVAL_MS = 30
/** Share of the host's memory below which nothing is collected early; an entry in calm is far below. */
export const COLLECT_ABOVE_SHARE = 0.7
/** Share above which the interval is not waited for. */
export const COLLECT_AT_ONCE_SHARE = 0.8
