import { createManualClock, createRandom } from '../core/index.js'
import { EMPTY_CRASH_REPORT } from '../quarantine/index.js'
import { SelfChange } from './constants.js'
import { createPeerReports, type PeerReports } from './createPeerReports.js'
import { type PeerDatagram, type PeerEffect, PeerEffectKind, PeerMessageKind, type SelfDescription } from './types.js'

export const TICK_MS = 40
/** Datagrams that the kernel keeps for a paused process; further ones are dropped. */
const SOCKET_BUFFER_DATAGRAMS = 300
export const ZONES = ['a', 'b', 'c']
/** Time in which the entries of a world find each other. */
export const SETTLE_MS = 5_000

/** One entry of a world. */
export interface Node {
  nodeId: string
  zone: string
  address: string
  run: number
  /** When the entry was killed or began to stop; undefined while it may be named. */
  goneAtMs: number | undefined
  isKilled: boolean
  isPaused: boolean
  buffered: { from: string, datagram: PeerDatagram }[]
  peers: PeerReports
}

interface Network {
  /** Delay of one datagram in ms; undefined if it is lost. */
  delayMs: (from: Node, to: Node, datagram: PeerDatagram) => number | undefined
}

/**
 * Creates entries of three zones under a virtual clock that exchange reports over a network with faults, and records for how
 * long any of them names an entry that is gone.
 *
 * @example
 * const world = createPeerWorld(4)
 * world.kill(world.inZone('a')[0]!)
 * world.run(10_000)
 */
export const createPeerWorld = (entriesPerZone: number, seed = 1) => {
  const clock = createManualClock(0)
  const random = createRandom(seed)
  const nodes = new Map<string, Node>()
  const network: Network = { delayMs: () => 2 }
  let inFlight: { atMs: number, to: string, from: string, datagram: PeerDatagram }[] = []
  /** Longest time since its end at which an entry was still named, and by whom. */
  const worst = { sinceMs: 0, text: '' }

  const describeNode = (node: Node): SelfDescription => ({
    nodeId: node.nodeId,
    incarnation: `${node.nodeId}-${node.run}`,
    zone: node.zone,
    frontAddress: `${node.nodeId}:80`,
    isReady: node.goneAtMs === undefined,
    isStoreConnected: true,
    configurationVersion: 1,
    storePositions: {},
    running: { w1: 1 },
    pauses: {},
    crashes: EMPTY_CRASH_REPORT,
    paces: {},
    workerLimits: []
  })

  const startRun = (node: Node) => {
    node.run += 1
    node.goneAtMs = undefined
    node.isKilled = false
    node.buffered = []
    node.peers = createPeerReports({
      clock, random, ownNodeId: node.nodeId, ownZone: node.zone, ownAddress: node.address, seeds: ['a-0:1', 'b-0:1', 'c-0:1'], describeSelf: () => describeNode(node)
    })
  }

  for (const zone of ZONES) {
    for (let at = 0; at < entriesPerZone; at++) {
      const nodeId = `${zone}-${at}`
      const node: Node = { nodeId, zone, address: `${nodeId}:1`, run: 0, goneAtMs: undefined, isKilled: false, isPaused: false, buffered: [], peers: undefined as unknown as PeerReports }
      nodes.set(node.address, node)
      startRun(node)
    }
  }

  const perform = (node: Node, effects: readonly PeerEffect[]) => {
    for (const effect of effects) {
      if (effect.kind !== PeerEffectKind.Send) continue
      for (const address of effect.addresses) {
        const to = nodes.get(address)
        const delayMs = to === undefined ? undefined : network.delayMs(node, to, effect.datagram)
        if (delayMs !== undefined) inFlight.push({ atMs: clock.nowMs() + delayMs, to: address, from: node.address, datagram: structuredClone(effect.datagram) })
      }
    }
  }

  const receive = (node: Node, from: string, datagram: PeerDatagram) => {
    if (node.isKilled) return
    if (!node.isPaused) perform(node, node.peers.handle({ kind: PeerMessageKind.DatagramReceived, datagram, fromAddress: from }))
    else if (node.buffered.length < SOCKET_BUFFER_DATAGRAMS) node.buffered.push({ from, datagram })
  }

  const check = () => {
    for (const node of nodes.values()) {
      if (node.isKilled || node.isPaused) continue
      for (const { nodeId, address, isReady } of node.peers.callerEntries()) {
        const { goneAtMs } = nodes.get(address)!
        const sinceMs = isReady && goneAtMs !== undefined ? clock.nowMs() - goneAtMs : 0
        if (sinceMs > worst.sinceMs) Object.assign(worst, { sinceMs, text: `${node.nodeId} names ${nodeId} after ${sinceMs} ms` })
      }
    }
  }

  const run = (durationMs: number) => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += TICK_MS) {
      clock.advance(TICK_MS)
      const due = inFlight.filter(({ atMs }) => atMs <= clock.nowMs())
      inFlight = inFlight.filter(({ atMs }) => atMs > clock.nowMs())
      for (const { to, from, datagram } of due) receive(nodes.get(to)!, from, datagram)
      for (const node of nodes.values()) if (!node.isPaused && !node.isKilled) perform(node, node.peers.handle({ kind: PeerMessageKind.Tick }))
      check()
    }
  }

  const all = () => [...nodes.values()]
  run(SETTLE_MS)
  return {
    network,
    worst,
    run,
    all,
    random,
    inZone: (zone: string) => all().filter(node => node.zone === zone),
    kill: (...killed: Node[]) => {
      for (const node of killed) {
        if (node.isKilled) continue
        node.isKilled = true
        node.isPaused = false
        node.goneAtMs ??= clock.nowMs()
      }
    },
    stop: (node: Node) => {
      node.goneAtMs ??= clock.nowMs()
      perform(node, node.peers.handle({ kind: PeerMessageKind.SelfChanged, change: SelfChange.State }))
    },
    restart: startRun,
    pause: (node: Node) => { node.isPaused = true },
    /** What the kernel has kept is read before any timer runs. */
    resume: (node: Node) => {
      node.isPaused = false
      for (const { from, datagram } of node.buffered.splice(0)) receive(node, from, datagram)
      perform(node, node.peers.handle({ kind: PeerMessageKind.Tick }))
      perform(node, node.peers.handle({ kind: PeerMessageKind.ProcessResumed }))
      check()
    }
  }
}

export type PeerWorld = ReturnType<typeof createPeerWorld>
