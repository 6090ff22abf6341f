import type { Clock, TimestampMs } from '../core/index.js'
import { PEER_FORGET_MS, PEER_NAMED_MS, PEER_SILENCE_MS, PEER_STATE_MS } from './constants.js'
import type { PeerLoad, PeerReport } from './types.js'

/** Another entry that reports to this one, or one that is known by its address only. */
export interface Peer {
  address: string
  /** Zone of the peer; undefined for a seed that has not reported yet. */
  zone: string | undefined
  report: PeerReport | undefined
  lastReportMs: TimestampMs
  /** When the last report arrived; unlike `lastReportMs`, a pause of this process does not move it. */
  heardMs: TimestampMs
  /** When the last complete report arrived; a short one repeats its state, which may have changed since. */
  completeMs: TimestampMs
  isAlive: boolean
  /** The previous incarnation of the peer; its late reports are ignored. */
  endedIncarnation: string | undefined
}

export interface PeerTable {
  /** Adds a peer unless it is known; returns undefined for the own address. */
  add (address: string, zone?: string): Peer | undefined
  get (address: string): Peer | undefined
  all (): Peer[]
  /** Whether a report is older than the last one of the peer, or from an earlier run. */
  isStale (peer: Peer, load: PeerLoad): boolean
  /** Stores a report; returns whether the peer is new, was lost, or has restarted. */
  store (peer: Peer, report: PeerReport, isComplete: boolean): boolean
  /** Whether reports prove that callers may be sent to a peer if its last one says so. */
  isRecent (peer: Peer): boolean
  /** Returns the peers that have become silent, and forgets those that have been so for long. */
  expire (): Peer[]
  /** Replaces the addresses that are never forgotten. */
  setSeeds (seeds: readonly string[]): void
  isSeed (address: string): boolean
  /** A pause of this process proves no silence of others. */
  recordPause (): void
}

/**
 * Creates the table of one entry, with the seeds in it.
 *
 * @example
 * const peers = createPeerTable({ clock, ownAddress, seeds })
 * peers.add('10.1.0.40:8229', 'zone-a')
 */
export const createPeerTable = ({ clock, ownAddress, seeds }: { clock: Clock, ownAddress: string, seeds: readonly string[] }): PeerTable => {
  const peers = new Map<string, Peer>()
  let currentSeeds = seeds

  const add = (address: string, zone?: string): Peer | undefined => {
    if (address === ownAddress) return undefined
    const known = peers.get(address)
    if (known !== undefined) return known
    const peer: Peer = { address, zone, report: undefined, lastReportMs: clock.nowMs(), heardMs: -Infinity, completeMs: -Infinity, isAlive: false, endedIncarnation: undefined }
    peers.set(address, peer)
    return peer
  }

  seeds.forEach(address => add(address))

  return {
    add,
    get: address => peers.get(address),
    all: () => [...peers.values()],
    isStale: ({ report, endedIncarnation }, { incarnation, sequence }) =>
      incarnation === endedIncarnation || (report?.incarnation === incarnation && report.sequence >= sequence),
    store: (peer, report, isComplete) => {
      const isRestart = peer.report !== undefined && peer.report.incarnation !== report.incarnation
      const isNew = !peer.isAlive || isRestart
      if (isRestart) peer.endedIncarnation = peer.report!.incarnation
      peer.report = report
      peer.zone = report.zone
      peer.lastReportMs = clock.nowMs()
      peer.heardMs = clock.nowMs()
      if (isComplete) peer.completeMs = clock.nowMs()
      peer.isAlive = true
      return isNew
    },
    isRecent: ({ heardMs, completeMs }) =>
      clock.nowMs() - heardMs <= PEER_NAMED_MS && clock.nowMs() - completeMs <= PEER_STATE_MS,
    expire: () => {
      const lost: Peer[] = []
      for (const peer of [...peers.values()]) {
        const silentMs = clock.nowMs() - peer.lastReportMs
        if (peer.isAlive && silentMs > PEER_SILENCE_MS) {
          peer.isAlive = false
          lost.push(peer)
        }
        if (!peer.isAlive && silentMs > PEER_FORGET_MS && !currentSeeds.includes(peer.address)) peers.delete(peer.address)
      }
      return lost
    },
    setSeeds: nextSeeds => {
      currentSeeds = nextSeeds
      nextSeeds.forEach(address => add(address))
    },
    isSeed: address => currentSeeds.includes(address),
    recordPause: () => {
      for (const peer of peers.values()) if (peer.isAlive) peer.lastReportMs = clock.nowMs()
    }
  }
}
