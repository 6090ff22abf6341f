/**
 * Shares of tokens are multiples of 1 / SHARE_UNITS, so that they are encoded without loss and sum to exactly
 * one.
 */
export const SHARE_UNITS = 240

/** Half-life of the load averages, in steps: long enough to smooth noise, short compared with drift over minutes. */
export const LOAD_HALF_LIFE_STEPS = 200
/** Reports that are further behind the newest step are dropped, because they no longer describe the current load. */
export const REPORT_AGE_MAX_STEPS = 1_000
/** Number of recent maps whose shares are kept to interpret reports that arrive after a switch. */
export const KNOWN_MAPS_MAX = 4
export const SPEED_SMOOTHING = 0.3
/** A rank slower than this fraction of the median speed counts as a straggler. */
export const STRAGGLER_SPEED_RATIO = 0.8
/** A straggler recovers only above this higher fraction, so that a rank near the threshold does not flap. */
export const RECOVERED_SPEED_RATIO = 0.9
/** Consecutive reports that must agree before a rank changes between straggler and healthy. */
export const STRAGGLER_REPORTS = 3
/** Minimum speed of a rank: with a speed of zero it would receive no load and could never show that it recovered. */
export const RANK_SPEED_MIN = 0.05

/** Spare memory of a rank as a fraction of an even split; also used for staged weights. */
export const SPARE_SLOT_RATIO = 0.05
export const SPARE_SLOTS_MIN = 3
/** Slots that a planned map leaves free on each rank; without one, no further expert could be staged there. */
export const STAGING_SLOTS_MIN = 1
/** Maximum copies in one plan; bounds the size of a map change and the duration of a switch. */
export const PLAN_COPIES_MAX = 96
/** Maximum search steps in one plan; share changes need no copy, so PLAN_COPIES_MAX does not bound them. */
export const PLAN_STEPS_MAX = 600
/** Time after which a slice ends early; together with the longest unit of work, a slice stays below 5 ms. */
export const PLAN_SLICE_BUDGET_MS = 2
/** Units of work in one slice. A unit takes a few microseconds, so a slice stays far below 5 ms. */
export const PLAN_UNITS_PER_SLICE = 16
/** Items indexed per unit of work. */
export const PLAN_ITEMS_PER_UNIT = 32
/** Initial load limits that a plan tries, relative to a perfect split. */
export const PLAN_LIMIT_RATIOS: readonly number[] = [1, 1.02, 1.05, 1.1, 1.2]
/** Factor by which the load limit grows when no rank can take more load below it. */
export const PLAN_LIMIT_STEP_RATIO = 1.005
/** The search stops at this skew; smaller differences are within the noise of single steps. */
export const SKEW_GOAL_RATIO = 1.005
/** Minimum predicted skew for a plan to start. */
export const SKEW_START_RATIO = 1.02
/** Consecutive evaluations that must show the skew before experts move; shorter peaks are ignored. */
export const SKEW_PERSISTENCE = 2
/** Minimum ratio of the gain of a plan to its cost. */
export const GAIN_OVER_COST_MIN = 1.25
/** Minimum gain in skew for a switch, whose messages alone take about 40 KB for 64 ranks. */
export const GAIN_MIN = 0.01
/** Rate limit of copies between peers; leaves most of the network bandwidth to the steps. */
export const PEER_COPY_BYTES_PER_MS = 1_000_000
/** Fraction by which the steps of a rank take longer while it sends or receives a copy. */
export const COPY_SLOWDOWN_RATIO = 0.1
/** Time span over which the objective weighs skew against moves. */
export const PLAN_HORIZON_MS = 60_000
/**
 * Number of horizons for which a placement usually stays useful under drift; the cost of its copies is spread
 * over them.
 */
export const PLACEMENT_HORIZONS = 3

/** Steps between the last known step and the hold; acks and the release arrive in this time even after one resend. */
export const HOLD_MARGIN_STEPS = 12
export const RESEND_INTERVAL_MS = 250
/** A rank that waits for its coordinator suspects it after receiving nothing for this time. */
export const COORDINATOR_SILENCE_MS = 1_500
/** A suspected coordinator becomes eligible again after this time. */
export const SUSPICION_MS = 10_000
/** Staging is rolled back after this time, for example when the weight store refuses loads. */
export const STAGE_LIMIT_MS = 120_000
/** A hold that some rank has not acknowledged by then is rolled back, so that the group does not stay blocked. */
export const HOLD_LIMIT_MS = 3_000
/** Rate limit of map changes that a coordinator sends; leaves most of the budget of 6,000 B/s to load reports. */
export const STAGE_BYTES_PER_S = 2_000
/** Delay before a load from the weight store is retried, unless the store gives a time. */
export const STORE_RETRY_MS = 1_000
/** Delay of a coordinator that was refused for a higher ballot, multiplied by a random factor from 1 to 2. */
export const BALLOT_RETRY_MS = 2_000
/** Interval at which a rank without a map requests a round. */
export const RANK_STARTED_INTERVAL_MS = 1_000
/** Interval of progress polls, which also show blocked ranks that the coordinator is alive. */
export const POLL_INTERVAL_MS = 1_000
/** Interval of load reports of a rank; 64 reports in this time leave bandwidth for switches within 6,000 B/s. */
export const REPORT_INTERVAL_MS = 6_000
/** Interval at which the coordinator's task requests a plan: every second report. */
export const PLAN_INTERVAL_MS = 12_000
