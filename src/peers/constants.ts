/** Why this process reports; the first two kinds need only a short report. */
export enum SelfChange {
  /** A request was sent; reported at once, because the other entries place their requests by it. */
  LoadRose = 'load-rose',
  LoadFell = 'load-fell',
  /** Readiness, configuration or offsets. */
  State = 'state'
}

export const PEER_TICK_MS = 40
/** Delay until a change is reported; changes within it are sent in one report. */
export const PEER_CHANGE_DELAY_MS: Record<SelfChange, number> = {
  [SelfChange.LoadRose]: 0,
  [SelfChange.LoadFell]: 160,
  [SelfChange.State]: 0
}
/** An entry without changes sends a report at this interval, so that peers consider it alive. */
export const PEER_HEARTBEAT_MS = 500
/** Interval of reports that carry the addresses of all known entries, for entries that know only a few. */
export const PEER_LIST_INTERVAL_MS = 2_000
/** A peer or zone without a report for this time is considered down. */
export const PEER_SILENCE_MS = 2_200
/** A silent peer may be cut off by a partition, so it still gets reports for this time. */
export const PEER_FORGET_MS = 120_000
/** Entries that exchange summaries with the other zones; the second one covers the loss of the first. */
export const RELAYS_PER_ZONE = 2
/** A relay sends the load of its zone at most this often; the relays of a zone send independently. */
export const ZONE_LOAD_INTERVAL_MS = 400
/** A relay sends the complete summary of its zone at least this often. */
export const ZONE_SUMMARY_INTERVAL_MS = 2_000
/**
 * Callers are sent to an entry only if it, or its zone's list of it, was heard of within this time, whatever happened to this
 * process since. An entry is in the lists of its zone for PEER_SILENCE_MS after its end; with this and the time between
 * summaries, no one names it later than `stable_window_ms` and 3 s after it, 6 s on the strictest deployment.
 */
export const PEER_NAMED_MS = 3_000
/**
 * Complete reports, which alone say that an entry stops, come every PEER_LIST_INTERVAL_MS; this lets one of them be lost, and
 * is below the 6 s in which a stopping entry must have left the lists.
 */
export const PEER_STATE_MS = 5_000
/** A gap this long between two ticks means that the process was paused. */
export const PEER_PAUSE_MS = 1_200
/** Time in which a process reads what the kernel has kept during its pause. Reports among it are dropped; others follow soon. */
export const PAUSE_BACKLOG_MS = 250
/** After a long pause a relay lets the entries of its zone report for a heartbeat before it tells other zones of them. */
export const PAUSE_SETTLE_MS = 800
