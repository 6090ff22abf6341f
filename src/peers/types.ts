import type { LogPosition } from '../core/index.js'
import type { EntryWeight, PackedWeights, ReportedWeight } from '../entryWeights/index.js'
import type { EventGapWindow } from '../limits/index.js'
import type { CrashReport } from '../quarantine/index.js'
import type { ReportedTimes } from '../upstreamCapacity/index.js'
import type { PermitAnswer, PermitRequest, ReportedLimit } from '../workerLimits/index.js'
import type { SelfChange } from './constants.js'

/** Load that one entry, or all entries of a zone, put on the workers. */
export interface LoadSummary {
  /** Requests in flight by worker; workers without any are omitted. */
  running: Record<string, number>
  /** Gaps between stream events in the last window, by service. */
  pauses: Record<string, EventGapWindow>
  /** Response times of upstreams that may differ from the others of their service; absent if there are none. */
  upstreamTimes?: ReportedTimes
}

/** State of one entry, or merged from all entries of a zone, that changes rarely. */
export interface SharedState {
  configurationVersion: number
  /** Position up to which the store was read, by topic. */
  storePositions: Record<string, LogPosition>
  /** Crashes of workers and what the requests at them had in common. */
  crashes: CrashReport
  /**
   * Slowdown factors of the slow workers that the sender knows of: their processing time relative to a
   * healthy worker.
   */
  paces: Record<string, number>
  /** Limits that workers name in their responses, as far as the sender knows. */
  workerLimits: readonly ReportedLimit[]
}

/** Short report of the load of one entry. */
export interface PeerLoad extends LoadSummary {
  /** Random identity of this run of the process. */
  incarnation: string
  /** Increases with each report of an incarnation. */
  sequence: number
  /** How loaded the entry is; left out while it is calm. A change waits for the next report. */
  loadStep?: ReportedWeight['loadStep']
}

/** Address on which an entry receives reports, and its zone. */
export interface EntryAddress { address: string, zone: string }

/** Full report of one entry about itself; the newest report replaces the previous one. */
export interface PeerReport extends PeerLoad, SharedState {
  nodeId: string
  zone: string
  /** `ip:port` that callers connect to. */
  frontAddress: string
  /** False until the entry can serve requests and once it is stopping. */
  isReady: boolean
  /** False if the last call of the entry to the store has failed. */
  isStoreConnected: boolean
  /** Left out if it is the default. */
  capacity?: ReportedWeight['capacity']
  /** All live entries that the sender knows; only in some reports. */
  knownEntries?: EntryAddress[]
}

/** One entry as listed in the summary of its zone. */
export interface ZoneEntry {
  nodeId: string
  /** `ip:port` on which the entry receives reports. */
  address: string
  frontAddress: string
  isReady: boolean
}

/** Short summary of a zone: its load only. */
export interface ZoneLoad extends LoadSummary {
  zone: string
  /** Address and run of the relay that created the summary. */
  relayAddress: string
  relayIncarnation: string
  /** Increases with each summary of a relay's run. */
  sequence: number
}

/** Summary of all entries of a zone, created by one of its relays; the weights are in the order of the entries. */
export interface ZoneSummary extends ZoneLoad, SharedState, PackedWeights {
  entries: ZoneEntry[]
  /** Relays of the other zones that the sender knows, for zones that have not found each other yet. */
  otherRelays: EntryAddress[]
}

/** Report of a worker's slowdown, sent to entries by its agent. */
export interface SlowdownNotice {
  workerId: string
  /** Slowdown factor: the processing time of the worker relative to a healthy one. */
  pace: number
}

/** The part of a report that the rest of the process provides. */
export type SelfDescription = Omit<PeerReport, 'sequence' | 'knownEntries'>

/** A live entry other than this one. */
export interface KnownEntry extends ZoneEntry { zone: string, weight: EntryWeight }

/** What is known of other entries: the report of one in this zone, or the summary of another zone. */
export type FleetReport = LoadSummary & SharedState

/** Content of a datagram between entries, or from an agent to an entry. */
export enum DatagramContent {
  Report = 'report',
  Load = 'load',
  ZoneSummary = 'zone-summary',
  ZoneLoad = 'zone-load',
  Slowdown = 'slowdown',
  /** Between two entries: permits for requests to a worker that names a limit. */
  PermitRequest = 'permit-request',
  PermitAnswer = 'permit-answer'
}

export type PeerDatagram =
  | { content: DatagramContent.Report, report: PeerReport }
  | { content: DatagramContent.Load, load: PeerLoad }
  | { content: DatagramContent.ZoneSummary, summary: ZoneSummary }
  | { content: DatagramContent.ZoneLoad, load: ZoneLoad }
  | { content: DatagramContent.Slowdown, notice: SlowdownNotice }
  | { content: DatagramContent.PermitRequest, request: PermitRequest }
  | { content: DatagramContent.PermitAnswer, answer: PermitAnswer }

export enum PeerMessageKind {
  Tick = 'tick',
  DatagramReceived = 'datagram-received',
  SelfChanged = 'self-changed',
  /** Another slice of this process has a datagram for one entry. */
  SendRequested = 'send-requested',
  /** The process continues after a pause. */
  ProcessResumed = 'process-resumed',
  /** The settings name other seeds. */
  SeedsChanged = 'seeds-changed'
}

export type PeerMessage =
  | { kind: PeerMessageKind.Tick }
  | { kind: PeerMessageKind.DatagramReceived, datagram: PeerDatagram, fromAddress: string }
  | { kind: PeerMessageKind.SelfChanged, change: SelfChange }
  | { kind: PeerMessageKind.SendRequested, address: string, datagram: PeerDatagram }
  | { kind: PeerMessageKind.ProcessResumed }
  | { kind: PeerMessageKind.SeedsChanged, seeds: readonly string[] }

export enum PeerEffectKind {
  Send = 'send',
  /** A report updated the state of a peer. */
  PeerUpdated = 'peer-updated',
  PeerLost = 'peer-lost',
  /** A summary updated the state of another zone. */
  ZoneUpdated = 'zone-updated',
  ZoneLost = 'zone-lost',
  SlowdownReported = 'slowdown-reported',
  PermitsRequested = 'permits-requested',
  PermitsAnswered = 'permits-answered'
}

export type PeerEffect =
  | { kind: PeerEffectKind.Send, addresses: readonly string[], datagram: PeerDatagram }
  /** `isComplete` is false if only the load is new and the rest is repeated from an earlier report. */
  | { kind: PeerEffectKind.PeerUpdated, report: PeerReport, isNew: boolean, isComplete: boolean }
  | { kind: PeerEffectKind.PeerLost, nodeId: string, address: string }
  | { kind: PeerEffectKind.ZoneUpdated, summary: ZoneSummary, isNew: boolean, isComplete: boolean }
  | { kind: PeerEffectKind.ZoneLost, zone: string }
  | { kind: PeerEffectKind.SlowdownReported } & SlowdownNotice
  | { kind: PeerEffectKind.PermitsRequested, request: PermitRequest, fromAddress: string }
  | { kind: PeerEffectKind.PermitsAnswered, answer: PermitAnswer }
