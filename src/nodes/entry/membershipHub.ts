import { decode as decodeCbor, encode as encodeCbor } from 'cbor-x'
import { type Clock, createLog, type Random } from '../../core/index.js'
import { type FleetKey, NodeRole, type PeerIdentity } from '../../links/index.js'
import { type Metrics, MetricName } from '../../observe/index.js'
import {
  type Broadcast, BroadcastTopic, chooseSubset, createDirectory, DirectoryMessageKind, type GossipCounts,
  GossipEffectKind, GossipMessageKind, type GossipReport, type MemberRecord, MemberStatus, startGossipTask
} from '../../membership/index.js'
import { createHostListClient } from '../../clients/index.js'
import type { AddressAnswer } from './types.js'

const log = createLog('membership')

const HOST_LIST_INTERVAL_MS = 2_000
/** Changes of the member list are handled together, because the subsets cost about 20 ms at full size. */
const MEMBERS_CHANGED_DELAY_MS = 250
const LOOKUP_ID = 'lookup'
/** Until then an agent that is not in the list may only not have been heard of. */
const MEMBERS_SETTLED_MS = 15_000

export interface MembershipHubOptions {
  self: PeerIdentity
  keys: readonly FleetKey[]
  seeds: readonly string[]
  capacityRequests: number
  addressLifetimeMs: number
  hostListUrl: string | undefined
  clock: Clock
  random: Random
  metrics: Metrics
  onMembersChanged: () => void
  onBroadcast: Partial<Record<BroadcastTopic, (id: string, payload: unknown) => void>>
}

/** Who is there, as one entry sees it. */
export interface MembershipHub {
  /** Live entries, this one included. */
  entries (): PeerIdentity[]
  /** Live agents that do not drain, of one pool or of all. */
  agents (pool?: string): PeerIdentity[]
  /** All live agents with their drains, for operators. */
  agentStates (): Array<PeerIdentity & { isDraining: boolean }>
  /** Whether a run of an agent has left the fleet, as far as a settled member list can tell. */
  isAgentGone (incarnation: string): boolean
  /** Agents of a pool that this entry links to. */
  subset (pool: string, subsetSize: number): PeerIdentity[]
  addressesFor (customer: string): AddressAnswer
  /** Node ids of the entries in a customer's address set. */
  customerEntryIds (customer: string): string[]
  noteAgentLinked (peer: PeerIdentity): void
  noteAgentLost (nodeId: string): void
  noteAgentDraining (nodeId: string): void
  setLiveRequests (liveRequests: number): void
  broadcast (topic: BroadcastTopic, id: string, payload: unknown, lifetimeMs: number): void
  startDrain (): void
  readonly counts: Readonly<GossipCounts>
  stop (): Promise<void>
}

const isLive = ({ status }: MemberRecord) => status === MemberStatus.Alive || status === MemberStatus.Suspect

/**
 * Starts gossip, the address directory and the reader of the host list of one entry.
 *
 * @example
 * const hub = await startMembershipHub({ self, keys, seeds, ... })
 * hub.addressesFor('ama-roofing').addresses
 */
