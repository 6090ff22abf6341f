import type { ResultCode, TimestampMs } from '../core/index.js'
import type {
  CrashGuardEffectKind, CrashGuardMessageKind, NoticeKind, QuarantineEffectKind, QuarantineMessageKind
} from './constants.js'

/** Fingerprint of a request body. */
export type BodyFingerprint = string

/** Identifies one crash of one upstream, for example by upstream and incarnation; equal for all observers. */
export type CrashId = string

/** A fact about requests, sent over links and in broadcasts. */
export type Notice =
  | { kind: NoticeKind.Suspects, crashId: CrashId, upstreamId: string, fingerprints: readonly BodyFingerprint[] }
  /** Clears the request only of the crashes that were known at the agent on which it ran. */
  | { kind: NoticeKind.Cleared, fingerprint: BodyFingerprint, crashIds: readonly CrashId[] }
  | { kind: NoticeKind.Quarantined, fingerprint: BodyFingerprint, crashId: CrashId }

export interface Broadcast {
  topic: string
  /** Equal for equal notices, so that duplicates can be detected. */
  id: string
  payload: Notice
  expiresMs: TimestampMs
}

export type QuarantineMessage =
  /** Live upstreams of the whole pool, not only of the subset to which this entry is linked. */
  | { kind: QuarantineMessageKind.UpstreamsChanged, upstreamIds: readonly string[] }
  | { kind: QuarantineMessageKind.CheckRequested, requestId: string, fingerprint: BodyFingerprint }
  | { kind: QuarantineMessageKind.Dispatched, requestId: string, fingerprint: BodyFingerprint, upstreamId: string }
  /** The agent reported that the request runs alone. */
  | { kind: QuarantineMessageKind.StartedAlone, requestId: string }
  | { kind: QuarantineMessageKind.Ended, requestId: string }
  /** `hostLost` is set if the agent was lost too, so that no crash guard can report what was running. */
  | { kind: QuarantineMessageKind.UpstreamDied, upstreamId: string, crashId: CrashId, hostLost: boolean }
  /** From an agent over its link: a crash of its own upstream, one reported to it, or the reason for a refusal. */
  | { kind: QuarantineMessageKind.SuspectsReceived, notice: Extract<Notice, { kind: NoticeKind.Suspects }> }
  | { kind: QuarantineMessageKind.VerdictReceived, notice: Exclude<Notice, { kind: NoticeKind.Suspects }> }
  | { kind: QuarantineMessageKind.BroadcastReceived, broadcast: Broadcast }
  | { kind: QuarantineMessageKind.Tick }

export type QuarantineEffect =
  | { kind: QuarantineEffectKind.Run, requestId: string }
  /** Dispatch the request to this upstream only, marked as a suspect. */
  | { kind: QuarantineEffectKind.RunAlone, requestId: string, upstreamId: string }
  | { kind: QuarantineEffectKind.Refuse, requestId: string, code: ResultCode, retryAfterMs: number }
  | { kind: QuarantineEffectKind.Broadcast, broadcast: Broadcast }
  /** Send the notice to all linked agents of the pool immediately, not by gossip. */
  | { kind: QuarantineEffectKind.NotifyAgents, notice: Notice }

export type CrashGuardMessage =
  | {
    kind: CrashGuardMessageKind.RunRequested
    runId: string
    fingerprint: BodyFingerprint
    isSuspect: boolean
    /** Whether the run may be cancelled and retried elsewhere. */
    isRepeatable: boolean
  }
  | { kind: CrashGuardMessageKind.RunEnded, runId: string, succeeded: boolean }
  | { kind: CrashGuardMessageKind.UpstreamDied, crashId: CrashId }
  | { kind: CrashGuardMessageKind.UpstreamStarted }
  | { kind: CrashGuardMessageKind.SuspectsReceived, notice: Extract<Notice, { kind: NoticeKind.Suspects }> }
  | { kind: CrashGuardMessageKind.VerdictReceived, notice: Exclude<Notice, { kind: NoticeKind.Suspects }> }
  | { kind: CrashGuardMessageKind.Tick }

export type CrashGuardEffect =
  | { kind: CrashGuardEffectKind.Start, runId: string }
  | { kind: CrashGuardEffectKind.StartAlone, runId: string }
  /** `notice` explains the refusal to an entry that does not know of the suspicion yet. */
  | { kind: CrashGuardEffectKind.Refuse, runId: string, code: ResultCode, notice?: Notice }
  | { kind: CrashGuardEffectKind.Cancel, runId: string, code: ResultCode }
  | { kind: CrashGuardEffectKind.NotifyEntries, notice: Notice }
