import { hash32 } from '../core/index.js'
import type { PeerIdentity } from '../links/index.js'
import { mixHash } from './mixHash.js'
import { apportionSeats } from './apportionSeats.js'

export interface SubsetInput {
  /** Live entries of the fleet, in any order. */
  entries: readonly Pick<PeerIdentity, 'nodeId'>[]
  /** Live agents of one pool, in any order. */
  agents: readonly Pick<PeerIdentity, 'nodeId' | 'failureDomain'>[]
  /** Number of agents that each entry links to. */
  subsetSize: number
}

interface Node {
  nodeId: string
  hash: number
}

const toNodes = (items: readonly { nodeId: string }[]): Node[] => items
  .map(({ nodeId }) => ({ nodeId, hash: hash32(nodeId) }))
  .sort((a, b) => a.hash - b.hash || (a.nodeId < b.nodeId ? -1 : 1))

/**
 * Assigns the links to the agents of one failure domain by deferred acceptance (Gale-Shapley). Entries
 * propose to agents in the order of a hash of both; a full agent keeps the entries it ranks highest.
 * The result does not depend on the order of the proposals, so an entry or agent that leaves changes
 * only its own links and a few others that follow from them.
 */
const matchDomain = (entries: readonly Node[], agents: readonly Node[], seatsOf: readonly number[]): Set<number>[] => {
  const demand = seatsOf.reduce((sum, seats) => sum + seats, 0)
  // Exact capacities: slack would make chains of changes shorter, but leave some agents with half the mean.
  const capacityOf = (agentIndex: number) =>
    Math.floor(demand / agents.length) + (agentIndex < demand % agents.length ? 1 : 0)
  const preferences = entries.map(entry => agents
    .map((agent, index) => ({ index, weight: mixHash(entry.hash, agent.hash) }))
    .sort((a, b) => b.weight - a.weight || a.index - b.index)
    .map(({ index }) => index))
  const nextChoice = entries.map(() => 0)
  const accepted: { entryIndex: number, rank: number }[][] = agents.map(() => [])
  const unmatched: number[] = []
  const proposing = entries.flatMap((_, index) => Array.from({ length: seatsOf[index]! }, () => index))

  for (let entryIndex = proposing.pop(); entryIndex !== undefined; entryIndex = proposing.pop()) {
    const agentIndex = preferences[entryIndex]![nextChoice[entryIndex]!++]
    if (agentIndex === undefined) {
      unmatched.push(entryIndex)
      continue
    }
    const seats = accepted[agentIndex]!
    seats.push({ entryIndex, rank: mixHash(agents[agentIndex]!.hash, entries[entryIndex]!.hash) })
    if (seats.length <= capacityOf(agentIndex)) continue
    seats.sort((a, b) => b.rank - a.rank || a.entryIndex - b.entryIndex)
    proposing.push(seats.pop()!.entryIndex)
  }

  const chosen = entries.map(() => new Set<number>())
  accepted.forEach((seats, agentIndex) => seats.forEach(({ entryIndex }) => chosen[entryIndex]!.add(agentIndex)))
  // The last free links may be at agents that the entry already has; it then gets the least used other agent.
  for (const entryIndex of unmatched) {
    const free = accepted.map((_, agentIndex) => agentIndex).filter(agentIndex => !chosen[entryIndex]!.has(agentIndex))
    const least = free.reduce((best, agentIndex) => accepted[agentIndex]!.length < accepted[best]!.length ? agentIndex : best, free[0]!)
    accepted[least]!.push({ entryIndex, rank: 0 })
    chosen[entryIndex]!.add(least)
  }
  return chosen
}

/**
 * Assigns agents of a pool to every entry: each entry gets `subsetSize` agents, with some in every
 * failure domain, and each agent nearly the same number of entries. Every entry computes the same
 * result from the same member list. The time grows with entries times agents, about 20 ms at full size.
 *
 * @example
 * assignSubsets({ entries, agents, subsetSize: 12 }).get('entry-1') // ['agent-4', 'agent-17', ...]
 */
export const assignSubsets = ({ entries, agents, subsetSize }: SubsetInput): Map<string, string[]> => {
  const entryNodes = toNodes(entries)
  const domains = [...new Set(agents.map(({ failureDomain }) => failureDomain))].sort()
  const agentNodes = domains.map(domain => toNodes(agents.filter(({ failureDomain }) => failureDomain === domain)))
  const sizes = agentNodes.map(({ length }) => length)
  // Using the rank as the phase, instead of the hash, spreads the remainders evenly.
  const seats = entryNodes.map((_, rank) => apportionSeats(sizes, subsetSize, rank / entryNodes.length))
  const result = new Map<string, string[]>(entryNodes.map(({ nodeId }) => [nodeId, []]))
  agentNodes.forEach((nodes, domainIndex) => {
    const chosen = matchDomain(entryNodes, nodes, seats.map(perDomain => perDomain[domainIndex]!))
    entryNodes.forEach(({ nodeId }, i) => result.get(nodeId)!.push(...[...chosen[i]!].map(index => nodes[index]!.nodeId)))
  })
  return result
}

/**
 * Returns the agents that one entry links to, sorted by node id; empty if the entry is not listed.
 *
 * @example
 * chooseSubset('entry-1', { entries, agents, subsetSize: pool.subsetSize })
 */
export const chooseSubset = (selfId: string, input: SubsetInput): string[] =>
  (assignSubsets(input).get(selfId) ?? []).sort()
