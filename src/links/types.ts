import type { Incarnation, ResultCode, TimestampMs } from '../core/index.js'
import type { FrameKind, NodeRole } from './constants.js'

/** Who is at the other end of a link, learned in the handshake. */
export interface PeerIdentity {
  nodeId: string
  incarnation: Incarnation
  role: NodeRole
  address: string
  failureDomain: string
  /** Name of the pool that an agent serves. */
  pool?: string
  /** Address of an entry for callers. */
  callerAddress?: string
  /** Group of ranks that an agent's engine belongs to, and its rank there. */
  group?: string
  rank?: number
}

/** A decoded frame; slices narrow it by its kind. */
export interface Frame {
  kind: FrameKind
  [field: string]: unknown
}

/** Messages that a link core handles. */
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

/** Effects that a link core asks its task to perform. */
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

/** A fleet key; several are accepted while keys rotate, the first one signs. */
export interface FleetKey {
  keyId: string
  secret: string
}

export interface LinkTimes {
  openedMs: TimestampMs
  lastReceivedMs: TimestampMs
  /** When the first frame that asks for an answer was sent since anything arrived. */
  unansweredSinceMs: TimestampMs | undefined
  /** When a probe was sent that has had no answer. */
  probedMs: TimestampMs | undefined
}
