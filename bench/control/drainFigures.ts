import { createRandom } from '../../src/core/index.js'
import { LINK_TICK_MS, NodeRole, PROBE_TIMEOUT_MS, UNANSWERED_PROBE_MS } from '../../src/links/index.js'
import { createDrain, DrainEffectKind, DrainMessageKind, GossipMessageKind } from '../../src/membership/index.js'
import { agentIdentity, linkAgents } from './fleetRun.js'
import { createGossipFleet, type FleetNode } from './gossipFleet.js'
import { agentCountFor, LOSSY_NETWORK, linkDelayMs } from './sizes.js'

const START_UP_MS = 30_000
const DRAINING_AGENTS = 12
const DRAIN_INTERVAL_MS = 2_000
const OBSERVATION_MS = 8_000
const DISPATCHES_PER_S = 10
/** Baseline: entries check the health of each agent at this interval and learn of the drain only then. */
const HEALTH_CHECK_MS = 5_000

export interface DrainFigures {
  /** Longest time, over the agents, from the start of a drain to the last new work that reached the agent. */
  lastNewWorkS: number
  baselineS: number
  /** New work that agents accepted after the start of their drain. */
  acceptedAfterStart: number
}

/**
 * Drains agents one after the other under loss. For each agent, one entry gets no frames over its link any
 * more; it learns of the drain from gossip or when the link times out.
 */
export const measureDrain = (seed: number, entryCount: number): DrainFigures => {
  const fleet = createGossipFleet({ seed, entryCount, faults: LOSSY_NETWORK })
  const { queue } = fleet
  const random = createRandom(seed + 1)
  for (let i = 0; i < entryCount; i++) fleet.start(i)
  const agents = Array.from({ length: agentCountFor(entryCount) }, (_, i) => agentIdentity(i, random))
  const entriesOf = linkAgents(fleet, agents)
  const lastWorkS: number[] = []
  const baselineS: number[] = []
  let acceptedAfterStart = 0
  queue.runUntil(queue.clock.nowMs() + START_UP_MS)

  const drainAgent = (agentId: string) => {
    const startMs = queue.clock.nowMs()
    const drain = createDrain({ role: NodeRole.Agent, settings: { workLimitMs: 60_000 }, clock: queue.clock })
    const links = entriesOf.get(agentId)!
    const informed = new Set<FleetNode>()
    let lastMs = startMs

    const isInformed = (node: FleetNode) => informed.has(node) || node.view.get(agentId)?.isDraining === true
    const deliverWork = () => {
      const [effect] = drain.handle({ kind: DrainMessageKind.WorkOffered, workId: 'work' })
      if (effect?.kind === DrainEffectKind.AcceptWork) acceptedAfterStart += 1
      lastMs = Math.max(lastMs, queue.clock.nowMs())
    }
    const dispatchLater = (node: FleetNode): void => queue.after(random.exponential(1_000 / DISPATCHES_PER_S), () => {
      if (isInformed(node) || queue.clock.nowMs() > startMs + OBSERVATION_MS) return
      queue.after(linkDelayMs(random), deliverWork)
      dispatchLater(node)
    })

    drain.handle({ kind: DrainMessageKind.StopRequested })
    links.forEach((node, i) => {
      const isSilent = i === 0
      // Work on the silent link is not answered; the entry probes the link, and the probe is not answered
      // either.
      const linkTimeoutMs = UNANSWERED_PROBE_MS + PROBE_TIMEOUT_MS + random.int(0, LINK_TICK_MS)
      queue.after(isSilent ? linkTimeoutMs : linkDelayMs(random), () => {
        informed.add(node)
        node.post(isSilent
          ? { kind: GossipMessageKind.AgentLost, nodeId: agentId }
          : { kind: GossipMessageKind.AgentDraining, nodeId: agentId })
      })
      dispatchLater(node)
    })
    baselineS.push(Math.max(...links.map(() => (random.next() * HEALTH_CHECK_MS + linkDelayMs(random)) / 1_000)))
    queue.after(OBSERVATION_MS, () => lastWorkS.push((lastMs - startMs) / 1_000))
  }

  for (let i = 0; i < DRAINING_AGENTS; i++) {
    drainAgent(agents[i]!.nodeId)
    queue.runUntil(queue.clock.nowMs() + DRAIN_INTERVAL_MS)
  }
  queue.runUntil(queue.clock.nowMs() + OBSERVATION_MS + 1)
  return { lastNewWorkS: Math.max(...lastWorkS), baselineS: Math.max(...baselineS), acceptedAfterStart }
}
