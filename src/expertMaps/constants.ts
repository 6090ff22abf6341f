/** Shares of tokens are multiples of 1 / SHARE_UNITS, so that they survive encoding and sum to one exactly. */
export const SHARE_UNITS = 240

/** Half-life of the load averages, in steps: long enough to smooth noise, short against a drift of minutes. */
export const LOAD_HALF_LIFE_STEPS = 200
/** Reports further behind the newest step are dropped: they describe a load that the average has left behind. */
export const REPORT_AGE_MAX_STEPS = 1_000
/** Maps whose shares are kept for reports that arrive after a switch. */
export const KNOWN_MAPS_MAX = 4
export const SPEED_SMOOTHING = 0.3
/** Below this share of the median speed a rank counts as a straggler. */
export const STRAGGLER_SPEED_RATIO = 0.8
/** Recovery needs a clearly higher speed, so that a rank at the limit does not alternate. */
export const RECOVERED_SPEED_RATIO = 0.9
/** Reports in a row that must agree before a rank changes between straggler and healthy. */
export const STRAGGLER_REPORTS = 3
/** A rank measured at zero would receive no load and could never show that it recovered. */
export const RANK_SPEED_MIN = 0.05

/** Free memory of a rank beyond an even split, as a share of it; also room for staged weights. */
export const SPARE_SLOT_RATIO = 0.05
export const SPARE_SLOTS_MIN = 3
/** Slots that a finished map leaves free on each rank; without one no expert could ever be staged there. */
export const STAGING_SLOTS_MIN = 1
/** Copies in one plan; bounds the size of a map change and the time of one switch. */
export const PLAN_COPIES_MAX = 96
/** Search steps in one plan; reweights cost no copy and need their own bound. */
export const PLAN_STEPS_MAX = 600
/** Time after which a slice ends early; with the longest unit it stays below 5 ms. */
export const PLAN_SLICE_BUDGET_MS = 2
/** Work units in one slice. A unit costs a few microseconds, so a slice stays far below 5 ms. */
export const PLAN_UNITS_PER_SLICE = 16
/** Items indexed for one unit of work. */
export const PLAN_ITEMS_PER_UNIT = 32
/** Load limits, relative to the perfect split, from which a plan searches. */
export const PLAN_LIMIT_RATIOS: readonly number[] = [1, 1.02, 1.05, 1.1, 1.2]
/** Growth of the load limit when no rank can take more below it. */
export const PLAN_LIMIT_STEP_RATIO = 1.005
/** Search stops here: a smaller skew drowns in the noise of single steps. */
export const SKEW_GOAL_RATIO = 1.005
/** Predicted skew below which no plan starts. */
export const SKEW_START_RATIO = 1.02
/** Evaluations in a row that must show the skew before experts move; a shorter peak passes without a move. */
export const SKEW_PERSISTENCE = 2
/** A plan must gain this multiple of its own cost. */
export const GAIN_OVER_COST_MIN = 1.25
/** Gain in skew below which no switch starts: its messages alone are some 40 KB for 64 ranks. */
export const GAIN_MIN = 0.01
/** Peer copies are limited to this rate, so that they leave most of the network to the steps. */
export const PEER_COPY_BYTES_PER_MS = 1_000_000
/** Slowdown of the steps of a rank that sends or receives a copy. */
export const COPY_SLOWDOWN_RATIO = 0.1
/** The objective counts the skew and the moves of this time. */
export const PLAN_HORIZON_MS = 60_000
/** Horizons for which a placement usually stays useful under drift; its copies are paid once for all of them. */
export const PLACEMENT_HORIZONS = 3

/** Steps between the last known step and the hold; acks and release arrive within it, also after one resend. */
export const HOLD_MARGIN_STEPS = 12
export const RESEND_INTERVAL_MS = 250
/** A rank that waits for its coordinator suspects it after this silence. */
export const COORDINATOR_SILENCE_MS = 1_500
/** A suspected coordinator is considered again after this time. */
export const SUSPICION_MS = 10_000
/** Staging ends without effect after this time, for instance when the weight store refuses. */
export const STAGE_LIMIT_MS = 120_000
/** A hold that is not complete after this time is rolled back, so that the group does not stay blocked. */
export const HOLD_LIMIT_MS = 3_000
/** Bytes of map changes that a coordinator sends per second; leaves most of 6,000 B/s to load reports. */
export const STAGE_BYTES_PER_S = 2_000
/** Wait before the weight store is asked again, unless it names a time. */
export const STORE_RETRY_MS = 1_000
/** Wait of a coordinator that met a higher ballot, multiplied by a random factor from 1 to 2. */
export const BALLOT_RETRY_MS = 2_000
/** Interval at which a rank without a map asks for a round. */
export const RANK_STARTED_INTERVAL_MS = 1_000
/** Interval of questions for progress, which also tell blocked ranks that the coordinator lives. */
export const POLL_INTERVAL_MS = 1_000
/** Interval at which the task of a rank reports; 64 reports in this time leave room for switches below 6,000 B/s. */
export const REPORT_INTERVAL_MS = 6_000
/** Interval at which the task of the coordinator asks for a plan: every second report. */
export const PLAN_INTERVAL_MS = 12_000
