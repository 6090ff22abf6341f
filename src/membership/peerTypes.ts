import type { PauseWindow } from '../limits/index.js'

/** The work of one entry, in a short report. */
export interface PeerLoad {
  /** Random identity of this run of the process. */
  incarnation: string
  /** Grows with each report of an incarnation. */
  sequence: number
  /** Requests under way by worker; workers without any are left out. */
  running: Record<string, number>
  /** Pauses between stream events in the last window, by service. */
  pauses: Record<string, PauseWindow>
}

/** What one entry tells the others about itself; the newest report replaces the one before. */
export interface PeerReport extends PeerLoad {
  nodeId: string
  zone: string
  /** `ip:port` for callers. */
  frontAddress: string
  /** False before it can serve and once it is stopping. */
  isReady: boolean
  configurationVersion: number
  /** Offset read up to, by topic of the store. */
  storeOffsets: Record<string, number>
  /** Runs of workers that crashed with a request, by the fingerprint of the request. */
  crashes: Record<string, string[]>
  /** Slow workers that the sender has read: the time that they need for their work, over that of a sound one. */
  paces: Record<string, number>
  /** Addresses of other entries that the sender knows; only in some reports. */
  peerAddresses?: string[]
}

/** What the agent of a worker tells entries about it. */
export interface PaceNotice {
  workerId: string
  /** Time that the worker needs for its work, over that of a sound one. */
  pace: number
}

/** The part of the report that the rest of the process states. */
export type SelfDescription = Omit<PeerReport, 'sequence' | 'peerAddresses'>

/** What changed about this process; the first two need only a short report. */
export enum SelfChange {
  /** A request was sent: the others must know at once, as they place theirs by it. */
  LoadRose = 'load-rose',
  LoadFell = 'load-fell',
  /** Readiness, configuration or offsets. */
  State = 'state'
}

export enum PeerMessageKind {
  Tick = 'tick',
  ReportReceived = 'report-received',
  LoadReceived = 'load-received',
  PaceReceived = 'pace-received',
  SelfChanged = 'self-changed',
  Woken = 'woken'
}

export type PeerMessage =
  | { kind: PeerMessageKind.Tick }
  | { kind: PeerMessageKind.ReportReceived, report: PeerReport, fromAddress: string }
  | { kind: PeerMessageKind.LoadReceived, load: PeerLoad, fromAddress: string }
  | { kind: PeerMessageKind.PaceReceived, notice: PaceNotice }
  | { kind: PeerMessageKind.SelfChanged, change: SelfChange }
  | { kind: PeerMessageKind.Woken }

export enum PeerEffectKind {
  SendReport = 'send-report',
  /** A report changed what is known of a peer. */
  PeerUpdated = 'peer-updated',
  PeerLost = 'peer-lost',
  PaceTold = 'pace-told'
}

export type PeerEffect =
  | { kind: PeerEffectKind.SendReport, addresses: readonly string[], report: PeerReport | PeerLoad }
  | { kind: PeerEffectKind.PeerUpdated, report: PeerReport, isNew: boolean }
  | { kind: PeerEffectKind.PeerLost, nodeId: string, address: string }
  | { kind: PeerEffectKind.PaceTold } & PaceNotice

export const PEER_TICK_MS = 40
/** Changes within these times go out in one report. */
export const PEER_CHANGE_DELAY_MS: Record<SelfChange, number> = {
  [SelfChange.LoadRose]: 0,
  [SelfChange.LoadFell]: 160,
  [SelfChange.State]: 0
}
/** An entry without changes reports this often, to be known as alive. */
export const PEER_HEARTBEAT_MS = 500
/** Reports with the addresses of all known peers, for those that know few. */
export const PEER_LIST_INTERVAL_MS = 2_000
/** A peer without a report for this time is taken as down. */
export const PEER_SILENCE_MS = 2_200
/** A silent peer may be cut off; it is still told about this process for a while. */
export const PEER_FORGET_MS = 120_000
/** Reports go to at most this many peers at once. */
export const PEER_FANOUT_MAX = 40
