import { createRandom } from '../../src/core/index.js'
import { LINK_TICK_MS, NodeRole, PROBE_ANSWER_LIMIT_MS, UNANSWERED_PROBE_MS } from '../../src/links/index.js'
import { createDrain, DrainEffectKind, DrainMessageKind, GossipMessageKind } from '../../src/membership/index.js'
import { agentIdentity, linkAgents } from './fleetRun.js'
import { createGossipFleet, type FleetNode } from './gossipFleet.js'
import { agentsFor, LOSSY, linkDelayMs } from './sizes.js'

const START_UP_MS = 30_000
const DRAINING_AGENTS = 12
const DRAIN_INTERVAL_MS = 2_000
const WATCH_MS = 8_000
const DISPATCHES_PER_S = 10
/** Baseline: entries ask each agent for its health at this interval and are told of the drain only then. */
const HEALTH_CHECK_MS = 5_000

export interface DrainFigures {
  /** Worst case over the agents: time from the start of a drain to the last new work that reached the agent. */
  lastNewWorkS: number
  baselineS: number
  /** New work that the agents ran after the start of their drain. */
  acceptedAfterStart: number
}

/**
 * Drains agents one after the other under loss. The link from each agent to one of its entries has gone
 * silent towards the entry, which then learns from gossip or gives the link up.
 */
export const measureDrain = (seed: number, entryCount: number): DrainFigures => {
  const fleet = createGossipFleet({ seed, entryCount, faults: LOSSY })
  const { queue } = fleet
  const random = createRandom(seed + 1)
  for (let i = 0; i < entryCount; i++) fleet.start(i)
  const agents = Array.from({ length: agentsFor(entryCount) }, (_, i) => agentIdentity(i, random))
  const entriesOf = linkAgents(fleet, agents)
  const lastWorkS: number[] = []
  const baselineS: number[] = []
  let acceptedAfterStart = 0
  queue.runUntil(queue.clock.nowMs() + START_UP_MS)

  const drainAgent = (agentId: string) => {
    const startMs = queue.clock.nowMs()
    const drain = createDrain({ role: NodeRole.Agent, settings: { workLimitMs: 60_000 }, clock: queue.clock })
    const links = entriesOf.get(agentId)!
    const told = new Set<FleetNode>()
    let lastMs = startMs

    const knowsDrain = (node: FleetNode) => told.has(node) || node.view.get(agentId)?.isDraining === true
    const arrive = () => {
      const [effect] = drain.handle({ kind: DrainMessageKind.WorkOffered, workId: 'work' })
      if (effect?.kind === DrainEffectKind.AcceptWork) acceptedAfterStart += 1
      lastMs = Math.max(lastMs, queue.clock.nowMs())
    }
    const dispatchLater = (node: FleetNode): void => queue.after(random.exponential(1_000 / DISPATCHES_PER_S), () => {
      if (knowsDrain(node) || queue.clock.nowMs() > startMs + WATCH_MS) return
      queue.after(linkDelayMs(random), arrive)
      dispatchLater(node)
    })

    drain.handle({ kind: DrainMessageKind.StopRequested })
    links.forEach((node, i) => {
      const isSilent = i === 0
      // Work on the silent link stays unanswered, is probed, and the probe stays unanswered too.
      const giveUpMs = UNANSWERED_PROBE_MS + PROBE_ANSWER_LIMIT_MS + random.int(0, LINK_TICK_MS)
      queue.after(isSilent ? giveUpMs : linkDelayMs(random), () => {
        told.add(node)
        node.post(isSilent
          ? { kind: GossipMessageKind.AgentLost, nodeId: agentId }
          : { kind: GossipMessageKind.AgentDraining, nodeId: agentId })
      })
      dispatchLater(node)
    })
    baselineS.push(Math.max(...links.map(() => (random.next() * HEALTH_CHECK_MS + linkDelayMs(random)) / 1_000)))
    queue.after(WATCH_MS, () => lastWorkS.push((lastMs - startMs) / 1_000))
  }

  for (let i = 0; i < DRAINING_AGENTS; i++) {
    drainAgent(agents[i]!.nodeId)
    queue.runUntil(queue.clock.nowMs() + DRAIN_INTERVAL_MS)
  }
  queue.runUntil(queue.clock.nowMs() + WATCH_MS + 1)
  return { lastNewWorkS: Math.max(...lastWorkS), baselineS: Math.max(...baselineS), acceptedAfterStart }
}
