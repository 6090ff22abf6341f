import type { TimestampMs } from '../core/index.js'
import type { Worker, WorkerRegistration, WorkerRun } from '../membership/index.js'
import type { ColdChange } from './createColdTable.js'
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

/**
 * That a worker is cold, as an entry tells an issuer that may not know yet. It holds for one request for permits only:
 * only the worker's own registration says how long the cold time lasts.
 */
export interface ReportedCold extends WorkerRun {
  permitsPerS: number
}

/** Asks an issuer for permits to send requests to a worker, which names a limit, is cold, or both. */
export type PermitRequest = {
  /** Chosen by the entry that asks; the answer repeats it. */
  requestId: number
  /** Zone of the worker. */
  zone: string
} & ({ limit: ReportedLimit, cold?: ReportedCold } | { limit?: undefined, cold: ReportedCold })

export interface PermitAnswer {
  requestId: number
  /** Undefined if the issuer knows of no limit that the worker names. */
  limit?: ReportedLimit
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
  | { kind: WorkerLimitsMessageKind.WorkerRead, registration: WorkerRegistration }
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
  | { kind: WorkerLimitsEffectKind.ColdChanged } & ColdChange
  | { kind: WorkerLimitsEffectKind.PermitsChanged }
