/** Kinds of frames between the processes of the fleet. */
export enum FrameKind {
  Hello = 'hello',
  Welcome = 'welcome',
  Proof = 'proof',
  Heartbeat = 'heartbeat',
  Run = 'run',
  Chunk = 'chunk',
  End = 'end',
  Refused = 'refused',
  Cancel = 'cancel',
  Resume = 'resume',
  Report = 'report',
  Drain = 'drain',
  Bind = 'bind',
  Bound = 'bound',
  Dispatch = 'dispatch',
  VoidIfUnseen = 'void-if-unseen',
  KeyReply = 'key-reply',
  Detach = 'detach',
  Rows = 'rows',
  PeerStateRequest = 'peer-state-request',
  PeerState = 'peer-state',
  Assignment = 'assignment',
  Switch = 'switch',
  CacheEvents = 'cache-events',
  LimitDemand = 'limit-demand',
  LimitShare = 'limit-share',
  Notice = 'notice',
  StartedAlone = 'started-alone',
  GroupRoster = 'group-roster',
  EngineStateRequest = 'engine-state-request',
  EngineState = 'engine-state',
  FenceQuery = 'fence-query',
  FenceConfirmed = 'fence-confirmed',
  MapExplanation = 'map-explanation'
}

/** Frames that require a reply; if none arrives, the connection may be lost. */
export const FRAMES_EXPECTING_REPLY: ReadonlySet<FrameKind> = new Set([
  FrameKind.Run, FrameKind.Resume, FrameKind.Dispatch, FrameKind.VoidIfUnseen, FrameKind.Bind, FrameKind.PeerStateRequest,
  FrameKind.FenceQuery, FrameKind.EngineStateRequest, FrameKind.Switch
])

/** Role of a process that opens or accepts a link. */
export enum NodeRole {
  Entry = 'entry',
  Agent = 'agent'
}

/** State of one link. */
export enum LinkState {
  Authenticating = 'authenticating',
  Open = 'open',
  Closed = 'closed'
}

/** A larger frame closes the link, as its length field may be corrupt or malicious. */
export const FRAME_BYTES_MAX = 1024 * 1024
export const FRAME_HEADER_BYTES = 4
/** A link is probed if nothing was received for this time; idle links must cost little in a large fleet. */
export const IDLE_PROBE_MS = 5_000
/** A probe is sent if nothing was received for this time after a frame that requires a reply. */
export const UNANSWERED_PROBE_MS = 500
/** Timeout of a probe; a middlebox that has lost the connection drops frames without a reset. */
export const PROBE_TIMEOUT_MS = 1_500
export const HANDSHAKE_TIMEOUT_MS = 2_000
export const NONCE_BYTES = 16
export const LINK_TICK_MS = 250
/** Bytes that wait to be sent from which on responses are read from their upstream only as fast as the peer takes them. */
export const LINK_PAUSE_BYTES = 1024 * 1024
export const LINK_SEND_BUFFER_MAX_BYTES = 16 * 1024 * 1024
export const LINK_CONNECT_TIMEOUT_MS = 2_000
export const REDIAL_DELAY_MIN_MS = 50
export const REDIAL_DELAY_MAX_MS = 2_000
export const LINK_IDLE_LIMIT_MS = 60_000
