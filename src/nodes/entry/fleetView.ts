import type { Incarnation, Random } from '../../core/index.js'
import { FrameKind, type Frame, type PeerIdentity } from '../../links/index.js'
import type { ChosenAgent } from '../../requests/index.js'
import type { MembershipHub } from './membershipHub.js'
import type { RowTable } from './rowTable.js'

/** Number of entries that are asked for their state while the log is unavailable. */
const PEERS_PER_STATE_REQUEST = 3

export interface FleetViewOptions {
  table: RowTable
  /** Null until gossip has started. */
  hub: () => MembershipHub | null
  /** Link addresses of the seed entries from the settings. */
  seeds: readonly string[]
  ownAddress: () => string
  random: Random
  sendTo: (address: string, frame: Frame) => void
}

/** The other entries, and the agents that one entry sends requests to. */
export interface FleetView {
  /** Recomputes the linked agents after a change of the member list or the configuration. */
  refresh (): void
  /** Linked agents of one pool, or of all pools if none is given. */
  linkedAgents (pool?: string): PeerIdentity[]
  liveAgents (pool: string): PeerIdentity[]
  /** Finds a live agent outside evacuated failure domains, whether it is linked or not. */
  findAgent (agentId: string): ChosenAgent | undefined
  /** Whether the failure domain of an agent is evacuated. */
  isEvacuated (agent: { incarnation: Incarnation }): boolean
  peerAddresses (): string[]
  /** Sends a frame to a few randomly chosen entries. */
  sendToPeers (frame: Frame): void
  sendToEntry (nodeId: string, frame: Frame): void
  /** Sends an agent the configuration row of its pool. */
  sendRow (peer: PeerIdentity): void
  /** Sends the linked agents of each group the addresses of its ranks. */
  sendRosters (): void
}

/**
 * Creates the fleet view of one entry.
 *
 * @example
 * const fleet = createFleetView({ table, hub: () => hub, seeds, ownAddress, random, sendTo })
 * fleet.linkedAgents('quote-workers')
 */
export const createFleetView = ({ table, hub, seeds, ownAddress, random, sendTo }: FleetViewOptions): FleetView => {
  let subsets = new Map<string, PeerIdentity[]>()

  const linkedAgents = (pool?: string) => pool === undefined ? [...subsets.values()].flat() : subsets.get(pool) ?? []

  const peerAddresses = () =>
    hub()?.entries().map(({ address }) => address).filter(address => address !== ownAddress()) ?? []

  /** Falls back to the seeds until gossip has found other entries. */
  const peersOrSeeds = () => {
    const peers = peerAddresses()
    return peers.length > 0 ? peers : seeds.filter(address => address !== ownAddress())
  }

  return {
    refresh: () => {
      subsets = new Map(table.pools().map(({ name, subsetSize }) => [name, hub()?.subset(name, subsetSize) ?? []]))
    },
    linkedAgents,
    liveAgents: pool => hub()?.agents(pool) ?? [],
    findAgent: agentId => {
      const agent = hub()?.agents().find(({ nodeId, failureDomain }) => nodeId === agentId && !table.isEvacuated(failureDomain))
      return agent && { agentId, incarnation: agent.incarnation, address: agent.address }
    },
    isEvacuated: ({ incarnation }) =>
      hub()?.agents().some(agent => agent.incarnation === incarnation && table.isEvacuated(agent.failureDomain)) ?? false,
    peerAddresses,
    sendToPeers: frame => random.shuffle(peersOrSeeds()).slice(0, PEERS_PER_STATE_REQUEST).forEach(address => sendTo(address, frame)),
    sendToEntry: (nodeId, frame) => {
      const address = hub()?.entries().find(entry => entry.nodeId === nodeId)?.address
      if (address !== undefined) sendTo(address, frame)
    },
    sendRow: peer => {
      const row = peer.pool === undefined ? undefined : table.pool(peer.pool)
      if (row !== undefined) sendTo(peer.address, { kind: FrameKind.Rows, offset: table.poolOffset(row.name), row })
    },
    sendRosters: () => {
      const agents = hub()?.agents() ?? []
      for (const { group, address } of linkedAgents()) {
        if (group === undefined) continue
        const members = agents.filter(agent => agent.group === group).map(agent => ({ rank: agent.rank ?? 0, address: agent.address }))
        sendTo(address, { kind: FrameKind.GroupRoster, group, members })
      }
    }
  }
}
