import type { Socket } from 'node:dgram'
import { decode as decodeCbor, encode as encodeCbor } from 'cbor-x'
import { type Clock, createLog, type Random } from '../../core/index.js'
import { type FleetKey, NodeRole, type PeerIdentity } from '../../links/index.js'
import { type Metrics, MetricName } from '../../observe/index.js'
import {
  type Broadcast, BroadcastTopic, chooseSubset, createDirectory, DirectoryMessageKind, type GossipCounts,
  GossipEffectKind, GossipMessageKind, type GossipReport, type MemberRecord, MemberStatus, startGossipTask
} from '../../membership/index.js'
import { createHostListClient } from '../../clients/index.js'
import type { AddressResponse } from './types.js'

const log = createLog('membership')

const HOST_LIST_INTERVAL_MS = 2_000
/** Batches changes of the member list, because computing the subsets takes about 20 ms at full fleet size. */
const MEMBERS_CHANGED_DELAY_MS = 250
const LOOKUP_ID = 'lookup'
/** Time after start in which gossip may not have delivered all members, so a missing agent proves nothing. */
const MEMBERS_SETTLED_MS = 15_000

export interface MembershipHubOptions {
  self: PeerIdentity
  /** Bound to the link address, for gossip. */
  socket: Socket
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

/** Membership of the fleet as one entry sees it. */
export interface MembershipHub {
  /** Live entries, this one included. */
  entries (): PeerIdentity[]
  /** Live agents that are not draining, of one pool or of all pools. */
  agents (pool?: string): PeerIdentity[]
  /** All live agents with their drain state, for operators. */
  agentStates (): Array<PeerIdentity & { isDraining: boolean }>
  /** Whether an incarnation of an agent has left the fleet; false until the member list has settled. */
  hasAgentLeft (incarnation: string): boolean
  /** Agents of a pool that this entry opens links to. */
  subset (pool: string, subsetSize: number): PeerIdentity[]
  addressesFor (customer: string): AddressResponse
  /** Node ids of the entries in a customer's address set. */
  customerEntryIds (customer: string): string[]
  onAgentLinked (peer: PeerIdentity): void
  onAgentLost (nodeId: string): void
  onAgentDraining (nodeId: string): void
  setLiveRequests (liveRequests: number): void
  broadcast (topic: BroadcastTopic, id: string, payload: unknown, lifetimeMs: number): void
  startDrain (): void
  readonly counts: Readonly<GossipCounts>
  stop (): Promise<void>
}

const isLive = ({ status }: MemberRecord) => status === MemberStatus.Alive || status === MemberStatus.Suspect

/**
 * Starts gossip, the address directory and the host list reader of one entry.
 *
 * @example
 * const hub = await startMembershipHub({ self, socket, keys, seeds, ... })
 * hub.addressesFor('ama-roofing').addresses
 */
export const startMembershipHub = async ({
  self, socket, keys, seeds, capacityRequests, addressLifetimeMs, hostListUrl, clock, random, metrics, onMembersChanged, onBroadcast
}: MembershipHubOptions): Promise<MembershipHub> => {
  const members = new Map<string, MemberRecord>()
  const directory = createDirectory({ clock, lifetimeMs: addressLifetimeMs })
  let changeTimer: NodeJS.Timeout | undefined
  const startedMs = clock.nowMs()
  let hostListTimer: NodeJS.Timeout | undefined

  const scheduleMembersChanged = () => {
    changeTimer ??= setTimeout(() => {
      changeTimer = undefined
      onMembersChanged()
    }, MEMBERS_CHANGED_DELAY_MS)
  }

  const deliverBroadcast = ({ topic, id, payload }: Broadcast) => {
    try {
      onBroadcast[topic]?.(id, decodeCbor(payload as Buffer))
    } catch (error) {
      log('failed to decode broadcast %s: %s', id, error instanceof Error ? error.message : error)
    }
  }

  const reportHandlers: { [Kind in GossipReport['kind']]: (report: Extract<GossipReport, { kind: Kind }>) => void } = {
    [GossipEffectKind.MemberUpdated]: ({ record }) => {
      const previous = members.get(record.identity.nodeId)
      members.set(record.identity.nodeId, record)
      directory.handle({ kind: DirectoryMessageKind.MemberUpdated, record })
      const isSame = previous !== undefined && isLive(previous) === isLive(record) && previous.isDraining === record.isDraining &&
        previous.identity.incarnation === record.identity.incarnation
      if (!isSame) scheduleMembersChanged()
    },
    [GossipEffectKind.MemberForgotten]: ({ nodeId }) => {
      members.delete(nodeId)
      directory.handle({ kind: DirectoryMessageKind.MemberForgotten, nodeId })
      scheduleMembersChanged()
    },
    [GossipEffectKind.BroadcastDelivered]: ({ broadcast }) => deliverBroadcast(broadcast),
    [GossipEffectKind.BroadcastRefused]: ({ broadcast, reason }) => log('broadcast %s was refused: %s', broadcast.id, reason),
    [GossipEffectKind.AgentRefused]: ({ nodeId }) => log('agent %s was refused: its identity is too long', nodeId),
    [GossipEffectKind.Superseded]: ({ incarnation }) => log('superseded by a later incarnation %s of this node', incarnation)
  }

  const gossip = startGossipTask({
    self,
    socket,
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

  const liveMembersOf = (role: NodeRole) => [...members.values()].filter(record => record.identity.role === role && isLive(record))

  const entries = () => {
    const others = liveMembersOf(NodeRole.Entry).map(({ identity }) => identity).filter(({ nodeId }) => nodeId !== self.nodeId)
    return [self, ...others]
  }

  const agents = (pool?: string) => liveMembersOf(NodeRole.Agent)
    .filter(({ isDraining, identity }) => !isDraining && (pool === undefined || identity.pool === pool))
    .map(({ identity }) => identity)

  const hasAgentLeft = (incarnation: string): boolean => {
    if (clock.nowMs() - startedMs < MEMBERS_SETTLED_MS) return false
    return !liveMembersOf(NodeRole.Agent).some(({ identity }) => identity.incarnation === incarnation)
  }

  const callerAddressOf = (nodeId: string) =>
    nodeId === self.nodeId ? self.callerAddress : members.get(nodeId)?.identity.callerAddress

  const lookUpAddresses = (customer: string) => {
    const [lookup] = directory.handle({ kind: DirectoryMessageKind.LookupRequested, lookupId: LOOKUP_ID, customer })
    return lookup?.addresses ?? []
  }

  return {
    entries,
    agents,
    agentStates: () => liveMembersOf(NodeRole.Agent).map(({ identity, isDraining }) => ({ ...identity, isDraining })),
    hasAgentLeft,
    subset: (pool, subsetSize) => {
      const candidates = agents(pool)
      const chosen = new Set(chooseSubset(self.nodeId, { entries: entries(), agents: candidates, subsetSize }))
      return candidates.filter(({ nodeId }) => chosen.has(nodeId))
    },
    addressesFor: customer =>
      ({ addresses: lookUpAddresses(customer).flatMap(({ nodeId }) => callerAddressOf(nodeId) ?? []), lifetimeMs: addressLifetimeMs }),
    customerEntryIds: customer => lookUpAddresses(customer).map(({ nodeId }) => nodeId),
    onAgentLinked: identity => {
      gossip.post({ kind: GossipMessageKind.AgentLinked, identity, isDraining: false, freeCapacityRequests: 0 })
    },
    onAgentLost: nodeId => { gossip.post({ kind: GossipMessageKind.AgentLost, nodeId }) },
    onAgentDraining: nodeId => { gossip.post({ kind: GossipMessageKind.AgentDraining, nodeId }) },
    setLiveRequests: liveRequests => {
      metrics.record(MetricName.MembersLive, liveMembersOf(NodeRole.Entry).length, { role: NodeRole.Entry })
      metrics.record(MetricName.MembersLive, liveMembersOf(NodeRole.Agent).length, { role: NodeRole.Agent })
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
