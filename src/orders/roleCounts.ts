import { EngineRole, type PoolRow } from '../configuration/index.js'

/** Number of agents by role. */
export type RoleCounts = Map<EngineRole, number>

/**
 * Divides the live agents among the roles of a pool in the proportion of the pool row, by the largest
 * remainder method. Each role gets at least one agent if there are enough agents.
 *
 * @example
 * countRoles({ prefill: 1, decode: 2 }, 6) // prefill 2, decode 4
 */
export const countRoles = (roles: PoolRow['roles'], agentCount: number): RoleCounts => {
  const listed = Object.entries(roles) as Array<[EngineRole, number]>
  const weights = listed.length === 0 ? [[EngineRole.Mixed, 1] as const] : listed.filter(([, count]) => count > 0)
  const weightSum = weights.reduce((sum, [, weight]) => sum + weight, 0)
  const counts: RoleCounts = new Map(weights.map(([role, weight]) => [role, Math.floor(agentCount * weight / weightSum)]))
  const byRemainder = weights
    .map(([role, weight]) => ({ role, remainder: (agentCount * weight) % weightSum, weight }))
    .sort((a, b) => b.remainder - a.remainder || b.weight - a.weight || (a.role < b.role ? -1 : 1))
  let remaining = agentCount - [...counts.values()].reduce((sum, count) => sum + count, 0)
  for (const { role } of byRemainder) {
    if (remaining === 0) break
    counts.set(role, counts.get(role)! + 1)
    remaining -= 1
  }
  return agentCount < weights.length ? counts : withoutEmptyRoles(counts)
}

const withoutEmptyRoles = (counts: RoleCounts): RoleCounts => {
  for (const [role, count] of counts) {
    if (count > 0) continue
    const [largest] = [...counts].sort((a, b) => b[1] - a[1])[0]!
    counts.set(largest, counts.get(largest)! - 1)
    counts.set(role, 1)
  }
  return counts
}
