/** Messages of the quarantine at an entry; one core serves one pool. */
export enum QuarantineMessageKind {
  UpstreamsChanged = 'upstreams-changed',
  CheckRequested = 'check-requested',
  Dispatched = 'dispatched',
  StartedAlone = 'started-alone',
  Ended = 'ended',
  UpstreamDied = 'upstream-died',
  SuspectsReceived = 'suspects-received',
  VerdictReceived = 'verdict-received',
  BroadcastReceived = 'broadcast-received',
  Tick = 'tick'
}

export enum QuarantineEffectKind {
  Run = 'run',
  RunAlone = 'run-alone',
  Refuse = 'refuse',
  Broadcast = 'broadcast',
  NotifyAgents = 'notify-agents'
}

/** Messages of the crash guard at an agent. */
export enum CrashGuardMessageKind {
  RunRequested = 'run-requested',
  RunEnded = 'run-ended',
  UpstreamDied = 'upstream-died',
  UpstreamStarted = 'upstream-started',
  SuspectsReceived = 'suspects-received',
  VerdictReceived = 'verdict-received',
  Tick = 'tick'
}

export enum CrashGuardEffectKind {
  Start = 'start',
  StartAlone = 'start-alone',
  Refuse = 'refuse',
  Cancel = 'cancel',
  /** For all linked entries, at once. */
  NotifyEntries = 'notify-entries'
}

/** Notices that travel on links between entries and agents and inside broadcasts. */
export enum NoticeKind {
  /** Requests that were in flight when an upstream died. */
  Suspects = 'suspects',
  Cleared = 'cleared',
  Quarantined = 'quarantined'
}

/** Topic of the broadcasts of this slice. */
export const QUARANTINE_TOPIC = 'quarantine'

/** Longest time that a broadcast takes to reach every entry. */
export const BROADCAST_DELAY_MAX_MS = 1_000
/** A suspect waits this long after its upstream died, so that every entry knows the verdict. */
export const VERDICT_HOLD_MS = 1_500
/** Deaths this close together are taken for one fault of hosts, not for the work of a request. */
export const CORRELATED_CRASHES_MS = 1_500

export const SUSPECT_LIFETIME_MS = 600_000
export const QUARANTINE_LIFETIME_MS = 3_600_000
export const SUSPECTS_MAX = 4_096
export const QUARANTINED_MAX = 4_096
/** Fingerprints in one broadcast; its payload holds 400 bytes. */
export const BROADCAST_FINGERPRINTS_MAX = 12

/** Part of the upstreams on which suspects run alone; the others serve everyone else meanwhile. */
export const ISOLATION_UPSTREAM_SHARE = 0.25
/** Suspects that wait at one agent for their turn. */
export const SUSPECT_QUEUE_MAX = 8
/** Longest wait of a suspect for the running requests to end; new ones are refused meanwhile. */
export const SUSPECT_WAIT_MAX_MS = 10_000
export const SUSPECT_RETRY_AFTER_MS = 2_000
