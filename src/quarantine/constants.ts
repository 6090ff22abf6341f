/** Messages handled by the quarantine of an entry; there is one core for each pool. */
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

/** Messages handled by the crash guard of an agent. */
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
  /** Send a notice to all linked entries immediately. */
  NotifyEntries = 'notify-entries'
}

/** Notices sent over links between entries and agents and in broadcasts. */
export enum NoticeKind {
  /** Requests that were in flight when an upstream crashed. */
  Suspects = 'suspects',
  Cleared = 'cleared',
  Quarantined = 'quarantined'
}

/** Topic of the broadcasts that carry notices. */
export const QUARANTINE_TOPIC = 'quarantine'

/** Maximum time in which a broadcast reaches every entry. */
export const BROADCAST_DELAY_MAX_MS = 1_000
/** A suspect is held for this time after its upstream crashed, so that every entry receives the verdict first. */
export const VERDICT_HOLD_MS = 1_500
/** Crashes closer together than this are attributed to a common fault of the hosts, not to a request. */
export const CORRELATED_CRASHES_MS = 1_500

export const SUSPECT_LIFETIME_MS = 600_000
export const QUARANTINE_LIFETIME_MS = 3_600_000
export const SUSPECTS_MAX = 4_096
export const QUARANTINED_MAX = 4_096
/** Maximum number of fingerprints in one broadcast, whose payload is limited to 400 bytes. */
export const BROADCAST_FINGERPRINTS_MAX = 12

/** Share of the upstreams on which suspects run alone, so that the others keep serving normal requests. */
export const ISOLATION_UPSTREAM_SHARE = 0.25
/** Maximum number of suspects queued at one agent. */
export const SUSPECT_QUEUE_MAX = 8
/** Longest time that a suspect waits for the running requests to end; new requests are refused meanwhile. */
export const SUSPECT_WAIT_MAX_MS = 10_000
export const SUSPECT_RETRY_AFTER_MS = 2_000
