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
  /** Frames for a peer that is still being dialed. */
  waiting: Frame[]
}

export interface LinkPoolOptions {
  self: () => PeerIdentity
  keys: () => readonly FleetKey[]
  clock: Clock
  emit: (event: LinkEvent) => void
}

/** Keeps one outgoing link to each wanted address. */
export interface LinkPool {
  /** Keeps links to these addresses; links to others close once they are idle. */
  setWanted (addresses: readonly string[]): void
  /** Sends over the link to an address; dials it first if needed. */
  send (address: string, frame: Frame): void
  isReady (address: string): boolean
  close (): void
}

/** Frames kept for one peer while it is dialed; more are dropped and the request's deadline decides. */
const WAITING_FRAMES_MAX = 256

/**
 * Creates a pool of outgoing links. A lost link is dialed again with exponential delay for as
 * long as its address is wanted.
 *
 * @example
 * const pool = createLinkPool({ self, keys, clock, emit: event => task.post(event) })
 * pool.setWanted(['127.0.0.1:7201'])
 */
export const createLinkPool = ({ self, keys, clock, emit }: LinkPoolOptions): LinkPool => {
  const links = new Map<string, DialedLink>()
  let wanted = new Set<string>()
  let closed = false

  const redialDelayMs = (failureCount: number) =>
    Math.min(REDIAL_DELAY_MAX_MS, REDIAL_DELAY_MIN_MS * 2 ** Math.min(failureCount, 10))

  const onEvent = (entry: DialedLink, event: LinkEvent) => {
    if (event.kind === LinkEventKind.Ready) {
      entry.isReady = true
      entry.failureCount = 0
      emit(event)
      entry.waiting.splice(0).forEach(frame => event.link.send(frame))
      return
    }
    if (event.kind === LinkEventKind.Lost) {
      entry.link = undefined
      entry.isReady = false
      entry.waiting = []
      entry.nextDialMs = clock.nowMs() + redialDelayMs(entry.failureCount++)
    }
    emit(event)
  }

  const dial = (entry: DialedLink) => {
    const [host, port] = splitAddress(entry.address)
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
      // Events of a link that was replaced must not change the state of its successor.
      emit: event => { if (entry.link === event.link) onEvent(entry, event) }
    })
    entry.link = link
  }

  const ensure = (address: string): DialedLink => {
    const existing = links.get(address)
    if (existing !== undefined) return existing
    const entry: DialedLink = { address, isReady: false, failureCount: 0, nextDialMs: 0, lastUsedMs: clock.nowMs(), waiting: [] }
    links.set(address, entry)
    return entry
  }

  const dialDue = () => {
    if (closed) return
    const nowMs = clock.nowMs()
    for (const entry of [...links.values()]) {
      const isWanted = wanted.has(entry.address)
      const isIdle = nowMs - entry.lastUsedMs > LINK_IDLE_LIMIT_MS
      if (!isWanted && isIdle) remove(entry)
      else if (entry.link === undefined && entry.nextDialMs <= nowMs && (isWanted || entry.waiting.length > 0)) dial(entry)
    }
  }

  const remove = (entry: DialedLink) => {
    const { link } = entry
    entry.link = undefined
    links.delete(entry.address)
    link?.close()
    if (link === undefined || !entry.isReady) return
    emit({ kind: LinkEventKind.Lost, link, code: ResultCode.AnswerLost, reason: 'link is idle' })
  }

  const timer = setInterval(dialDue, LINK_TICK_MS)
  timer.unref()

  return {
    setWanted: addresses => {
      wanted = new Set(addresses)
      addresses.forEach(ensure)
      dialDue()
    },
    send: (address, frame) => {
      const entry = ensure(address)
      entry.lastUsedMs = clock.nowMs()
      if (entry.isReady && entry.link !== undefined) {
        entry.link.send(frame)
        return
      }
      if (entry.waiting.length < WAITING_FRAMES_MAX) entry.waiting.push(frame)
      dialDue()
    },
    isReady: address => links.get(address)?.isReady ?? false,
    close: () => {
      closed = true
      clearInterval(timer)
      for (const entry of [...links.values()]) remove(entry)
    }
  }
}

/** Splits `host:port`; the port is after the last colon. */
export const splitAddress = (address: string): [host: string, port: number] => {
  const colon = address.lastIndexOf(':')
  return [address.slice(0, colon), Number(address.slice(colon + 1))]
}
