import { randomBytes } from 'node:crypto'
import type { Socket } from 'node:net'
import { type Clock, createLog, createTask, dispatch, FrameError, type HandlerTable, type ResultCode, type Task } from '../core/index.js'
import { LINK_PAUSE_BYTES, LINK_SEND_BUFFER_MAX_BYTES, LINK_TICK_MS, NONCE_BYTES } from './constants.js'
import { createLink } from './createLink.js'
import { createFrameDecoder, encodeFrame } from './framing.js'
import type { LinkSide } from './handshake.js'
import { type FleetKey, type Frame, type LinkEffect, LinkEffectKind, type LinkMessage, LinkMessageKind, type PeerIdentity } from './types.js'

const log = createLog('links')

/** Events that a link reports to the task that uses it. */
export enum LinkEventKind {
  Ready = 'link-ready',
  Frame = 'link-frame',
  Lost = 'link-lost'
}

export type LinkEvent =
  | { kind: LinkEventKind.Ready, link: LinkHandle, peer: PeerIdentity }
  | { kind: LinkEventKind.Frame, link: LinkHandle, peer: PeerIdentity, frame: Frame }
  | { kind: LinkEventKind.Lost, link: LinkHandle, peer?: PeerIdentity, code: ResultCode, reason: string }

/** Handle by which a task uses one link. */
export interface LinkHandle {
  readonly linkId: string
  send (frame: Frame): void
  /** Resolves once the peer has taken most of what waits to be sent; undefined if that is little now. */
  whenWritable (): Promise<void> | undefined
  close (): void
}

export interface LinkTaskOptions {
  socket: Socket
  side: LinkSide
  self: PeerIdentity
  keys: () => readonly FleetKey[]
  clock: Clock
  emit: (event: LinkEvent) => void
}

let nextLinkNumber = 0

const isFrame = (value: unknown): value is Frame =>
  typeof value === 'object' && value !== null && typeof (value as { kind?: unknown }).kind === 'string'

/**
 * Runs one link: owns the socket, passes its frames to the link core and performs the effects.
 *
 * @example
 * runLinkTask({ socket, side: LinkSide.Acceptor, self, keys, clock, emit: event => task.post(event) })
 */
export const runLinkTask = ({ socket, side, self, keys, clock, emit }: LinkTaskOptions): LinkHandle => {
  const linkId = `link-${nextLinkNumber++}`
  const decoder = createFrameDecoder()
  const nonce = randomBytes(NONCE_BYTES).toString('hex')
  let peer: PeerIdentity | undefined
  let unsentFrames: Buffer[] = []
  let unsentBytes = 0

  const closeSocket = () => {
    socket.destroy()
    task.stop()
  }

  const flush = () => {
    const [first, ...others] = unsentFrames
    unsentFrames = []
    unsentBytes = 0
    if (first !== undefined && !socket.destroyed) socket.write(others.length === 0 ? first : Buffer.concat([first, ...others]))
  }

  /**
   * Queues a frame; all frames of one event loop turn are sent in one write, because a system call
   * per token was the largest cost of an agent.
   */
  const writeFrame = (frame: Frame) => {
    // Limits the memory that a peer which has stopped reading can cause.
    if (socket.writableLength + unsentBytes > LINK_SEND_BUFFER_MAX_BYTES) {
      socket.destroy()
      return
    }
    const bytes = encodeFrame(frame)
    if (unsentFrames.length === 0) setImmediate(flush)
    unsentFrames.push(bytes)
    unsentBytes += bytes.length
  }

  const effectHandlers: HandlerTable<LinkEffect, void> = {
    [LinkEffectKind.SendFrame]: ({ frame }) => writeFrame(frame),
    [LinkEffectKind.CloseSocket]: closeSocket,
    [LinkEffectKind.PeerReady]: effect => {
      peer = effect.peer
      emit({ kind: LinkEventKind.Ready, link: handle, peer })
    },
    [LinkEffectKind.DeliverFrame]: ({ frame }) => {
      if (peer !== undefined) emit({ kind: LinkEventKind.Frame, link: handle, peer, frame })
    },
    [LinkEffectKind.PeerLost]: ({ code, reason }) => {
      log('link to %s lost: %s', peer?.nodeId ?? socket.remoteAddress, reason)
      emit({ kind: LinkEventKind.Lost, link: handle, peer, code, reason })
    }
  }

  const task: Task<LinkMessage> = createTask({
    name: 'links',
    core: createLink({ side, self, keys: keys(), nonce, clock }),
    perform: effect => dispatch(effectHandlers, effect)
  })

  const handle: LinkHandle = {
    linkId,
    send: frame => {
      // As for frames that are received, no frame is lost unnoticed.
      if (!task.post({ kind: LinkMessageKind.SendRequested, frame })) socket.destroy()
    },
    whenWritable: () => {
      if (socket.destroyed || socket.writableLength + unsentBytes < LINK_PAUSE_BYTES) return undefined
      return new Promise(resolve => {
        const onWritable = () => {
          socket.off('drain', onWritable)
          socket.off('close', onWritable)
          resolve()
        }
        socket.on('drain', onWritable)
        socket.on('close', onWritable)
      })
    },
    close: () => { socket.destroy() }
  }

  const receive = (bytes: Buffer) => {
    try {
      for (const message of decoder.push(bytes)) {
        if (!isFrame(message)) throw new FrameError('frame has no kind')
        // A full mailbox closes the connection, so that no frame is lost unnoticed.
        if (!task.post({ kind: LinkMessageKind.FrameReceived, frame: message })) throw new FrameError('mailbox is full')
      }
    } catch (error) {
      log('closing the connection from %s: %s', socket.remoteAddress, error instanceof Error ? error.message : error)
      socket.destroy()
    }
  }

  socket.setNoDelay(true)
  socket.on('data', receive)
  socket.on('error', error => log('socket error: %s', error.message))
  socket.on('close', () => task.post({ kind: LinkMessageKind.SocketClosed }))
  task.tickEvery(LINK_TICK_MS, () => ({ kind: LinkMessageKind.Tick }))
  task.post({ kind: LinkMessageKind.Opened })
  return handle
}
