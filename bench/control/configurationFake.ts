import { BroadcastTopic, GossipMessageKind } from '../../src/membership/index.js'
import { percentile } from '../harness/index.js'
import type { FleetNode, GossipFleet } from './gossipFleet.js'
import { linkDelayMs, LOSSY } from './sizes.js'

/** At 340 entries the log then serves 34 reads/s. */
const POLL_MS = 10_000
const POLL_RETRY_MS = 1_000
const BROADCAST_LIFETIME_MS = 60_000
/** Spreads the reads of a whole fleet that hears of a new offset at once. */
const READ_SPREAD_MS = 500

/** A fake of the log's configuration stream and of the processes that follow it. */
export interface ConfigurationFake {
  append (): void
  onOffsetHeard (node: FleetNode, offset: number): void
  /** Time from the append until a process has the change in force, over all changes and processes. */
  percentileS (share: number): number
  /** The same if every entry and agent only polled the log. */
  pollOnlyPercentileS (share: number): number
}

/**
 * Creates the log and its followers: entries poll it, hear of offsets by gossip, and send rows to
 * their linked agents.
 */
export const createConfigurationFake = (
  { queue, random, nodes }: GossipFleet, entriesOf: ReadonlyMap<string, readonly FleetNode[]>
): ConfigurationFake => {
  const appendedMs: number[] = []
  const offsetOf = new Map<string, number>()
  const reading = new Set<string>()
  const samplesS: number[] = []
  const pollOnlyS: number[] = []
  const agentsOf = new Map<string, string[]>(nodes.map(({ identity }) => [identity.nodeId, []]))
  for (const [agentId, entries] of entriesOf) {
    for (const { identity } of entries) agentsOf.get(identity.nodeId)!.push(agentId)
  }

  const putInForce = (processId: string, offset: number): boolean => {
    const known = offsetOf.get(processId) ?? 0
    for (let i = known; i < offset; i++) samplesS.push((queue.clock.nowMs() - appendedMs[i]!) / 1_000)
    offsetOf.set(processId, Math.max(known, offset))
    return offset > known
  }

  const applyAtEntry = (node: FleetNode, offset: number) => {
    const { nodeId } = node.identity
    if (!putInForce(nodeId, offset)) return
    node.post({
      kind: GossipMessageKind.BroadcastRequested,
      broadcast: {
        topic: BroadcastTopic.ConfigurationOffset,
        id: String(offset),
        payload: new Uint8Array(0),
        expiresMs: queue.clock.nowMs() + BROADCAST_LIFETIME_MS
      }
    })
    for (const agentId of agentsOf.get(nodeId)!) queue.after(linkDelayMs(random), () => putInForce(agentId, offset))
  }

  const isLost = () => random.next() < LOSSY.lossRatio
  const read = (node: FleetNode) => {
    if (reading.has(node.identity.nodeId) || !node.isRunning) return
    reading.add(node.identity.nodeId)
    if (isLost() || isLost()) {
      queue.after(POLL_RETRY_MS, () => {
        reading.delete(node.identity.nodeId)
        read(node)
      })
      return
    }
    const offset = appendedMs.length
    queue.after(linkDelayMs(random), () => {
      reading.delete(node.identity.nodeId)
      applyAtEntry(node, offset)
      // The log grew while the answer was under way.
      if ((heard.get(node.identity.nodeId) ?? 0) > offset) read(node)
    })
  }

  const heard = new Map<string, number>()
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
      for (let i = 0; i < nodes.length + entriesOf.size; i++) pollOnlyS.push(pollOnlyDelayMs() / 1_000)
    },
    onOffsetHeard: (node, offset) => {
      heard.set(node.identity.nodeId, Math.max(offset, heard.get(node.identity.nodeId) ?? 0))
      if ((offsetOf.get(node.identity.nodeId) ?? 0) < offset) queue.after(random.int(0, READ_SPREAD_MS), () => read(node))
    },
    percentileS: share => {
      const processCount = nodes.length + entriesOf.size
      const missing = processCount * appendedMs.length - samplesS.length
      return percentile([...samplesS, ...new Array<number>(Math.max(0, missing)).fill(Number.POSITIVE_INFINITY)], share)
    },
    pollOnlyPercentileS: share => percentile(pollOnlyS, share)
  }
}
