import type { Incarnation, ResultCode, TimestampMs } from '../core/index.js'
import type { FrameKind, NodeRole } from './constants.js'

/** Identity of the peer of a link, received in the handshake. */
export interface PeerIdentity {
  nodeId: string
  incarnation: Incarnation
  role: NodeRole
  address: string
  failureDomain: string
  /** Name of the pool that an agent serves. */
  pool?: string
  /** Address at which an entry serves callers. */
  callerAddress?: string
  /** Group of ranks that the engine of an agent belongs to. */
  group?: string
  /** Rank of that engine in its group. */
  rank?: number
}

/** A decoded frame; each slice validates the fields of its own kinds. */
export interface Frame {
  kind: FrameKind
  [field: string]: unknown
}

/** Messages to a link core. */
export enum LinkMessageKind {
  Opened = 'opened',
  FrameReceived = 'frame-received',
  SendRequested = 'send-requested',
  SocketClosed = 'socket-closed',
  Tick = 'tick'
}

export type LinkMessage =
  | { kind: LinkMessageKind.Opened }
  | { kind: LinkMessageKind.FrameReceived, frame: Frame }
  | { kind: LinkMessageKind.SendRequested, frame: Frame }
  | { kind: LinkMessageKind.SocketClosed }
  | { kind: LinkMessageKind.Tick }

/** Effects that the task of a link core performs. */
export enum LinkEffectKind {
  SendFrame = 'send-frame',
  CloseSocket = 'close-socket',
  PeerReady = 'peer-ready',
  DeliverFrame = 'deliver-frame',
  PeerLost = 'peer-lost'
}

export type LinkEffect =
  | { kind: LinkEffectKind.SendFrame, frame: Frame }
  | { kind: LinkEffectKind.CloseSocket }
  | { kind: LinkEffectKind.PeerReady, peer: PeerIdentity }
  | { kind: LinkEffectKind.DeliverFrame, frame: Frame }
  | { kind: LinkEffectKind.PeerLost, code: ResultCode, reason: string }

/** A fleet key. Several keys are accepted during a rotation; the first one signs. */
export interface FleetKey {
  keyId: string
  secret: string
}

export interface LinkTimes {
  openedMs: TimestampMs
  lastReceivedMs: TimestampMs
  /** Time of the first frame that requires a reply and was sent since the last received frame. */
  unansweredSinceMs: TimestampMs | undefined
  /** Time of the probe that has no reply yet. */
  probedMs: TimestampMs | undefined
}
