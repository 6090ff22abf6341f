/** The rank that holds the group is the same for every coordinator, so that its hold excludes a second switch. */
export const HOLDER_RANK = 0
/** An order without an answer is sent again after this time. */
export const ORDER_RETRY_MS = 120
/** Copies take seconds; a map that is not ready by then is given up. */
export const PREPARE_LIMIT_MS = 9_000
/** A hold must arrive before its pass begins: passes between the one that is under way by now and the held one. */
export const HOLD_LEAD_STEPS = 1
/** A group that cannot be armed within this time is released with its old map. */
export const ARM_LIMIT_MS = 1_200
