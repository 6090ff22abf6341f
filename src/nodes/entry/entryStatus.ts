import type { Incarnation } from '../../core/index.js'
import type { EntrySettings } from '../settings.js'
import type { MembershipHub } from './membershipHub.js'
import type { OwnerTask } from './ownerTask.js'
import type { PlacementTask } from './placementTask.js'
import type { PoolRouters } from './poolRouters.js'
import type { RowTable } from './rowTable.js'

export interface EntryStatusOptions {
  settings: EntrySettings
  incarnation: Incarnation
  table: RowTable
  routers: PoolRouters
  owner: OwnerTask
  placement: PlacementTask
  /** Null until the entry has joined the fleet. */
  hub: () => MembershipHub | null
  isDraining: () => boolean
  liveCount: () => number
}

/** Body of the response to `GET /v1/status`. */
export interface EntryStatus {
  nodeId: string
  incarnation: Incarnation
  isDraining: boolean
  configurationOffset: number
  /** Failure domains whose upstreams get no further requests from this entry. */
  evacuatedDomains: string[]
  liveRequests: number
  linkedAgents: number
  ownedShards: number
  holdsPlacementLease: boolean
  leaseClaimOffset: PlacementTask['claimOffset']
  entries: ReturnType<MembershipHub['entries']>
  agents: ReturnType<MembershipHub['agentStates']>
  /** Last decision of the expert map planner, by group. */
  expertMaps: Record<string, string>
}

/** Status of one entry for operators. */
export interface EntryStatusSource {
  describe (): EntryStatus
  /** Last decision of the expert map planner, by group. */
  expertMaps (): Record<string, string[]>
  recordMapExplanation (group: string, line: string): void
}

/**
 * Creates the status source of one entry.
 *
 * @example
 * createEntryStatus({ settings, incarnation, ... }).describe().ownedShards
 */
export const createEntryStatus = (
  { settings, incarnation, table, routers, owner, placement, hub, isDraining, liveCount }: EntryStatusOptions
): EntryStatusSource => {
  const explanations = new Map<string, string>()
  return {
    describe: () => ({
      nodeId: settings.nodeId,
      incarnation,
      isDraining: isDraining(),
      configurationOffset: table.offset,
      evacuatedDomains: table.evacuatedDomains(),
      liveRequests: liveCount(),
      linkedAgents: routers.agentCount,
      ownedShards: owner.ownedCount,
      holdsPlacementLease: placement.isHolder,
      leaseClaimOffset: placement.claimOffset,
      entries: hub()?.entries() ?? [],
      agents: hub()?.agentStates() ?? [],
      expertMaps: Object.fromEntries(explanations)
    }),
    expertMaps: () => Object.fromEntries([...explanations].map(([group, line]) => [group, [line]])),
    recordMapExplanation: (group, line) => { explanations.set(group, line) }
  }
}
