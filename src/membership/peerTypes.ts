/** What one entry tells the others about itself; the newest report replaces the one before. */
export interface PeerReport {
  nodeId: string
  /** Random identity of this run of the process. */
  incarnation: string
  /** Grows with each report of an incarnation. */
  sequence: number
  zone: string
  /** `ip:port` for callers. */
  frontAddress: string
  /** False before it can serve and once it is stopping. */
  isReady: boolean
  configurationVersion: number
  /** Offset read up to, by topic of the store. */
  storeOffsets: Record<string, number>
  /** Requests under way by worker; workers without any are left out. */
  running: Record<string, number>
  /** Pauses of streams in the last window, and those over their objective. */
  pauseCount: number
  latePauseCount: number
  /** Addresses of other entries that the sender knows; only in some reports. */
  peerAddresses?: string[]
}

/** The part of the report that the rest of the process states. */
export type SelfDescription = Omit<PeerReport, 'sequence' | 'peerAddresses'>

export enum PeerMessageKind {
  Tick = 'tick',
  ReportReceived = 'report-received',
  /** The own running requests, readiness or offsets changed. */
  SelfChanged = 'self-changed',
  Woken = 'woken'
}

export type PeerMessage =
  | { kind: PeerMessageKind.Tick }
  | { kind: PeerMessageKind.ReportReceived, report: PeerReport, fromAddress: string }
  | { kind: PeerMessageKind.SelfChanged }
  | { kind: PeerMessageKind.Woken }

export enum PeerEffectKind {
  SendReport = 'send-report',
  /** A report changed what is known of a peer. */
  PeerUpdated = 'peer-updated',
  PeerLost = 'peer-lost'
}

export type PeerEffect =
  | { kind: PeerEffectKind.SendReport, addresses: readonly string[], report: PeerReport }
  | { kind: PeerEffectKind.PeerUpdated, report: PeerReport, isNew: boolean }
  | { kind: PeerEffectKind.PeerLost, nodeId: string, address: string }

/** Changes within this time go out in one report. */
export const PEER_TICK_MS = 40
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
