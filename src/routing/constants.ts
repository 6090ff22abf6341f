/** Messages handled by the router core. */
export enum RouterMessageKind {
  UpstreamAppeared = 'upstream-appeared',
  UpstreamLeft = 'upstream-left',
  UpstreamDraining = 'upstream-draining',
  LoadReported = 'load-reported',
  CacheChanged = 'cache-changed',
  CacheSnapshotReceived = 'cache-snapshot-received',
  ChooseRequested = 'choose-requested',
  /** As ChooseRequested, for an operator who asks where a request would go. */
  ExplainRequested = 'explain-requested',
  Dispatched = 'dispatched',
  FirstTokenSeen = 'first-token-seen',
  TokenSeen = 'token-seen',
  Finished = 'finished',
  Failed = 'failed',
  Tick = 'tick'
}

/** Effects that the owner of the router core performs. */
export enum RouterEffectKind {
  Chosen = 'chosen',
  Explained = 'explained',
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

/** Why an attempt failed; only some causes count as failures of the upstream. */
export enum FailureCause {
  /** The upstream responded with an error. */
  Error = 'error',
  /** The upstream or the connection to it was lost. */
  Lost = 'lost',
  /** The upstream refused the request because it was at capacity. */
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

/** Random upstreams compared for a request without a prefix (power of two choices). */
export const PLAIN_CHOICES = 2
/**
 * Queueing delay below which an upstream counts as idle and may be drawn at random for a prompt with a
 * prefix. Without this condition, overloaded entries would spread every prefix over all caches.
 */
export const IDLE_WAIT_MS = 10
/** Upstreams drawn at random for a prompt with a prefix, besides cache holders and rendezvous candidates. */
export const RANDOM_CHOICES = 2
/** Upstreams compared because they hold the longest part of the prefix in their cache. */
export const HOLDER_CHOICES = 2
/**
 * Upstreams compared because they rank highest by rendezvous hashing of the prefix. They let entries
 * place a new prefix on the same upstreams without coordination.
 */
export const RENDEZVOUS_CHOICES = 3

/** Capacity of the prefix index of an upstream that does not report the size of its cache, in blocks. */
export const PREFIX_BLOCKS_DEFAULT = 2_048
/** Maximum capacity of the prefix index of one upstream, in blocks. */
export const PREFIX_BLOCKS_MAX = 16_384

/** Age from which a report is ignored in the estimate of the queue. */
export const REPORT_STALE_MS = 10_000
/** Work per second assumed for an upstream before any upstream of the pool has reported. */
export const WORK_PER_S_DEFAULT = 1_000

/** Factor applied to the confidence in the prefix index for each gap in the cache events. */
export const GAP_CONFIDENCE_FACTOR = 0.5
export const CONFIDENCE_MIN = 0.1
/** Batches of cache events buffered while an earlier batch is missing. */
export const CACHE_REORDER_MAX = 16
/** Time after which a missing batch of cache events is considered lost. */
export const CACHE_GAP_LIMIT_MS = 2_000
/** Minimum interval between two requests for a cache snapshot of the same upstream. */
export const SNAPSHOT_INTERVAL_MS = 5_000

/** Time in which a new upstream ramps up to its full weight, as its caches are cold at first. */
export const RAMP_UP_MS = 10_000
export const RAMP_UP_WEIGHT_MIN = 0.1

export const EJECTION_CONSECUTIVE_FAILURES = 3
export const EJECTION_FAILURE_RATIO = 0.5
export const EJECTION_ATTEMPTS_MIN = 6
export const EJECTION_BASE_MS = 5_000
export const EJECTION_MAX_MS = 60_000
/** Weight of the newest attempt in the moving average of the failure ratio. */
export const FAILURE_SMOOTHING = 0.2
/**
 * Added to the predicted time of an upstream that fails every attempt, in proportion for lower failure
 * ratios. Such an upstream may stay in use if the cap on ejections is reached.
 */
export const FAILURE_PENALTY_MS = 10_000

/** Weight of the newest sample in moving averages of speed and prediction error. */
export const SMOOTHING = 0.2
/** Maximum number of in-flight attempts tracked for each upstream. */
export const IN_FLIGHT_MAX = 20_000
/** Maximum number of own dispatches tracked for each upstream since its last report. */
export const RECENT_DISPATCHES_MAX = 4_096
/** Cap on the utilisation in the estimate of the mean queue, which grows without bound towards 1. */
export const UTILISATION_MAX = 0.9
/** Upper bound of the learned overhead: the time to the first token that does not depend on queued work. */
export const OVERHEAD_MAX_MS = 2_000
/**
 * Weight of uncached work in the comparison of upstreams. Uncached work also delays later requests and
 * evicts blocks, so it costs more than its own processing time. With a weight of 1, entries near
 * saturation no longer prefer the upstreams that have cached the prefix.
 */
export const MISS_WEIGHT = 2
/** Queueing delay that adds 1 to the weight: the longer the queue, the more requests a cache miss delays. */
export const MISS_WEIGHT_QUEUE_MS = 100
export const MISS_WEIGHT_MAX = 8
/** Weight of the newest gap between tokens in the mean gap. */
export const GAP_SMOOTHING = 0.02
/** Age up to which the last gap reflects the present load of an upstream: one or two batch steps. */
export const TOKEN_GAP_MAX_AGE_MS = 60
/** Factor on the excess of the last gap: a prompt in progress takes about two more steps like the last one. */
export const TOKEN_GAP_WEIGHT = 2
/** Age from which a learned value decays, and the half-life of the decay. */
export const DECAY_DELAY_MS = 3_000
export const DECAY_HALF_LIFE_MS = 3_000
