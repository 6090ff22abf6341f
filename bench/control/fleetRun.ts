import type { Random } from '../../src/core/index.js'
import { NodeRole, type PeerIdentity } from '../../src/links/index.js'
import {
  assignSubsets, BroadcastTopic, type GossipEffect, GossipEffectKind, GossipMessageKind, isDeadOrLeft, MemberStatus, START_MS
} from '../../src/membership/index.js'
import { mean, percentile } from '../harness/index.js'
import { createConfigurationFake } from './configurationFake.js'
import { createGossipFleet, type FleetNode, type GossipFleet } from './gossipFleet.js'
import { agentCountFor, LOSSY_NETWORK, POOLS, SUBSET_SIZE } from './sizes.js'

/** Covers the time after a start in which the send budget is larger, so that the steady part excludes it. */
const START_UP_MS = START_MS + 10_000
const STEADY_MS = 60_000
const CHANGE_INTERVAL_MS = 4_000
const LOAD_CHANGE_MS = 5_000
const KILLS = 3
const KILL_OBSERVATION_MS = 16_000

export interface FleetFigures {
  bytesPerSPerNode: number
  bytesPerSWorstNode: number
  cpuShare: number
  configurationP99S: number
  configurationPollOnlyP99S: number
  detectionP99S: number
  removalP99S: number
  falseSuspicions: number
  falseRemovals: number
}

export const agentIdentity = (index: number, random: Random): PeerIdentity => ({
  nodeId: `agent-${index}`,
  incarnation: random.int(0, 2 ** 31 - 1).toString(16).padStart(16, '0'),
  role: NodeRole.Agent,
  address: `10.200.${index >> 8}.${index & 255}:7300`,
  failureDomain: ['tema-a', 'spintex-b', 'kasoa-c'][index % 3]!,
  pool: `quote-model-${index % POOLS}`
})

/** Links every entry to its subset of the agents of each pool; returns the linked entries by agent id. */
export const linkAgents = (fleet: GossipFleet, agents: readonly PeerIdentity[]): Map<string, FleetNode[]> => {
  const entriesOf = new Map<string, FleetNode[]>(agents.map(({ nodeId }) => [nodeId, []]))
  const entries = fleet.nodes.map(({ identity }) => identity)
  for (let pool = 0; pool < POOLS; pool++) {
    const members = agents.filter(agent => agent.pool === `quote-model-${pool}`)
    const subsets = assignSubsets({ entries, agents: members, subsetSize: Math.ceil(SUBSET_SIZE / POOLS) })
    for (const node of fleet.nodes) {
      for (const agentId of subsets.get(node.identity.nodeId)!) entriesOf.get(agentId)!.push(node)
    }
  }
  for (const agent of agents) {
    for (const node of entriesOf.get(agent.nodeId)!) {
      node.post({ kind: GossipMessageKind.AgentLinked, identity: agent, isDraining: false, freeCapacityRequests: 0 })
    }
  }
  return entriesOf
}

/**
 * Runs one fleet under loss: all entries start at once, then a steady part has configuration changes and
 * changing load, and then entries are killed one after the other.
 */
