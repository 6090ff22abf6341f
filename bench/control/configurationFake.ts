import { BroadcastTopic, GossipMessageKind } from '../../src/membership/index.js'
import { percentile } from '../harness/index.js'
import type { FleetNode, GossipFleet } from './gossipFleet.js'
import { linkDelayMs, LOSSY_NETWORK } from './sizes.js'

/** With this interval, 340 entries cause 34 reads/s at the log. */
const POLL_MS = 10_000
const POLL_RETRY_MS = 1_000
const BROADCAST_LIFETIME_MS = 60_000
/** Spreads the reads of a fleet whose nodes all receive a new offset at about the same time. */
const READ_SPREAD_MS = 500

/** Simulates the log's configuration stream and the processes that follow it. */
export interface ConfigurationFake {
  append (): void
  onOffsetReceived (node: FleetNode, offset: number): void
  /** Percentile, over all changes and processes, of the time from the append until the change is in force. */
  percentileS (share: number): number
  /** The same percentile if every entry and agent only polled the log. */
  pollOnlyPercentileS (share: number): number
}

/**
 * Creates the log and its followers: entries poll the log, receive new offsets by gossip, and send rows to
 * their linked agents.
 */
export const createConfigurationFake = (
  { queue, random, nodes }: GossipFleet, entriesOf: ReadonlyMap<string, readonly FleetNode[]>
): ConfigurationFake => {
  const appendedMs: number[] = []
  const offsetInForce = new Map<string, number>()
  const readingNodes = new Set<string>()
  const delaysS: number[] = []
  const pollOnlyDelaysS: number[] = []
  const agentsOf = new Map<string, string[]>(nodes.map(({ identity }) => [identity.nodeId, []]))
  for (const [agentId, entries] of entriesOf) {
    for (const { identity } of entries) agentsOf.get(identity.nodeId)!.push(agentId)
  }

  const recordInForce = (processId: string, offset: number): boolean => {
    const known = offsetInForce.get(processId) ?? 0
    for (let i = known; i < offset; i++) delaysS.push((queue.clock.nowMs() - appendedMs[i]!) / 1_000)
    offsetInForce.set(processId, Math.max(known, offset))
    return offset > known
  }

  const applyAtEntry = (node: FleetNode, offset: number) => {
    const { nodeId } = node.identity
    if (!recordInForce(nodeId, offset)) return
    node.post({
      kind: GossipMessageKind.BroadcastRequested,
      broadcast: {
        topic: BroadcastTopic.ConfigurationOffset,
        id: String(offset),
        payload: new Uint8Array(0),
        expiresMs: queue.clock.nowMs() + BROADCAST_LIFETIME_MS
      }
    })
    for (const agentId of agentsOf.get(nodeId)!) queue.after(linkDelayMs(random), () => recordInForce(agentId, offset))
  }

  const isLost = () => random.next() < LOSSY_NETWORK.lossRatio
  const read = (node: FleetNode) => {
    if (readingNodes.has(node.identity.nodeId) || !node.isRunning) return
    readingNodes.add(node.identity.nodeId)
    if (isLost() || isLost()) {
      queue.after(POLL_RETRY_MS, () => {
        readingNodes.delete(node.identity.nodeId)
        read(node)
      })
      return
    }
    const offset = appendedMs.length
    queue.after(linkDelayMs(random), () => {
      readingNodes.delete(node.identity.nodeId)
      applyAtEntry(node, offset)
      // A newer offset was received while the response was in flight.
      if ((receivedOffsets.get(node.identity.nodeId) ?? 0) > offset) read(node)
    })
  }

  const receivedOffsets = new Map<string, number>()
  for (const node of nodes) {
    queue.after(random.int(0, POLL_MS - 1), () => queue.every(POLL_MS, () => {
      read(node)
      return node.isRunning
    }))
  }

  const pollOnlyDelayMs = () => {
    let delayMs = random.next() * POLL_MS + linkDelayMs(random)
    while (isLost() || isLost()) delayMs += POLL_RETRY_MS
    return delayMs
  }

  return {
    append: () => {
      appendedMs.push(queue.clock.nowMs())
      for (let i = 0; i < nodes.length + entriesOf.size; i++) pollOnlyDelaysS.push(pollOnlyDelayMs() / 1_000)
    },
    onOffsetReceived: (node, offset) => {
      receivedOffsets.set(node.identity.nodeId, Math.max(offset, receivedOffsets.get(node.identity.nodeId) ?? 0))
      if ((offsetInForce.get(node.identity.nodeId) ?? 0) < offset) queue.after(random.int(0, READ_SPREAD_MS), () => read(node))
    },
    percentileS: share => {
      const expectedProcesses = nodes.length + entriesOf.size
      const missing = expectedProcesses * appendedMs.length - delaysS.length
      return percentile([...delaysS, ...new Array<number>(Math.max(0, missing)).fill(Number.POSITIVE_INFINITY)], share)
    },
    pollOnlyPercentileS: share => percentile(pollOnlyDelaysS, share)
  }
}
