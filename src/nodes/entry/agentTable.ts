import { ResultCode } from '../../core/index.js'
import type { PeerIdentity } from '../../links/index.js'
import type { RequestPorts } from '../../requests/index.js'

interface KnownAgent {
  peer: PeerIdentity
  isLinked: boolean
  isDraining: boolean
  inFlight: number
}

/** The agents that an entry knows, with the request ports of least-loaded choice. */
export const createAgentTable = () => {
  const agents = new Map<string, KnownAgent>()

  const update = (agentId: string, change: Partial<KnownAgent>) => {
    const agent = agents.get(agentId)
    if (agent !== undefined) Object.assign(agent, change)
  }

  const ports: RequestPorts = {
    admit: () => undefined,
    choose: ({ pool }, excludedAgentIds) => {
      const candidates = [...agents.values()].filter(({ peer, isLinked, isDraining }) =>
        peer.pool === pool && isLinked && !isDraining && !excludedAgentIds.includes(peer.nodeId))
      const best = candidates.sort((a, b) => a.inFlight - b.inFlight)[0]
      if (best === undefined) return ResultCode.NoUpstream
      return { agentId: best.peer.nodeId, incarnation: best.peer.incarnation, address: best.peer.address }
    },
    takeRetry: () => true,
    isSuspect: () => false,
    onDispatched: (_request, { agentId }) => update(agentId, { inFlight: (agents.get(agentId)?.inFlight ?? 0) + 1 }),
    onFirstBytes: () => {},
    onAttemptEnded: (_request, { agentId }) =>
      update(agentId, { inFlight: Math.max(0, (agents.get(agentId)?.inFlight ?? 0) - 1) }),
    onRequestEnded: () => {}
  }

  return {
    ports,
    add: (peer: PeerIdentity) => {
      if (agents.get(peer.nodeId)?.peer.incarnation === peer.incarnation) return
      agents.set(peer.nodeId, { peer, isLinked: false, isDraining: false, inFlight: 0 })
    },
    setLinked: (peer: PeerIdentity) => update(peer.nodeId, { peer, isLinked: true }),
    setUnlinked: (agentId: string) => update(agentId, { isLinked: false }),
    setDraining: (agentId: string) => update(agentId, { isDraining: true }),
    addresses: () => [...agents.values()].map(({ peer }) => peer.address)
  }
}
