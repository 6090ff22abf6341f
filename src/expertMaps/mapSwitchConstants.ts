/**
 * The rank that holds the group. It is the same for every coordinator, so that its hold excludes a concurrent switch.
 * The lowest live rank coordinates, so both are on the same host only in a group of one rank, and the group can be
 * released while the processes of the coordinator's host are paused.
 */
export const holderRankOf = (ranks: number): number => ranks - 1
/** A hold begins only if every rank was read within this time; a rank whose process is paused cannot be armed. */
export const HOLD_VIEW_AGE_MAX_MS = 300
/** An order without a response is sent again after this time; a response usually takes a few ms. */
export const ORDER_RETRY_MS = 60
/** A prepare order carries a map, which takes a while to reach all ranks of a large group. */
export const PREPARE_RETRY_MS = 250
/** Copies take seconds; a switch to a map that is not prepared within this time is called off. */
export const PREPARE_LIMIT_MS = 9_000
/** Passes between the estimated current pass and the held one; the hold must arrive before its pass begins. */
export const HOLD_LEAD_STEPS = 1
/** A group that is not armed within this time is released with its old map. */
export const ARM_LIMIT_MS = 1_200
