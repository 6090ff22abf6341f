import type { Incarnation, ResultCode, TimestampMs } from '../core/index.js'
import type { UpstreamExplanation } from './explainUpstreams.js'
import type { CacheEventKind, FailureCause, RouterEffectKind, RouterMessageKind } from './constants.js'

/**
 * Load of one upstream, measured by its agent. The unit of work is a prompt token for engines and a
 * request for plain services; fields named after tokens count this unit.
 */
export interface LoadReport {
  /** Increases by one with each report of an incarnation. */
  sequence: number
  madeAtMs: TimestampMs
  /** Work that was accepted and is not yet processed. */
  queuedTokens: number
  runningRequests: number
  /** Requests that are queued until a running one ends. */
  waitingRequests: number
  /** Maximum number of requests that run at once; 0 if unlimited. */
  runningMax: number
  /** Work processed per second while the upstream was busy. */
  tokensPerS: number
  /** Work accepted from all entries since the start of the incarnation. */
  acceptedTokens: number
  /** Requests finished per second, as a moving average. */
  finishedPerS: number
  /** The upstream takes no request before this time. */
  closedUntilMs?: TimestampMs
  prefixCache?: PrefixCacheState
}

export interface PrefixCacheState {
  /** Sequence number of the last cache event at the time of the report. */
  eventSequence: number
  blocksMax: number
}

/** Fingerprint of a prompt from its start to the end of one block; it identifies the whole prefix. */
export type BlockFingerprint = string

export interface CacheEvent {
  kind: CacheEventKind
  /** Absent for a cleared cache. */
  block?: BlockFingerprint
}

interface UpstreamRef { upstreamId: string, incarnation: Incarnation }
interface AttemptRef { requestId: string, upstreamId: string }

export interface ChooseRequest {
  requestId: string
  /** Fingerprints of the prompt's blocks, first block first; empty for a plain service. */
  blocks: readonly BlockFingerprint[]
  /** Estimated work of the request: prompt tokens, or 1 for a plain service. */
  tokens: number
  deadlineMs: TimestampMs
  /** Upstreams that must not be chosen, such as those of earlier attempts. */
  excludedIds: readonly string[]
}

export type RouterMessage =
  | UpstreamRef & { kind: RouterMessageKind.UpstreamAppeared, failureDomain: string }
  | UpstreamRef & { kind: RouterMessageKind.UpstreamLeft }
  | UpstreamRef & { kind: RouterMessageKind.UpstreamDraining }
  | UpstreamRef & { kind: RouterMessageKind.LoadReported, report: LoadReport }
  | UpstreamRef & { kind: RouterMessageKind.CacheChanged, sequence: number, events: readonly CacheEvent[] }
  | UpstreamRef & { kind: RouterMessageKind.CacheSnapshotReceived, sequence: number, blocks: readonly BlockFingerprint[] }
  | ChooseRequest & { kind: RouterMessageKind.ChooseRequested }
  | ChooseRequest & { kind: RouterMessageKind.ExplainRequested }
  | AttemptRef & { kind: RouterMessageKind.Dispatched, blocks: readonly BlockFingerprint[], tokens: number }
  | AttemptRef & { kind: RouterMessageKind.FirstTokenSeen }
  /** A token after the first one. Longer gaps between tokens show that the upstream is processing prompts. */
  | AttemptRef & { kind: RouterMessageKind.TokenSeen }
  | AttemptRef & { kind: RouterMessageKind.Finished }
  | AttemptRef & { kind: RouterMessageKind.Failed, cause: FailureCause }
  | { kind: RouterMessageKind.Tick }

export interface Choice {
  requestId: string
  upstreamId: string
  predictedFirstTokenMs: number
  /** Predicted time until processing of this request starts; part of the time to the first token. */
  predictedWaitMs: number
  /** Whether the first token is predicted to arrive before the deadline. */
  meetsDeadline: boolean
  /** One line for operators: what was compared and why this upstream was chosen. */
  explanation: string
}

export type RouterEffect =
  | Choice & { kind: RouterEffectKind.Chosen }
  | { kind: RouterEffectKind.Explained, upstreams: UpstreamExplanation[], code: ResultCode, explanation: string }
  | { kind: RouterEffectKind.NoneAvailable, requestId: string, code: ResultCode, explanation: string }
  | { kind: RouterEffectKind.CacheSnapshotWanted, upstreamId: string }
  | { kind: RouterEffectKind.Ejected, upstreamId: string, untilMs: TimestampMs, reason: string }
  | { kind: RouterEffectKind.Reinstated, upstreamId: string }
