import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { samplePool } from '../../bench/control/sampleRows.js'
import { EngineRole, UpstreamKind } from '../configuration/index.js'
import { type LiveAgent, planPlacement } from './planPlacement.js'
import { countRoles } from './roleCounts.js'
import type { Placement } from './types.js'

const enginePool = (changes = {}) => samplePool('quotes', {
  upstreamKind: UpstreamKind.Engine, model: 'quote-7b', roles: { prefill: 1, decode: 2 }, adapters: ['roof'], ...changes
})
const agentsIn = (countByDomain: Record<string, number>): LiveAgent[] =>
  Object.entries(countByDomain).flatMap(([failureDomain, count]) =>
    Array.from({ length: count }, (_, i) => ({ agentId: `${failureDomain}-${i}`, failureDomain })))
const asRunning = (agents: LiveAgent[], placements: Placement[]): LiveAgent[] =>
  agents.map(agent => ({ ...agent, running: placements.find(({ agentId }) => agentId === agent.agentId) ?? { adapters: [] } }))
const changedCount = (before: Placement[], after: Placement[]) =>
  after.filter(placement => before.some(({ agentId }) => agentId === placement.agentId) &&
    !before.some(other => JSON.stringify(other) === JSON.stringify(placement))).length

const domains = fc.dictionary(fc.constantFrom('oslo-a', 'oslo-b', 'oslo-c', 'tema-a', 'tema-b'), fc.integer({ min: 1, max: 9 }), { minKeys: 1 })
const roles = fc.record({ prefill: fc.integer({ min: 0, max: 9 }), decode: fc.integer({ min: 1, max: 9 }), mixed: fc.integer({ min: 0, max: 9 }) })

describe('planPlacement', () => {
  it('spreads each role over the failure domains to within one agent of its exact share', () => {
    fc.assert(fc.property(domains, roles, (countByDomain, poolRoles) => {
      const agents = agentsIn(countByDomain)
      const plan = planPlacement({ pool: enginePool({ roles: poolRoles }), agents, current: [] })
      expect(plan.length).toBe(agents.length)
      for (const [role, count] of countRoles(poolRoles, agents.length)) {
        const placed = plan.filter(placement => placement.role === role)
        expect(placed.length).toBe(count)
        for (const [domain, size] of Object.entries(countByDomain)) {
          const inDomain = placed.filter(({ agentId }) => agentId.startsWith(`${domain}-`)).length
          expect(Math.abs(inDomain - count * size / agents.length)).toBeLessThan(1)
        }
      }
    }), { seed: 6, numRuns: 300 })
  })

  it('changes nothing once the agents run the plan', () => {
    fc.assert(fc.property(domains, roles, (countByDomain, poolRoles) => {
      const pool = enginePool({ roles: poolRoles })
      const agents = agentsIn(countByDomain)
      const plan = planPlacement({ pool, agents, current: [] })
      expect(planPlacement({ pool, agents: asRunning(agents, plan), current: plan })).toEqual(plan)
    }), { seed: 6, numRuns: 200 })
  })

  it('rolls out a new version with at most the allowed number of agents changing at once', () => {
    const agents = agentsIn({ 'oslo-a': 4, 'oslo-b': 4 })
    let current = planPlacement({ pool: enginePool(), agents, current: [] })
    const pool = enginePool({ version: '2', movesAtOnceMax: 3 })
    let rounds = 0
    while (current.some(({ version }) => version !== '2')) {
      const next = planPlacement({ pool, agents: asRunning(agents, current), current })
      expect(changedCount(current, next)).toBeLessThanOrEqual(3)
      // The engines don't run the new plan yet, so nothing else may change.
      expect(changedCount(next, planPlacement({ pool, agents: asRunning(agents, current), current: next }))).toBe(0)
      current = next
      expect(++rounds).toBeLessThanOrEqual(3)
    }
  })

  it.each<[string, Record<string, number>, object, Record<string, number>]>([
    ['gives each role an agent if there are enough agents', { a: 3 }, { prefill: 1, decode: 99 }, { prefill: 1, decode: 2 }],
    ['divides agents in proportion', { a: 6 }, { prefill: 1, decode: 2 }, { prefill: 2, decode: 4 }],
    ['uses the mixed role if the pool row lists no roles', { a: 2 }, {}, { mixed: 2 }],
    ['uses the role with the highest weight if there are too few agents', { a: 1 }, { prefill: 1, decode: 2 }, { decode: 1 }],
    ['places nothing if every role has a count of zero', { a: 2 }, { decode: 0 }, {}]
  ])('%s', (_case, countByDomain, poolRoles, expected) => {
    const plan = planPlacement({ pool: enginePool({ roles: poolRoles }), agents: agentsIn(countByDomain), current: [] })
    const counts: Record<string, number> = {}
    for (const { role } of plan) counts[role] = (counts[role] ?? 0) + 1
    expect(counts).toEqual(expected)
  })

  it('replaces a lost agent without moving the others', () => {
    const agents = agentsIn({ 'oslo-a': 3, 'oslo-b': 3 })
    const current = planPlacement({ pool: enginePool(), agents, current: [] })
    const removed = current.find(({ role }) => role === EngineRole.Prefill)!
    const remaining = asRunning(agents, current).filter(({ agentId }) => agentId !== removed.agentId)
    const fresh: LiveAgent = { agentId: 'new', failureDomain: removed.agentId.slice(0, 6), running: { adapters: [] } }
    const next = planPlacement({ pool: enginePool(), agents: [...remaining, fresh], current })
    expect(changedCount(current, next)).toBe(0)
    expect(next.find(({ agentId }) => agentId === 'new')).toMatchObject({ role: EngineRole.Prefill, model: 'quote-7b' })
  })

  it('plans no placements for pools without engines', () => {
    expect(planPlacement({ pool: samplePool('yard'), agents: agentsIn({ a: 2 }), current: [] })).toEqual([])
  })
})