export const startMembershipHub = async ({
  self, keys, seeds, capacityRequests, addressLifetimeMs, hostListUrl, clock, random, metrics, onMembersChanged, onBroadcast
}: MembershipHubOptions): Promise<MembershipHub> => {
  const members = new Map<string, MemberRecord>()
  const directory = createDirectory({ clock, lifetimeMs: addressLifetimeMs })
  let changeTimer: NodeJS.Timeout | undefined
  const startedMs = clock.nowMs()
  let hostListTimer: NodeJS.Timeout | undefined

  const scheduleChange = () => {
    changeTimer ??= setTimeout(() => {
      changeTimer = undefined
      onMembersChanged()
    }, MEMBERS_CHANGED_DELAY_MS)
  }

  const deliver = ({ topic, id, payload }: Broadcast) => {
    try {
      onBroadcast[topic]?.(id, decodeCbor(payload as Buffer))
    } catch (error) {
      log('broadcast %s is not readable: %s', id, error instanceof Error ? error.message : error)
    }
  }

  const reportHandlers: { [Kind in GossipReport['kind']]: (report: Extract<GossipReport, { kind: Kind }>) => void } = {
    [GossipEffectKind.MemberUpdated]: ({ record }) => {
      const previous = members.get(record.identity.nodeId)
      members.set(record.identity.nodeId, record)
      directory.handle({ kind: DirectoryMessageKind.MemberUpdated, record })
      const isSame = previous !== undefined && isLive(previous) === isLive(record) && previous.isDraining === record.isDraining &&
        previous.identity.incarnation === record.identity.incarnation
      if (!isSame) scheduleChange()
    },
    [GossipEffectKind.MemberForgotten]: ({ nodeId }) => {
      members.delete(nodeId)
      directory.handle({ kind: DirectoryMessageKind.MemberForgotten, nodeId })
      scheduleChange()
    },
    [GossipEffectKind.BroadcastDelivered]: ({ broadcast }) => deliver(broadcast),
    [GossipEffectKind.BroadcastRefused]: ({ broadcast, reason }) => log('broadcast %s is refused: %s', broadcast.id, reason),
    [GossipEffectKind.AgentRefused]: ({ nodeId }) => log('agent %s has too long an identity', nodeId),
    [GossipEffectKind.Superseded]: ({ incarnation }) => log('a later run %s of this node is in the fleet', incarnation)
  }

  const gossip = await startGossipTask({
    self,
    keys,
    seeds,
    freeCapacityRequests: capacityRequests,
    clock,
    random,
    onReport: report => (reportHandlers[report.kind] as (report: GossipReport) => void)(report)
  })

  const hostListClient = hostListUrl === undefined ? undefined : createHostListClient(hostListUrl)
  const readHostList = async () => {
    try {
      const hosts = await hostListClient!.read()
      directory.handle({ kind: DirectoryMessageKind.HostListRead, hosts })
    } catch (error) {
      log('host list is unavailable: %s', error instanceof Error ? error.message : error)
    }
  }
  if (hostListClient !== undefined) hostListTimer = setInterval(readHostList, HOST_LIST_INTERVAL_MS)

  const liveOf = (role: NodeRole) => [...members.values()].filter(record => record.identity.role === role && isLive(record))

  const entries = () => {
    const others = liveOf(NodeRole.Entry).map(({ identity }) => identity).filter(({ nodeId }) => nodeId !== self.nodeId)
    return [self, ...others]
  }

  const agents = (pool?: string) => liveOf(NodeRole.Agent)
    .filter(({ isDraining, identity }) => !isDraining && (pool === undefined || identity.pool === pool))
    .map(({ identity }) => identity)

  const isAgentGone = (incarnation: string): boolean => {
    if (clock.nowMs() - startedMs < MEMBERS_SETTLED_MS) return false
    return !liveOf(NodeRole.Agent).some(({ identity }) => identity.incarnation === incarnation)
  }

  const callerAddressOf = (nodeId: string) =>
    nodeId === self.nodeId ? self.callerAddress : members.get(nodeId)?.identity.callerAddress

  const lookUp = (customer: string) => {
    const [answer] = directory.handle({ kind: DirectoryMessageKind.LookupRequested, lookupId: LOOKUP_ID, customer })
    return answer?.addresses ?? []
  }

  return {
    entries,
    agents,
    agentStates: () => liveOf(NodeRole.Agent).map(({ identity, isDraining }) => ({ ...identity, isDraining })),
    isAgentGone,
    subset: (pool, subsetSize) => {
      const candidates = agents(pool)
      const chosen = new Set(chooseSubset(self.nodeId, { entries: entries(), agents: candidates, subsetSize }))
      return candidates.filter(({ nodeId }) => chosen.has(nodeId))
    },
    addressesFor: customer =>
      ({ addresses: lookUp(customer).flatMap(({ nodeId }) => callerAddressOf(nodeId) ?? []), lifetimeMs: addressLifetimeMs }),
    customerEntryIds: customer => lookUp(customer).map(({ nodeId }) => nodeId),
    noteAgentLinked: identity => {
      gossip.post({ kind: GossipMessageKind.AgentLinked, identity, isDraining: false, freeCapacityRequests: 0 })
    },
    noteAgentLost: nodeId => { gossip.post({ kind: GossipMessageKind.AgentLost, nodeId }) },
    noteAgentDraining: nodeId => { gossip.post({ kind: GossipMessageKind.AgentDraining, nodeId }) },
    setLiveRequests: liveRequests => {
      metrics.record(MetricName.MembersLive, liveOf(NodeRole.Entry).length, { role: NodeRole.Entry })
      metrics.record(MetricName.MembersLive, liveOf(NodeRole.Agent).length, { role: NodeRole.Agent })
      gossip.post({ kind: GossipMessageKind.FreeCapacityChanged, freeCapacityRequests: capacityRequests - liveRequests })
    },
    broadcast: (topic, id, payload, lifetimeMs) => {
      const broadcast: Broadcast = { topic, id, payload: encodeCbor(payload), expiresMs: clock.nowMs() + lifetimeMs }
      gossip.post({ kind: GossipMessageKind.BroadcastRequested, broadcast })
    },
    startDrain: () => { gossip.post({ kind: GossipMessageKind.DrainStarted }) },
    counts: gossip.counts,
    stop: async () => {
      clearTimeout(changeTimer)
      clearInterval(hostListTimer)
      gossip.post({ kind: GossipMessageKind.LeaveRequested })
      await new Promise(resolve => setImmediate(resolve))
      await gossip.stop()
      await hostListClient?.close()
    }
  }
}
