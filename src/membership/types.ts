import type { ResultCode, TimestampMs } from '../core/index.js'
import type { PeerIdentity } from '../links/index.js'
import type { BroadcastTopic, DatagramKind, MemberStatus, RumorKind } from './constants.js'

/** Membership record of one entry or agent. */
export interface MemberRecord {
  identity: PeerIdentity
  /** Increases with each refutation; starts at the start time of the process in seconds. */
  version: number
  status: MemberStatus
  /** Stays set for the rest of the incarnation. */
  isDraining: boolean
  /** Number of further requests that the member can accept now. */
  freeCapacityRequests: number
  /** Increases with each announced change of the free capacity. */
  loadVersion: number
  /** For an agent: the entry that announced it. */
  announcerId?: string
}

/** A short message that gossip delivers to every entry. */
export interface Broadcast {
  topic: BroadcastTopic
  id: string
  payload: Uint8Array
  /** Time by the local clock after which it is no longer delivered or forwarded. */
  expiresMs: TimestampMs
}

export type Rumor =
  | { kind: RumorKind.Record, record: MemberRecord }
  | {
    kind: RumorKind.Status
    nodeId: string
    incarnationHash: number
    version: number
    status: MemberStatus
    isDraining: boolean
    announcerId?: string
  }
  | { kind: RumorKind.Load, nodeId: string, incarnationHash: number, loadVersion: number, freeCapacityRequests: number }
  /** Carries the remaining time instead of an expiry time, because the clocks of hosts differ. */
  | { kind: RumorKind.Broadcast, topic: BroadcastTopic, id: string, payload: Uint8Array, remainingMs: number }

interface DatagramBase {
  fromId: string
  rumors: Rumor[]
}

export type Datagram =
  | DatagramBase & { kind: DatagramKind.Ping, sequence: number }
  | DatagramBase & { kind: DatagramKind.Ack, sequence: number }
  | DatagramBase & { kind: DatagramKind.PingRequest, sequence: number, targetAddress: string }
  | DatagramBase & { kind: DatagramKind.Gossip }
  | DatagramBase & {
    kind: DatagramKind.SyncRequest
    digest: Uint8Array
    fromBucket: number
    /** Number of buckets from `fromBucket` on whose records are listed in `rowHashes`. */
    listedBuckets: number
    /** A two-byte hash of each record in the listed buckets. */
    rowHashes: Uint8Array
  }
  /** `nextBucket` is -1 if the page holds all differing records. */
  | DatagramBase & { kind: DatagramKind.SyncPage, nextBucket: number }

export enum GossipMessageKind {
  Tick = 'tick',
  DatagramReceived = 'datagram-received',
  FreeCapacityChanged = 'free-capacity-changed',
  DrainStarted = 'drain-started',
  LeaveRequested = 'leave-requested',
  AgentLinked = 'agent-linked',
  AgentLost = 'agent-lost',
  AgentDraining = 'agent-draining',
  BroadcastRequested = 'broadcast-requested'
}

export type GossipMessage =
  /** Must be sent every GOSSIP_TICK_MS. */
  | { kind: GossipMessageKind.Tick }
  | { kind: GossipMessageKind.DatagramReceived, datagram: Datagram, sourceAddress: string }
  | { kind: GossipMessageKind.FreeCapacityChanged, freeCapacityRequests: number }
  | { kind: GossipMessageKind.DrainStarted }
  | { kind: GossipMessageKind.LeaveRequested }
  | { kind: GossipMessageKind.AgentLinked, identity: PeerIdentity, isDraining: boolean, freeCapacityRequests: number }
  | { kind: GossipMessageKind.AgentLost, nodeId: string }
  | { kind: GossipMessageKind.AgentDraining, nodeId: string }
  | { kind: GossipMessageKind.BroadcastRequested, broadcast: Broadcast }

/** Effects that the gossip core asks its task to perform. */
export enum GossipEffectKind {
  SendDatagram = 'send-datagram',
  /** A member is new or any field of its record changed. */
  MemberUpdated = 'member-updated',
  MemberForgotten = 'member-forgotten',
  BroadcastDelivered = 'broadcast-delivered',
  BroadcastRefused = 'broadcast-refused',
  /** The identity of a linked agent is too long for a datagram. */
  AgentRefused = 'agent-refused',
  /** A later run with the same node id is in the fleet; this process stops participating. */
  Superseded = 'superseded'
}

export type GossipEffect =
  | { kind: GossipEffectKind.SendDatagram, address: string, datagram: Datagram }
  | { kind: GossipEffectKind.MemberUpdated, record: MemberRecord }
  | { kind: GossipEffectKind.MemberForgotten, nodeId: string }
  | { kind: GossipEffectKind.BroadcastDelivered, broadcast: Broadcast }
  | { kind: GossipEffectKind.BroadcastRefused, broadcast: Broadcast, code: ResultCode, reason: string }
  | { kind: GossipEffectKind.AgentRefused, nodeId: string, code: ResultCode }
  | { kind: GossipEffectKind.Superseded, incarnation: string }
