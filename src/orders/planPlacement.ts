import { canonicalText, type EngineRole, type PoolRow, UpstreamKind } from '../configuration/index.js'
import { countRoles, type RoleCounts } from './roleCounts.js'
import { isEmptyEngine } from './engineOrders.js'
import { textOfPlacements } from './leaseState.js'
import { type RoleSpread, spreadRoles } from './spreadRoles.js'
import type { EngineState, Placement } from './types.js'

/** A live agent of the pool. */
export interface LiveAgent {
  agentId: string
  failureDomain: string
  /** State of its engine by its last report; absent before the first report. */
  running?: EngineState
}

export interface PlacementInput {
  pool: PoolRow
  agents: readonly LiveAgent[]
  /** Placements in effect; those of agents that are no longer live are dropped. */
  current: readonly Placement[]
}

const roleCountsOf = (placements: readonly Placement[]): RoleCounts => {
  const counts: RoleCounts = new Map()
  for (const { role } of placements) counts.set(role, (counts.get(role) ?? 0) + 1)
  return counts
}

const groupByDomain = (agents: readonly LiveAgent[]): Map<string, LiveAgent[]> => {
  const groups = new Map<string, LiveAgent[]>()
  for (const agent of agents) groups.set(agent.failureDomain, [...groups.get(agent.failureDomain) ?? [], agent])
  return groups
}

/** Assigns the roles of one failure domain to its agents; an agent keeps its role where possible. */
const assignRoles = (
  agents: readonly LiveAgent[],
  counts: RoleCounts,
  currentById: ReadonlyMap<string, Placement>
): Map<string, EngineRole> => {
  const remaining = new Map(counts)
  const roles = new Map<string, EngineRole>()
  const assign = (agentId: string, role: EngineRole) => {
    roles.set(agentId, role)
    remaining.set(role, remaining.get(role)! - 1)
  }
  for (const { agentId } of agents) {
    const role = currentById.get(agentId)?.role
    if (role !== undefined && (remaining.get(role) ?? 0) > 0) assign(agentId, role)
  }
  for (const { agentId } of agents.filter(agent => !roles.has(agent.agentId))) {
    const available = [...remaining].find(([, count]) => count > 0)
    if (available !== undefined) assign(agentId, available[0])
  }
  return roles
}

const isRunning = (running: EngineState | undefined, { role, model, version, adapters }: Placement): boolean =>
  running !== undefined && running.role === role && running.model === model && running.version === version &&
  canonicalText([...running.adapters].sort()) === canonicalText([...adapters].sort())

/** Whether a change would interrupt the agent; an agent with an empty engine serves nothing. */
const isServing = ({ running }: LiveAgent) => running === undefined || !isEmptyEngine(running)

/**
 * Plans what each engine of a pool runs: the model, version and adapters of the pool row, and roles in
 * the proportion of the row, spread over failure domains, with the fewest changes. At most
 * `movesAtOnceMax` serving agents change at a time; later plans continue once these run their
 * placement.
 *
 * @example
 * const placements = planPlacement({ pool, agents, current })
 */
export const planPlacement = ({ pool, agents, current }: PlacementInput): Placement[] => {
  const { model, version, adapters, movesAtOnceMax } = pool
  if (pool.upstreamKind !== UpstreamKind.Engine || model === undefined || agents.length === 0) return []
  const sorted = [...agents].sort((a, b) => (a.agentId < b.agentId ? -1 : 1))
  const liveIds = new Set(sorted.map(({ agentId }) => agentId))
  const currentById = new Map(current.filter(({ agentId }) => liveIds.has(agentId)).map(item => [item.agentId, item]))

  const groups = groupByDomain(sorted)
  const currentSpread: RoleSpread = new Map([...groups].map(([domain, members]) =>
    [domain, roleCountsOf(members.flatMap(({ agentId }) => currentById.get(agentId) ?? []))]))
  const spread = spreadRoles(
    countRoles(pool.roles, sorted.length),
    new Map([...groups].map(([domain, members]) => [domain, members.length])),
    currentSpread
  )
  const roleById = new Map([...groups].flatMap(([domain, members]) =>
    [...assignRoles(members, spread.get(domain)!, currentById)]))

  const isChanging = (agent: LiveAgent) => {
    const placement = currentById.get(agent.agentId)
    return placement !== undefined && isServing(agent) && !isRunning(agent.running, placement)
  }
  let changesLeft = Math.max(0, movesAtOnceMax - sorted.filter(isChanging).length)

  return sorted.flatMap(agent => {
    const { agentId } = agent
    const role = roleById.get(agentId)
    if (role === undefined) return []
    const target: Placement = { agentId, role, model, ...(version !== undefined && { version }), adapters: [...adapters] }
    const existing = currentById.get(agentId)
    const isNonDisruptive = existing === undefined || textOfPlacements([existing]) === textOfPlacements([target]) || !isServing(agent)
    // An agent that is already changing can get a different target without another interruption.
    if (isNonDisruptive || isChanging(agent)) return [target]
    if (changesLeft === 0) return [existing]
    changesLeft -= 1
    return [target]
  })
}
