import { type Clock, type Core, dispatch, type HandlerTable, ResultCode } from '../core/index.js'
import {
  FRAMES_EXPECTING_REPLY, FrameKind, HANDSHAKE_TIMEOUT_MS, IDLE_PROBE_MS, LinkState, PROBE_TIMEOUT_MS, UNANSWERED_PROBE_MS
} from './constants.js'
import { LinkSide, peerIdentitySchema, signProof, verifyProof } from './handshake.js'
import {
  type FleetKey, type Frame, type LinkEffect, LinkEffectKind, type LinkMessage, LinkMessageKind, type LinkTimes,
  type PeerIdentity
} from './types.js'

export interface LinkOptions {
  side: LinkSide
  self: PeerIdentity
  /** Accepted keys; the first one signs. */
  keys: readonly FleetKey[]
  /** Random text, new for each connection. */
  nonce: string
  clock: Clock
}

const isShortText = (value: unknown): value is string => typeof value === 'string' && value.length > 0 && value.length <= 256

/**
 * Handles the protocol of one connection: mutual authentication with the fleet key, and detection
 * of a connection that was lost without a reset. Probes are sent only after a frame without a reply
 * or a long idle time, so that idle links cause little traffic.
 *
 * Handshake: the dialer sends Hello, the acceptor replies with Welcome and its proof, and the dialer
 * sends Proof.
 *
 * @example
 * const link = createLink({ side: LinkSide.Dialer, self, keys, nonce, clock })
 * link.handle({ kind: LinkMessageKind.Opened }) // [{ kind: LinkEffectKind.SendFrame, frame: hello }]
 */
export const createLink = ({ side, self, keys, nonce, clock }: LinkOptions): Core<LinkMessage, LinkEffect> => {
  let state = LinkState.Authenticating
  let peer: PeerIdentity | undefined
  let peerNonce = ''
  const startedMs = clock.nowMs()
  const times: LinkTimes = { openedMs: startedMs, lastReceivedMs: startedMs, unansweredSinceMs: undefined, probedMs: undefined }

  const signingKey = keys[0]
  const nonces = () => side === LinkSide.Dialer
    ? { dialerNonce: nonce, acceptorNonce: peerNonce }
    : { dialerNonce: peerNonce, acceptorNonce: nonce }

  const send = (frame: Frame): LinkEffect => {
    if (FRAMES_EXPECTING_REPLY.has(frame.kind)) times.unansweredSinceMs ??= clock.nowMs()
    return { kind: LinkEffectKind.SendFrame, frame }
  }

  const probe = (): LinkEffect => {
    times.probedMs = clock.nowMs()
    return send({ kind: FrameKind.Heartbeat, isProbe: true })
  }

  const close = (code: ResultCode, reason: string): LinkEffect[] => {
    if (state === LinkState.Closed) return []
    state = LinkState.Closed
    return [{ kind: LinkEffectKind.CloseSocket }, { kind: LinkEffectKind.PeerLost, code, reason }]
  }

  const refuse = (reason: string) => close(ResultCode.LinkRefused, reason)

  const createProof = (): Partial<Frame> => signingKey === undefined
    ? {}
    : { keyId: signingKey.keyId, proof: signProof(signingKey, { side, ...nonces(), identity: self }) }

  const hasValidProof = (frame: Frame, identity: PeerIdentity): boolean => {
    if (!isShortText(frame.keyId) || !isShortText(frame.proof)) return false
    const peerSide = side === LinkSide.Dialer ? LinkSide.Acceptor : LinkSide.Dialer
    return verifyProof(keys, frame.keyId, frame.proof, { side: peerSide, ...nonces(), identity })
  }

  const markOpen = (identity: PeerIdentity): LinkEffect => {
    state = LinkState.Open
    peer = identity
    return { kind: LinkEffectKind.PeerReady, peer: identity }
  }

  const acceptIdentity = (frame: Frame): PeerIdentity | undefined => {
    const parsed = peerIdentitySchema.safeParse(frame.identity)
    if (!parsed.success || !isShortText(frame.nonce)) return undefined
    peerNonce = frame.nonce
    return parsed.data
  }

  const onHello = (frame: Frame): LinkEffect[] => {
    const identity = acceptIdentity(frame)
    if (side !== LinkSide.Acceptor || peer !== undefined || identity === undefined) return refuse('invalid hello')
    peer = identity
    return [send({ kind: FrameKind.Welcome, identity: self, nonce, ...createProof() })]
  }

  const onWelcome = (frame: Frame): LinkEffect[] => {
    const identity = acceptIdentity(frame)
    if (side !== LinkSide.Dialer || identity === undefined) return refuse('invalid welcome')
    if (!hasValidProof(frame, identity)) return refuse('peer does not know a fleet key')
    return [send({ kind: FrameKind.Proof, ...createProof() }), markOpen(identity)]
  }

  const onProof = (frame: Frame): LinkEffect[] => {
    if (side !== LinkSide.Acceptor || peer === undefined) return refuse('proof before hello')
    if (!hasValidProof(frame, peer)) return refuse('peer does not know a fleet key')
    return [markOpen(peer)]
  }

  const handshakeHandlers: Partial<Record<FrameKind, (frame: Frame) => LinkEffect[]>> = {
    [FrameKind.Hello]: onHello,
    [FrameKind.Welcome]: onWelcome,
    [FrameKind.Proof]: onProof
  }

  const onFrame = (frame: Frame): LinkEffect[] => {
    if (state === LinkState.Closed) return []
    times.lastReceivedMs = clock.nowMs()
    times.unansweredSinceMs = undefined
    times.probedMs = undefined
    if (state === LinkState.Authenticating) {
      const handler = handshakeHandlers[frame.kind]
      return handler === undefined ? refuse('frame before the handshake ended') : handler(frame)
    }
    if (frame.kind === FrameKind.Heartbeat) return frame.isProbe === true ? [send({ kind: FrameKind.Heartbeat })] : []
    if (handshakeHandlers[frame.kind] !== undefined) return refuse('handshake frame on an open link')
    return [{ kind: LinkEffectKind.DeliverFrame, frame }]
  }

  const onTick = (): LinkEffect[] => {
    const nowMs = clock.nowMs()
    if (state === LinkState.Closed) return []
    if (state === LinkState.Authenticating) {
      return nowMs - times.openedMs > HANDSHAKE_TIMEOUT_MS ? refuse('handshake timed out') : []
    }
    if (times.probedMs !== undefined) {
      return nowMs - times.probedMs > PROBE_TIMEOUT_MS ? close(ResultCode.AnswerLost, 'link is silent') : []
    }
    const isUnanswered = times.unansweredSinceMs !== undefined && nowMs - times.unansweredSinceMs > UNANSWERED_PROBE_MS
    const isIdle = nowMs - times.lastReceivedMs > IDLE_PROBE_MS
    return isUnanswered || isIdle ? [probe()] : []
  }

  const handlers: HandlerTable<LinkMessage, LinkEffect[]> = {
    [LinkMessageKind.Opened]: () =>
      side === LinkSide.Dialer ? [send({ kind: FrameKind.Hello, identity: self, nonce })] : [],
    [LinkMessageKind.FrameReceived]: ({ frame }) => onFrame(frame),
    [LinkMessageKind.SendRequested]: ({ frame }) => state === LinkState.Open ? [send(frame)] : [],
    [LinkMessageKind.SocketClosed]: () => close(ResultCode.AnswerLost, 'connection closed'),
    [LinkMessageKind.Tick]: onTick
  }

  return { handle: message => dispatch(handlers, message) }
}