export const runFleet = (seed: number, entryCount: number): FleetFigures => {
  const killedAtMs = new Map<string, number>()
  const suspectedS: number[] = []
  const removedS: number[] = []
  const falseSuspicions = new Set<string>()
  const falseRemovals = new Set<string>()
  const detected = new Set<string>()

  const recordDetection = (node: FleetNode, nodeId: string, status: MemberStatus, timeMs: number) => {
    const killedMs = killedAtMs.get(nodeId)!
    const recordOnce = (samples: number[], key: string) => {
      if (detected.has(key)) return
      detected.add(key)
      samples.push((timeMs - killedMs) / 1_000)
    }
    if (status !== MemberStatus.Alive) recordOnce(suspectedS, `${node.identity.nodeId}/${nodeId}/suspect`)
    if (isDeadOrLeft(status)) recordOnce(removedS, `${node.identity.nodeId}/${nodeId}/dead`)
  }

  const onEffect = (node: FleetNode, effect: GossipEffect, timeMs: number) => {
    if (effect.kind === GossipEffectKind.BroadcastDelivered) {
      if (effect.broadcast.topic === BroadcastTopic.ConfigurationOffset) configuration.onOffsetReceived(node, Number(effect.broadcast.id))
      return
    }
    if (effect.kind !== GossipEffectKind.MemberUpdated) return
    const { identity, version, status } = effect.record
    if (identity.role !== NodeRole.Entry || status === MemberStatus.Alive) return
    if (killedAtMs.has(identity.nodeId)) recordDetection(node, identity.nodeId, status, timeMs)
    else if (isDeadOrLeft(status)) falseRemovals.add(`${identity.nodeId}/${version}`)
    else falseSuspicions.add(`${identity.nodeId}/${version}`)
  }

  const fleet = createGossipFleet({ seed, entryCount, faults: LOSSY_NETWORK, onEffect })
  const { queue, random, nodes } = fleet
  for (let i = 0; i < entryCount; i++) fleet.start(i)
  const agents = Array.from({ length: agentCountFor(entryCount) }, (_, i) => agentIdentity(i, random))
  const entriesOf = linkAgents(fleet, agents)
  const configuration = createConfigurationFake(fleet, entriesOf)
  for (const node of nodes) {
    queue.every(LOAD_CHANGE_MS, () => {
      if (!node.isRunning) return false
      node.post({ kind: GossipMessageKind.FreeCapacityChanged, freeCapacityRequests: random.int(10, 80) })
    })
  }

  const startMs = queue.clock.nowMs()
  queue.runUntil(startMs + START_UP_MS)
  const bytesBefore = nodes.map(({ bytesSent, bytesReceived }) => bytesSent + bytesReceived)
  const processingBeforeMs = fleet.processingMs
  falseSuspicions.clear()
  falseRemovals.clear()
  const steadyEndMs = queue.clock.nowMs() + STEADY_MS
  queue.every(CHANGE_INTERVAL_MS, () => {
    if (queue.clock.nowMs() > steadyEndMs - 20_000) return false
    configuration.append()
  })
  queue.runUntil(steadyEndMs)
  const bytesPerS = nodes.map(({ bytesSent, bytesReceived }, i) => (bytesSent + bytesReceived - bytesBefore[i]!) / STEADY_MS * 1_000)
  const cpuShare = (fleet.processingMs - processingBeforeMs) / entryCount / STEADY_MS

  for (let kill = 0; kill < KILLS; kill++) {
    const index = entryCount - 1 - kill
    fleet.stop(index)
    killedAtMs.set(nodes[index]!.identity.nodeId, queue.clock.nowMs())
    queue.runUntil(queue.clock.nowMs() + KILL_OBSERVATION_MS)
  }
  const expectedCount = Array.from({ length: KILLS }, (_, kill) => entryCount - 1 - kill).reduce((sum, count) => sum + count, 0)
  // An entry that did not detect a killed one counts with the whole observation time.
  const withMissing = (samples: number[]) =>
    [...samples, ...new Array<number>(Math.max(0, expectedCount - samples.length)).fill(KILL_OBSERVATION_MS / 1_000)]

  return {
    bytesPerSPerNode: mean(bytesPerS),
    bytesPerSWorstNode: Math.max(...bytesPerS),
    cpuShare,
    configurationP99S: configuration.percentileS(0.99),
    configurationPollOnlyP99S: configuration.pollOnlyPercentileS(0.99),
    detectionP99S: percentile(withMissing(suspectedS), 0.99),
    removalP99S: percentile(withMissing(removedS), 0.99),
    falseSuspicions: falseSuspicions.size,
    falseRemovals: falseRemovals.size
  }
}
