import type { EventGapWindow } from '../limits/index.js'

/** Short report of the load of one entry. */
export interface PeerLoad {
  /** Random identity of this run of the process. */
  incarnation: string
  /** Increases with each report of an incarnation. */
  sequence: number
  /** Requests in flight by worker; workers without any are omitted. */
  running: Record<string, number>
  /** Gaps between stream events in the last window, by service. */
  pauses: Record<string, EventGapWindow>
}

/** Full report of one entry about itself; the newest report replaces the previous one. */
export interface PeerReport extends PeerLoad {
  nodeId: string
  zone: string
  /** `ip:port` that callers connect to. */
  frontAddress: string
  /** False until the entry can serve requests and once it is stopping. */
  isReady: boolean
  configurationVersion: number
  /** Offset up to which the store was read, by topic. */
  storeOffsets: Record<string, number>
  /** Runs of workers that crashed while running a request, by the fingerprint of the request. */
  crashes: Record<string, string[]>
  /**
   * Slowdown factors of the slow workers that the sender knows of: their processing time relative to a
   * healthy worker.
   */
  paces: Record<string, number>
  /** Addresses of live entries that the sender knows; only in some reports. */
  peerAddresses?: string[]
}

/** Report of a worker's slowdown, sent to entries by its agent. */
export interface SlowdownNotice {
  workerId: string
  /** Slowdown factor: the processing time of the worker relative to a healthy one. */
  pace: number
}

/** The part of a report that the rest of the process provides. */
export type SelfDescription = Omit<PeerReport, 'sequence' | 'peerAddresses'>

/** Change of this process; the first two kinds need only a short report. */
export enum SelfChange {
  /** A request was sent; reported at once, because the other entries place their requests by it. */
  LoadRose = 'load-rose',
  LoadFell = 'load-fell',
  /** Readiness, configuration or offsets. */
  State = 'state'
}

export enum PeerMessageKind {
  Tick = 'tick',
  ReportReceived = 'report-received',
  LoadReceived = 'load-received',
  SlowdownReceived = 'slowdown-received',
  SelfChanged = 'self-changed',
  /** The process continues after a pause. */
  ProcessResumed = 'process-resumed'
}

export type PeerMessage =
  | { kind: PeerMessageKind.Tick }
  | { kind: PeerMessageKind.ReportReceived, report: PeerReport, fromAddress: string }
  | { kind: PeerMessageKind.LoadReceived, load: PeerLoad, fromAddress: string }
  | { kind: PeerMessageKind.SlowdownReceived, notice: SlowdownNotice }
  | { kind: PeerMessageKind.SelfChanged, change: SelfChange }
  | { kind: PeerMessageKind.ProcessResumed }

export enum PeerEffectKind {
  SendReport = 'send-report',
  /** A report updated the state of a peer. */
  PeerUpdated = 'peer-updated',
  PeerLost = 'peer-lost',
  SlowdownReported = 'slowdown-reported'
}

export type PeerEffect =
  | { kind: PeerEffectKind.SendReport, addresses: readonly string[], report: PeerReport | PeerLoad }
  | { kind: PeerEffectKind.PeerUpdated, report: PeerReport, isNew: boolean }
  | { kind: PeerEffectKind.PeerLost, nodeId: string, address: string }
  | { kind: PeerEffectKind.SlowdownReported } & SlowdownNotice

export const PEER_TICK_MS = 40
/** Delay until a change is reported; changes within it are sent in one report. */
export const PEER_CHANGE_DELAY_MS: Record<SelfChange, number> = {
  [SelfChange.LoadRose]: 0,
  [SelfChange.LoadFell]: 160,
  [SelfChange.State]: 0
}
/** An entry without changes sends a report at this interval, so that peers consider it alive. */
export const PEER_HEARTBEAT_MS = 500
/** Interval of reports that carry the addresses of all live peers, for entries that know only a few. */
export const PEER_LIST_INTERVAL_MS = 2_000
/** A peer without a report for this time is considered down. */
export const PEER_SILENCE_MS = 2_200
/** A silent peer may be cut off by a partition, so it still gets reports for this time. */
export const PEER_FORGET_MS = 120_000
/** A report is sent to at most this many peers at once. */
export const PEER_FANOUT_MAX = 40
