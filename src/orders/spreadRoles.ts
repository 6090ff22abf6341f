import type { EngineRole } from '../configuration/index.js'
import type { RoleCounts } from './roleCounts.js'

/** Number of agents for each role in each failure domain. */
export type RoleSpread = Map<string, RoleCounts>

/**
 * Spreads roles over failure domains in proportion to their agents: each count is its exact share
 * rounded down or up, and the totals by role and by domain are preserved. Such a controlled rounding
 * always exists, and augmenting paths find it. Domains that already run more of a role are tried first.
 *
 * @example
 * spreadRoles(new Map([[EngineRole.Decode, 4]]), new Map([['oslo-a', 2], ['oslo-b', 2]]), new Map())
 */
export const spreadRoles = (
  roleCounts: RoleCounts,
  agentsByDomain: ReadonlyMap<string, number>,
  current: RoleSpread
): RoleSpread => {
  const domains = [...agentsByDomain.keys()].sort()
  const roles = [...roleCounts.keys()]
  const total = domains.reduce((sum, domain) => sum + agentsByDomain.get(domain)!, 0)
  const productOf = (role: EngineRole, domain: string) => roleCounts.get(role)! * agentsByDomain.get(domain)!
  const floorOf = (role: EngineRole, domain: string) => Math.floor(productOf(role, domain) / total)
  const surplusOf = (role: EngineRole, domain: string) =>
    (current.get(domain)?.get(role) ?? 0) - floorOf(role, domain)

  /** By role, the domains whose share is fractional and may be rounded up. */
  const candidates = new Map(roles.map(role => [role, domains
    .filter(domain => productOf(role, domain) % total !== 0)
    .sort((a, b) => surplusOf(role, b) - surplusOf(role, a))]))
  const roundedUp = new Map(domains.map(domain => [domain, new Set<EngineRole>()]))
  const roundedUpMax = new Map(domains.map(domain =>
    [domain, agentsByDomain.get(domain)! - roles.reduce((sum, role) => sum + floorOf(role, domain), 0)]))

  /** Rounds a role up in one more domain; in a full domain, first moves another role to a different one. */
  const roundUp = (role: EngineRole, visited: Set<string>): boolean => {
    for (const domain of candidates.get(role)!) {
      const roundedUpRoles = roundedUp.get(domain)!
      if (visited.has(domain) || roundedUpRoles.has(role)) continue
      visited.add(domain)
      if (roundedUpRoles.size < roundedUpMax.get(domain)!) {
        roundedUpRoles.add(role)
        return true
      }
      for (const other of [...roundedUpRoles]) {
        if (!roundUp(other, visited)) continue
        roundedUpRoles.delete(other)
        roundedUpRoles.add(role)
        return true
      }
    }
    return false
  }

  for (const role of roles) {
    const missing = roleCounts.get(role)! - domains.reduce((sum, domain) => sum + floorOf(role, domain), 0)
    for (let i = 0; i < missing; i++) roundUp(role, new Set())
  }
  return new Map(domains.map(domain => [domain, new Map(roles.map(role =>
    [role, floorOf(role, domain) + (roundedUp.get(domain)!.has(role) ? 1 : 0)]))]))
}
