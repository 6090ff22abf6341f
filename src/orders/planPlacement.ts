import { canonicalText, type EngineRole, type PoolRow, UpstreamKind } from '../configuration/index.js'
import { countRoles, type RoleCounts } from './roleCounts.js'
import { isFreshEngine } from './engineOrders.js'
import { textOfPlacements } from './leaseState.js'
import { type RoleSpread, spreadRoles } from './spreadRoles.js'
import type { EngineState, Placement } from './types.js'

/** A live agent of the pool. */
export interface LiveAgent {
  agentId: string
  failureDomain: string
  /** What its engine runs by its last report; absent until it has reported. */
  running?: EngineState
}

export interface PlacementInput {
  pool: PoolRow
  agents: readonly LiveAgent[]
  /** Placements in effect; those of agents that are gone are dropped. */
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

/** Gives the roles of one failure domain to its agents; an agent keeps its role where it can. */
const assignRoles = (
  agents: readonly LiveAgent[],
  counts: RoleCounts,
  currentById: ReadonlyMap<string, Placement>
): Map<string, EngineRole> => {
  const left = new Map(counts)
  const roles = new Map<string, EngineRole>()
  const take = (agentId: string, role: EngineRole) => {
    roles.set(agentId, role)
    left.set(role, left.get(role)! - 1)
  }
  for (const { agentId } of agents) {
    const role = currentById.get(agentId)?.role
    if (role !== undefined && (left.get(role) ?? 0) > 0) take(agentId, role)
  }
  for (const { agentId } of agents.filter(agent => !roles.has(agent.agentId))) {
    const free = [...left].find(([, count]) => count > 0)
    if (free !== undefined) take(agentId, free[0])
  }
  return roles
}

const isRunning = (running: EngineState | undefined, { role, model, version, adapters }: Placement): boolean =>
  running !== undefined && running.role === role && running.model === model && running.version === version &&
  canonicalText([...running.adapters].sort()) === canonicalText([...adapters].sort())

/** A change interrupts an agent that serves; one with an empty engine has nothing to lose. */
const isServing = ({ running }: LiveAgent) => running === undefined || !isFreshEngine(running)

/**
 * Plans what each engine of a pool runs: model, version and adapters of the row, roles in the
 * proportion of the row and spread over failure domains, with the least change. At most
 * `movesAtOnceMax` serving agents change at a time; the next plan continues once they run.
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
    const wanted: Placement = { agentId, role, model, ...(version !== undefined && { version }), adapters: [...adapters] }
    const now = currentById.get(agentId)
    const isFree = now === undefined || textOfPlacements([now]) === textOfPlacements([wanted]) || !isServing(agent)
    // An agent that is changing already may change its goal without another interruption.
    if (isFree || isChanging(agent)) return [wanted]
    if (changesLeft === 0) return [now]
    changesLeft -= 1
    return [wanted]
  })
}
