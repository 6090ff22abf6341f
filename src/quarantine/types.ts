import type { ResultCode, TimestampMs } from '../core/index.js'
import type {
  CrashGuardEffectKind, CrashGuardMessageKind, NoticeKind, QuarantineEffectKind, QuarantineMessageKind
} from './constants.js'

/** Fingerprint of a request body. */
export type BodyFingerprint = string

/** Names one death of one upstream, such as upstream and incarnation; equal for all who saw it. */
export type CrashId = string

/** A fact about requests, passed on over links and by broadcast. */
export type Notice =
  | { kind: NoticeKind.Suspects, crashId: CrashId, upstreamId: string, fingerprints: readonly BodyFingerprint[] }
  /** Cleared only of the crashes that were known where it ran. */
  | { kind: NoticeKind.Cleared, fingerprint: BodyFingerprint, crashIds: readonly CrashId[] }
  | { kind: NoticeKind.Quarantined, fingerprint: BodyFingerprint, crashId: CrashId }

export interface Broadcast {
  topic: string
  /** Equal for equal notices, so that copies are recognised. */
  id: string
  payload: Notice
  expiresMs: TimestampMs
}

export type QuarantineMessage =
  /** Live upstreams of the whole pool, not only of the subset that this entry is linked to. */
  | { kind: QuarantineMessageKind.UpstreamsChanged, upstreamIds: readonly string[] }
  | { kind: QuarantineMessageKind.CheckRequested, requestId: string, fingerprint: BodyFingerprint }
  | { kind: QuarantineMessageKind.Dispatched, requestId: string, fingerprint: BodyFingerprint, upstreamId: string }
  /** The agent reported that the request runs alone. */
  | { kind: QuarantineMessageKind.StartedAlone, requestId: string }
  | { kind: QuarantineMessageKind.Ended, requestId: string }
  /** `hostLost` is set if the agent went silent too, so that no crash guard can tell what ran. */
  | { kind: QuarantineMessageKind.UpstreamDied, upstreamId: string, crashId: CrashId, hostLost: boolean }
  /** From an agent over its link: its own crash, one that it heard of, or the reason of a refusal. */
  | { kind: QuarantineMessageKind.SuspectsReceived, notice: Extract<Notice, { kind: NoticeKind.Suspects }> }
  | { kind: QuarantineMessageKind.VerdictReceived, notice: Exclude<Notice, { kind: NoticeKind.Suspects }> }
  | { kind: QuarantineMessageKind.BroadcastReceived, broadcast: Broadcast }
  | { kind: QuarantineMessageKind.Tick }

export type QuarantineEffect =
  | { kind: QuarantineEffectKind.Run, requestId: string }
  /** To this upstream and no other, marked as a suspect. */
  | { kind: QuarantineEffectKind.RunAlone, requestId: string, upstreamId: string }
  | { kind: QuarantineEffectKind.Refuse, requestId: string, code: ResultCode, retryAfterMs: number }
  | { kind: QuarantineEffectKind.Broadcast, broadcast: Broadcast }
  /** To all linked agents of the pool, at once and not by gossip. */
  | { kind: QuarantineEffectKind.NotifyAgents, notice: Notice }

export type CrashGuardMessage =
  | {
    kind: CrashGuardMessageKind.RunRequested
    runId: string
    fingerprint: BodyFingerprint
    isSuspect: boolean
    /** Whether the run may be cancelled and repeated elsewhere. */
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
  /** `notice` tells an entry that does not know it yet why the request is refused. */
  | { kind: CrashGuardEffectKind.Refuse, runId: string, code: ResultCode, notice?: Notice }
  | { kind: CrashGuardEffectKind.Cancel, runId: string, code: ResultCode }
  | { kind: CrashGuardEffectKind.NotifyEntries, notice: Notice }
