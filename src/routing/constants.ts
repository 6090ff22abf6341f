/** Messages that the router core handles. */
export enum RouterMessageKind {
  UpstreamAppeared = 'upstream-appeared',
  UpstreamLeft = 'upstream-left',
  UpstreamDraining = 'upstream-draining',
  LoadReported = 'load-reported',
  CacheChanged = 'cache-changed',
  CacheSnapshotReceived = 'cache-snapshot-received',
  ChooseRequested = 'choose-requested',
  Dispatched = 'dispatched',
  FirstTokenSeen = 'first-token-seen',
  TokenSeen = 'token-seen',
  Finished = 'finished',
  Failed = 'failed',
  Tick = 'tick'
}

/** Effects that the router core asks its owner to perform. */
export enum RouterEffectKind {
  Chosen = 'chosen',
  NoneAvailable = 'none-available',
  CacheSnapshotWanted = 'cache-snapshot-wanted',
  Ejected = 'ejected',
  Reinstated = 'reinstated'
}

/** Whether an upstream may receive new work. */
export enum UpstreamState {
  Serving = 'serving',
  Draining = 'draining',
  Ejected = 'ejected'
}

/** Why an attempt failed; only some causes say something about the health of the upstream. */
export enum FailureCause {
  /** The upstream answered with an error. */
  Error = 'error',
  /** The upstream or its link was lost. */
  Lost = 'lost',
  /** The upstream refused for lack of room. */
  Busy = 'busy',
  /** The caller cancelled the request. */
  Cancelled = 'cancelled'
}

/** A change of the prefix cache of an upstream. */
export enum CacheEventKind {
  Stored = 'stored',
  Removed = 'removed',
  Cleared = 'cleared'
}

/** Tokens covered by one block fingerprint. */
export const BLOCK_TOKENS = 64

/** Random upstreams compared for a request without a prefix: the power of two choices. */
export const PLAIN_CHOICES = 2
/**
 * Queue below which an upstream counts as idle and may be drawn at random for a prompt with a
 * prefix. Without this condition overloaded entries spread every prefix over all caches.
 */
export const IDLE_WAIT_MS = 10
/** Upstreams drawn at random for a prompt with a prefix, besides holders and homes. */
export const RANDOM_CHOICES = 2
/** Holders of the longest known prefix that are compared. */
export const HOLDER_CHOICES = 2
/**
 * Homes of the prefix by rendezvous hashing that are compared. They make entries that decide
 * alone place a new prefix on the same upstreams.
 */
export const RENDEZVOUS_CHOICES = 3

/** Blocks remembered for each upstream that does not report the size of its cache. */
export const PREFIX_BLOCKS_DEFAULT = 2_048
/** Upper bound on the blocks remembered for each upstream. */
export const PREFIX_BLOCKS_MAX = 16_384

/** A report older than this says nothing about the queue any more. */
export const REPORT_STALE_MS = 10_000
/** Assumed work per second of an upstream before any report of the pool. */
export const WORK_PER_S_DEFAULT = 1_000

/** Factor on the trust in the prefix index for every gap in the cache events. */
export const GAP_CONFIDENCE_FACTOR = 0.5
export const CONFIDENCE_MIN = 0.1
/** Batches of cache events kept while an earlier one is missing. */
export const CACHE_REORDER_MAX = 16
/** Time after which a missing batch of cache events counts as lost. */
export const CACHE_GAP_LIMIT_MS = 2_000
/** Least time between two requests for a cache snapshot of the same upstream. */
export const SNAPSHOT_INTERVAL_MS = 5_000

/** A new upstream reaches its full weight after this time: its caches are cold. */
export const RAMP_UP_MS = 10_000
export const RAMP_UP_WEIGHT_MIN = 0.1

export const EJECTION_CONSECUTIVE_FAILURES = 3
export const EJECTION_FAILURE_RATIO = 0.5
export const EJECTION_ATTEMPTS_MIN = 6
export const EJECTION_BASE_MS = 5_000
export const EJECTION_MAX_MS = 60_000
/** Weight of the newest attempt in the moving failure ratio. */
export const FAILURE_SMOOTHING = 0.2
/** Added to the predicted time of an upstream that fails every attempt; the ejection cap may keep it in use. */
export const FAILURE_PENALTY_MS = 10_000

/** Weight of the newest sample in moving averages of speed and prediction error. */
export const SMOOTHING = 0.2
/** Attempts in flight remembered by one router. */
export const IN_FLIGHT_MAX = 20_000
/** Own dispatches remembered for each upstream since its last report. */
export const RECENT_DISPATCHES_MAX = 4_096
/** Cap of the utilisation in the estimate of a mean queue, which has no bound at 1. */
export const UTILISATION_MAX = 0.9
/** Bound of the learned time to the first token that does not depend on queued work. */
export const OVERHEAD_MAX_MS = 2_000
/**
 * Weight of uncached work in the comparison. It also delays later requests and evicts blocks, so
 * it costs more than its own time; with a weight of 1 entries near saturation give up their caches.
 */
export const MISS_WEIGHT = 2
/** The weight grows by one for each such queue: the longer it is, the more requests a miss delays. */
export const MISS_WEIGHT_QUEUE_MS = 100
export const MISS_WEIGHT_MAX = 8
/** Weight of the newest gap between tokens in the usual gap. */
export const GAP_SMOOTHING = 0.02
/** Age up to which the last gap tells what an upstream does now: a step or two of a batch. */
export const TOKEN_GAP_MAX_AGE_MS = 60
/** A prompt in progress takes about two more steps like the last one. */
export const TOKEN_GAP_WEIGHT = 2
/** Age at which a learned value starts to fade, and the time in which it then halves. */
export const DECAY_DELAY_MS = 3_000
export const DECAY_HALF_LIFE_MS = 3_000
