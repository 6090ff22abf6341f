import { type Core, createIncarnation, createRandom, type Random } from '../../src/core/index.js'
import { NodeRole, type PeerIdentity } from '../../src/links/index.js'
import {
  createDatagramCodec, createGossip, DATAGRAM_HEADER_BYTES, GOSSIP_TICK_MS, type GossipEffect, GossipEffectKind,
  type GossipMessage, GossipMessageKind, type MemberRecord, type MemberStatus
} from '../../src/membership/index.js'
import { createEventQueue, createFakeNetwork, type EventQueue, type NetworkFaults } from '../harness/index.js'

/** One entry of a simulated fleet. */
export interface FleetNode {
  identity: PeerIdentity
  isRunning: boolean
  isPaused: boolean
  bytesSent: number
  bytesReceived: number
  datagramsSent: number
  /** Latest record of each member that the gossip core reported. */
  view: Map<string, MemberRecord>
  post (message: GossipMessage): void
}

export interface GossipFleetOptions {
  seed: number
  entryCount: number
  faults: NetworkFaults
  failureDomains?: readonly string[]
  /** Called with every effect of every gossip core and its time. */
  onEffect?: (node: FleetNode, effect: GossipEffect, timeMs: number) => void
}

/** A fleet of gossip cores in virtual time, which exchange datagrams through the real codec. */
export interface GossipFleet {
  queue: EventQueue
  random: Random
  nodes: FleetNode[]
  /** Starts a process for the node; its previous process must have been stopped. */
  start (index: number): FleetNode
  stop (index: number): void
  /** Pauses a process: it handles nothing, and datagrams that arrive meanwhile are lost. */
  pause (index: number): void
  resume (index: number): void
  /** Share of the other running nodes whose view of the member has this status. */
  shareWith (nodeId: string, status: MemberStatus): number
  /** Real time that the gossip cores and the codec took, in ms. */
  readonly processingMs: number
}

const KEYS = [{ keyId: '2026-12', secret: 'bench' }]
/** Has as many digits as a current timestamp, so that encoded sizes are realistic. */
export const FLEET_START_MS = 1_796_000_000_000

export const entryAddress = (index: number): string => `10.${index >> 8}.${index & 255}.17:7200`

/**
 * Creates a fleet whose entries use the first three entries as seeds. No entry is started yet.
 *
 * @example
 * const fleet = createGossipFleet({ seed: 1, entryCount: 18, faults })
 * for (let i = 0; i < 18; i++) fleet.start(i)
 */
export const createGossipFleet = (
  { seed, entryCount, faults, failureDomains = ['tema-a', 'spintex-b', 'kasoa-c'], onEffect }: GossipFleetOptions
): GossipFleet => {
  const queue = createEventQueue(FLEET_START_MS)
  const random = createRandom(seed)
  const network = createFakeNetwork<Buffer>(queue, random, faults)
  const codec = createDatagramCodec(KEYS)
  const seeds = [0, 1, 2].filter(index => index < entryCount).map(entryAddress)
  const nodes: FleetNode[] = []
  let processingMs = 0

  const startProcess = (index: number): FleetNode => {
    const identity: PeerIdentity = {
      nodeId: `entry-${index}`,
      incarnation: createIncarnation(random),
      role: NodeRole.Entry,
      address: entryAddress(index),
      failureDomain: failureDomains[index % failureDomains.length]!
    }
    const core: Core<GossipMessage, GossipEffect> = createGossip({
      self: identity,
      freeCapacityRequests: 40,
      seeds,
      clock: queue.clock,
      random: createRandom(random.int(0, 1 << 30))
    })
    const perform = (effect: GossipEffect) => {
      onEffect?.(node, effect, queue.clock.nowMs())
      if (effect.kind === GossipEffectKind.MemberUpdated) node.view.set(effect.record.identity.nodeId, effect.record)
      if (effect.kind === GossipEffectKind.MemberForgotten) node.view.delete(effect.nodeId)
      if (effect.kind !== GossipEffectKind.SendDatagram) return
      const bytes = codec.encode(effect.datagram)
      node.bytesSent += bytes.length + DATAGRAM_HEADER_BYTES
      node.datagramsSent += 1
      network.send(identity.address, effect.address, bytes)
    }
    const measureProcessing = (run: () => void) => {
      const startedMs = performance.now()
      run()
      processingMs += performance.now() - startedMs
    }
    const node: FleetNode = {
      identity,
      isRunning: true,
      isPaused: false,
      bytesSent: 0,
      bytesReceived: 0,
      datagramsSent: 0,
      view: new Map(),
      post: message => measureProcessing(() => core.handle(message).forEach(perform))
    }
    network.join(identity.address, (bytes, sourceAddress) => {
      if (node.isPaused) return
      node.bytesReceived += bytes.length + DATAGRAM_HEADER_BYTES
      measureProcessing(() => {
        const datagram = codec.decode(bytes)
        core.handle({ kind: GossipMessageKind.DatagramReceived, datagram, sourceAddress }).forEach(perform)
      })
    })
    queue.after(random.int(0, GOSSIP_TICK_MS - 1), () => queue.every(GOSSIP_TICK_MS, () => {
      if (!node.isPaused && node.isRunning) node.post({ kind: GossipMessageKind.Tick })
      return node.isRunning
    }))
    return node
  }

  const stop = (index: number) => {
    const node = nodes[index]!
    node.isRunning = false
    network.leave(node.identity.address)
  }

  const shareWith = (nodeId: string, status: MemberStatus) => {
    const running = nodes.filter(node => node.isRunning && node.identity.nodeId !== nodeId)
    return running.filter(({ view }) => view.get(nodeId)?.status === status).length / running.length
  }

  return {
    queue,
    random,
    nodes,
    start: index => (nodes[index] = startProcess(index)),
    stop,
    pause: index => { nodes[index]!.isPaused = true },
    resume: index => { nodes[index]!.isPaused = false },
    shareWith,
    get processingMs () { return processingMs }
  }
}
