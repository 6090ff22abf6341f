/** Load of an entry in coarse steps. */
export enum LoadStep {
  Calm,
  Busy,
  Loaded,
  Saturated
}

/** Capacity of an entry that reports none, or whose settings name no cores. */
export const CAPACITY_DEFAULT = 1
/** Keeps an entry with tiny limits in the lists, and a weight from a broken report positive. */
export const CAPACITY_MIN = 0.05
/** Capacity is reported in steps of 0.01 cores. */
export const CAPACITY_STEPS_PER_CORE = 100

/** What one core of capacity needs so that another resource does not bind first. */
export const LINK_MBPS_PER_CORE = 40
export const MEMORY_MB_PER_CORE = 200
export const FDS_PER_CORE = 2_000
/** Memory of a process without requests, and descriptors that are kept for files. */
export const MEMORY_BASE_MB = 64
export const FDS_BASE = 200

/** Share of the callers that an entry gets at each step, relative to a calm one. */
export const LOAD_FACTOR: Record<LoadStep, number> = {
  [LoadStep.Calm]: 1,
  [LoadStep.Busy]: 0.7,
  [LoadStep.Loaded]: 0.45,
  [LoadStep.Saturated]: 0.25
}
/** A step is entered above these means. */
export const LOAD_STEP_FROM: Record<LoadStep, { timerLateMs: number, inFlightPerCore: number }> = {
  [LoadStep.Calm]: { timerLateMs: 0, inFlightPerCore: 0 },
  [LoadStep.Busy]: { timerLateMs: 15, inFlightPerCore: 150 },
  [LoadStep.Loaded]: { timerLateMs: 50, inFlightPerCore: 300 },
  [LoadStep.Saturated]: { timerLateMs: 150, inFlightPerCore: 600 }
}
/** A step is left only below this share of the means at which it was entered. */
export const LOAD_STEP_LEAVE_SHARE = 0.6
/** Weight of a new sample in the means. */
export const LOAD_SAMPLE_SHARE = 0.2
/** A pause of the process counts as one late timer, not as load. */
export const TIMER_LATE_MAX_MS = 200
/** Time for which the means must ask for another step; callers keep a list for up to 3 s, so a quick return would swing. */
export const LOAD_RISE_MS = 1_000
export const LOAD_FALL_MS = 5_000

/** A caller that cannot connect needs other addresses in its list. */
export const LIST_ADDRESSES_MIN = 4

/** Minimum fleet size that an entry assumes, so that a part of the fleet never uses the whole of a budget. */
export const FLEET_ENTRIES_MIN = 12
/** An entry counts entries that it has lost sight of for this long, as they may be cut off and use their shares. */
export const FLEET_HOLD_MS = 600_000
export const FLEET_HOLD_BUCKETS = 10
/**
 * When a whole fleet starts at once, its entries know hardly anyone for about 2 s. With this factor, 72 of them that each assume
 * FLEET_ENTRIES_MIN have 1.5 shares together, of which the retry budget uses 0.6.
 */
export const SHARE_SETTLE_MS = 3_000
export const SHARE_SETTLE_FACTOR = 0.25
