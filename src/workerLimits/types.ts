import type { TimestampMs } from '../core/index.js'
import type { Worker, WorkerRun } from '../membership/index.js'
import type { WorkerLimitsEffectKind, WorkerLimitsMessageKind } from './constants.js'

/** What a worker says about itself in the head of a response. */
export interface WorkerNotice {
  /** Requests per second that the worker takes from all entries together; undefined while it names no limit. */
  limitPerS: number | undefined
  /** The worker is about to stop and takes no new requests. */
  isLeaving: boolean
  /** Time for which the worker wants no request from the receiver of the response; undefined if it names none. */
  pauseMs: number | undefined
}

/** The limit of a worker's run as one entry tells another; the age is relative, as entries share no clock. */
export interface ReportedLimit extends WorkerRun {
  /** Null if the worker no longer names a limit. */
  limitPerS: number | null
  /** Time since the worker's response arrived. */
  ageMs: number
}

/** Asks an issuer for permits to send requests to a worker. */
export interface PermitRequest {
  /** Chosen by the entry that asks; the answer repeats it. */
  requestId: number
  /** Zone of the worker. */
  zone: string
  limit: ReportedLimit
}

export interface PermitAnswer {
  requestId: number
  limit: ReportedLimit
  /** Requests that the asking entry may send to the worker; 0 if there is no permit for now. */
  count: number
  /** Time until the next permit, if there is none for now. */
  retryAfterMs: number
}

/** An entry that may issue permits. */
export interface PermitIssuerEntry {
  nodeId: string
  zone: string
  address: string
}

export type WorkerLimitsMessage =
  | { kind: WorkerLimitsMessageKind.NoticeHeard, run: WorkerRun, notice: WorkerNotice, sentAtMs: TimestampMs }
  | { kind: WorkerLimitsMessageKind.LimitsReported, limits: readonly ReportedLimit[] }
  | { kind: WorkerLimitsMessageKind.PermitWanted, worker: Worker }
  | { kind: WorkerLimitsMessageKind.PermitsRequested, request: PermitRequest, fromAddress: string }
  | { kind: WorkerLimitsMessageKind.PermitsAnswered, answer: PermitAnswer }
  | { kind: WorkerLimitsMessageKind.Tick }

export type WorkerLimitsEffect =
  | { kind: WorkerLimitsEffectKind.SendRequest, address: string, request: PermitRequest }
  | { kind: WorkerLimitsEffectKind.SendAnswer, address: string, answer: PermitAnswer }
  /** `isHeard` is set if a response to this entry named the limit, and not another entry. */
  | { kind: WorkerLimitsEffectKind.LimitChanged, workerId: string, before: number | undefined, limitPerS: number | undefined, isHeard: boolean }
  | { kind: WorkerLimitsEffectKind.PermitsChanged }
