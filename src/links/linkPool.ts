import { connect } from 'node:net'
import { type Clock, ResultCode, type TimestampMs } from '../core/index.js'
import { LINK_CONNECT_TIMEOUT_MS, LINK_IDLE_LIMIT_MS, LINK_TICK_MS, REDIAL_DELAY_MAX_MS, REDIAL_DELAY_MIN_MS } from './constants.js'
import { LinkSide } from './handshake.js'
import { type LinkEvent, LinkEventKind, type LinkHandle, runLinkTask } from './linkTask.js'
import type { FleetKey, Frame, PeerIdentity } from './types.js'

interface DialedLink {
  address: string
  link?: LinkHandle
  isReady: boolean
  failureCount: number
  nextDialMs: TimestampMs
  lastUsedMs: TimestampMs
  /** Frames to send once the link is ready. */
  queuedFrames: Frame[]
}

export interface LinkPoolOptions {
  self: () => PeerIdentity
  keys: () => readonly FleetKey[]
  clock: Clock
  emit: (event: LinkEvent) => void
}

/** Maintains one outgoing link to each wanted address. */
export interface LinkPool {
  /** Maintains links to these addresses; links to other addresses close when they become idle. */
  setWanted (addresses: readonly string[]): void
  /** Sends a frame over the link to an address; dials the address first if needed. */
  send (address: string, frame: Frame): void
  isReady (address: string): boolean
  close (): void
}

/** Limit of frames queued for one peer while it is dialed; more are dropped, and their requests run into the deadline. */
const QUEUED_FRAMES_MAX = 256

/**
 * Creates a pool of outgoing links. A lost link is redialed with exponential backoff while its
 * address is wanted or frames are queued for it.
 *
 * @example
 * const pool = createLinkPool({ self, keys, clock, emit: event => task.post(event) })
 * pool.setWanted(['127.0.0.1:7201'])
 */
export const createLinkPool = ({ self, keys, clock, emit }: LinkPoolOptions): LinkPool => {
  const links = new Map<string, DialedLink>()
  let wantedAddresses = new Set<string>()
  let closed = false

  const redialDelayMs = (failureCount: number) =>
    Math.min(REDIAL_DELAY_MAX_MS, REDIAL_DELAY_MIN_MS * 2 ** Math.min(failureCount, 10))

  const onEvent = (dialedLink: DialedLink, event: LinkEvent) => {
    if (event.kind === LinkEventKind.Ready) {
      dialedLink.isReady = true
      dialedLink.failureCount = 0
      emit(event)
      dialedLink.queuedFrames.splice(0).forEach(frame => event.link.send(frame))
      return
    }
    if (event.kind === LinkEventKind.Lost) {
      dialedLink.link = undefined
      dialedLink.isReady = false
      dialedLink.queuedFrames = []
      dialedLink.nextDialMs = clock.nowMs() + redialDelayMs(dialedLink.failureCount++)
    }
    emit(event)
  }

  const dial = (dialedLink: DialedLink) => {
    const [host, port] = splitAddress(dialedLink.address)
    const socket = connect({ host, port })
    socket.setTimeout(LINK_CONNECT_TIMEOUT_MS, () => {
      if (socket.connecting) socket.destroy()
    })
    const link = runLinkTask({
      socket,
      side: LinkSide.Dialer,
      self: self(),
      keys,
      clock,
      // Events of a replaced link must not change the state of the current one.
      emit: event => { if (dialedLink.link === event.link) onEvent(dialedLink, event) }
    })
    dialedLink.link = link
  }

  const getOrCreate = (address: string): DialedLink => {
    const existing = links.get(address)
    if (existing !== undefined) return existing
    const dialedLink: DialedLink = { address, isReady: false, failureCount: 0, nextDialMs: 0, lastUsedMs: clock.nowMs(), queuedFrames: [] }
    links.set(address, dialedLink)
    return dialedLink
  }

  const maintainLinks = () => {
    if (closed) return
    const nowMs = clock.nowMs()
    for (const dialedLink of [...links.values()]) {
      const isWanted = wantedAddresses.has(dialedLink.address)
      const isIdle = nowMs - dialedLink.lastUsedMs > LINK_IDLE_LIMIT_MS
      if (!isWanted && isIdle) remove(dialedLink)
      else if (dialedLink.link === undefined && dialedLink.nextDialMs <= nowMs && (isWanted || dialedLink.queuedFrames.length > 0)) dial(dialedLink)
    }
  }

  const remove = (dialedLink: DialedLink) => {
    const { link } = dialedLink
    dialedLink.link = undefined
    links.delete(dialedLink.address)
    link?.close()
    if (link === undefined || !dialedLink.isReady) return
    emit({ kind: LinkEventKind.Lost, link, code: ResultCode.AnswerLost, reason: 'link is idle' })
  }

  const timer = setInterval(maintainLinks, LINK_TICK_MS)
  timer.unref()

  return {
    setWanted: addresses => {
      wantedAddresses = new Set(addresses)
      addresses.forEach(getOrCreate)
      maintainLinks()
    },
    send: (address, frame) => {
      const dialedLink = getOrCreate(address)
      dialedLink.lastUsedMs = clock.nowMs()
      if (dialedLink.isReady && dialedLink.link !== undefined) {
        dialedLink.link.send(frame)
        return
      }
      if (dialedLink.queuedFrames.length < QUEUED_FRAMES_MAX) dialedLink.queuedFrames.push(frame)
      maintainLinks()
    },
    isReady: address => links.get(address)?.isReady ?? false,
    close: () => {
      closed = true
      clearInterval(timer)
      for (const dialedLink of [...links.values()]) remove(dialedLink)
    }
  }
}

/** Splits `host:port`; the port is after the last colon. */
export const splitAddress = (address: string): [host: string, port: number] => {
  const colon = address.lastIndexOf(':')
  return [address.slice(0, colon), Number(address.slice(colon + 1))]
}
