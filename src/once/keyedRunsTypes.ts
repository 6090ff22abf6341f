import type { ResultCode } from '../core/index.js'
import type { AgentReply, DispatchFrame, VoidIfUnseenFrame } from './types.js'

/** Messages that an agent's keyed runs handle. */
export enum RunsMessageKind {
  Dispatched = 'dispatched',
  VoidRequested = 'void-requested',
  UpstreamChunk = 'upstream-chunk',
  UpstreamEnded = 'upstream-ended',
  UpstreamFailed = 'upstream-failed',
  /** An entry no longer waits for the response to one request. */
  Detached = 'detached',
  /** The link to an entry is lost. */
  EntryLost = 'entry-lost',
  DrainStarted = 'drain-started',
  WindowChanged = 'window-changed',
  Tick = 'tick'
}

export type RunsMessage =
  | { kind: RunsMessageKind.Dispatched, from: string, frame: DispatchFrame }
  | { kind: RunsMessageKind.VoidRequested, from: string, frame: VoidIfUnseenFrame }
  | { kind: RunsMessageKind.UpstreamChunk, runId: string, bytes: Uint8Array }
  | { kind: RunsMessageKind.UpstreamEnded, runId: string, httpStatus: number }
  /** `hasStarted` is false only with proof that the upstream received nothing. */
  | { kind: RunsMessageKind.UpstreamFailed, runId: string, code: ResultCode, hasStarted: boolean }
  | { kind: RunsMessageKind.Detached, from: string, scopedKey: string, requestId: string }
  | { kind: RunsMessageKind.EntryLost, from: string }
  | { kind: RunsMessageKind.DrainStarted }
  | { kind: RunsMessageKind.WindowChanged, windowMs: number }
  | { kind: RunsMessageKind.Tick }

/** Effects of an agent's keyed runs. */
export enum RunsEffectKind {
  /** Runs the request on the upstream; it is not cancelled when its callers disconnect. */
  StartRun = 'start-run',
  /** Sends an entry one frame with a state, a refusal, or a part of the response. */
  Reply = 'reply'
}

export type RunsEffect =
  | { kind: RunsEffectKind.StartRun, runId: string, body: Uint8Array }
  | { kind: RunsEffectKind.Reply, to: string, reply: AgentReply }

/** Safety rules; tests disable them to verify that the checks detect the violation. */
export interface RunsRules {
  /** Runs a key only if its binding names this incarnation. */
  checksIncarnation: boolean
  /** Attaches later dispatches of a key to its existing run. */
  joinsRuns: boolean
  /** Refuses a dispatch whose binding was voided. */
  remembersVoids: boolean
  /** Refuses keys whose record may have been dropped. */
  refusesForgottenKeys: boolean
}

export const RUNS_RULES: RunsRules = {
  checksIncarnation: true, joinsRuns: true, remembersVoids: true, refusesForgottenKeys: true
}
