import { BaobabdriftError, type Clock, type Core, dispatch, type HandlerTable, type Random, ResultCode } from '../core/index.js'
import { NodeRole, type PeerIdentity } from '../links/index.js'
import { createBroadcastStore, broadcastKey } from './broadcastStore.js'
import {
  BROADCAST_PAYLOAD_BYTES_MAX, DatagramKind, LOAD_ANNOUNCE_INTERVAL_MS, LOAD_CHANGE_MIN, MemberStatus, PAUSE_GAP_MS,
  PROBE_HELPERS, RECORD_BYTES_MAX, RumorKind
} from './constants.js'
import { buildMemberRumor, createGossipContext, sendMembers } from './gossipContext.js'
import { createGossipMembers, type MergeSummary, rumorsAboutSender } from './gossipMembers.js'
import { createGossipProbes } from './gossipProbes.js'
import { createGossipSync } from './gossipSync.js'
import { createMemberTable } from './memberTable.js'
import { createRumorQueue } from './rumorQueue.js'
import { measureRumor } from './rumorSize.js'
import {
  type Broadcast, type Datagram, type GossipEffect, GossipEffectKind, type GossipMessage, GossipMessageKind,
  type MemberRecord
} from './types.js'

export interface GossipOptions {
  self: PeerIdentity
  freeCapacityRequests: number
  /** Gossip addresses from the settings, contacted while no member is known and to rejoin after partitions. */
  seeds: readonly string[]
  clock: Clock
  random: Random
}

const recordFits = (record: MemberRecord) => measureRumor({ kind: RumorKind.Record, record }) <= RECORD_BYTES_MAX

/**
 * Runs the membership protocol of one entry: which members are alive, and which updates to send to whom.
 *
 * Each second an entry probes one other entry. It retries an unanswered probe directly and indirectly
 * through other entries, then marks the target as suspect; a suspect that doesn't refute in time is
 * dead. Updates are piggybacked on probes and sent in separate datagrams within a fixed budget, so
 * the bytes per entry don't grow with the fleet.
 *
 * @example
 * const gossip = createGossip({ self, freeCapacityRequests: 40, seeds: ['127.0.0.1:7200'], clock, random })
 * gossip.handle({ kind: GossipMessageKind.Tick }) // [{ kind: GossipEffectKind.SendDatagram, ... }]
 * @throws BaobabdriftError if the own identity is too long for a datagram
 */
export const createGossip = (
  { self, freeCapacityRequests, seeds, clock, random }: GossipOptions
): Core<GossipMessage, GossipEffect> => {
  const startedMs = clock.nowMs()
  const table = createMemberTable()
  const broadcasts = createBroadcastStore(clock)
  const queue = createRumorQueue({ measureRumor, countEntries: () => context.peers().length + 1 })
  const context = createGossipContext({
    selfId: self.nodeId,
    startedMs,
    seeds: seeds.filter(address => address !== self.address),
    clock,
    random,
    table,
    queue,
    broadcasts,
    linkedAgents: new Map(),
    isStopped: false,
    isSyncRequested: false
  })
  const members = createGossipMembers(context)
  const sync = createGossipSync(context)
  const probes = createGossipProbes(context, members, sync)
  let lastTickMs = startedMs
  let lastLoadMs = startedMs
  let freeRequests = Math.max(0, Math.round(freeCapacityRequests))

  const selfRecord: MemberRecord = {
    identity: self,
    version: Math.floor(startedMs / 1_000),
    status: MemberStatus.Alive,
    isDraining: false,
    freeCapacityRequests: freeRequests,
    loadVersion: 0
  }
  if (!recordFits(selfRecord)) throw new BaobabdriftError(ResultCode.SettingsInvalid, 'identity is too long for a datagram')
  members.apply(selfRecord)

  const announceLoad = () => {
    const known = context.self()
    const change = Math.abs(freeRequests - known.freeCapacityRequests) / Math.max(1, known.freeCapacityRequests)
    const nowMs = clock.nowMs()
    if (change < LOAD_CHANGE_MIN || nowMs - lastLoadMs < LOAD_ANNOUNCE_INTERVAL_MS) return
    lastLoadMs = nowMs
    members.apply({ ...known, freeCapacityRequests: freeRequests, loadVersion: known.loadVersion + 1 })
  }

  const onTick = () => {
    const nowMs = clock.nowMs()
    const gapMs = nowMs - lastTickMs
    lastTickMs = nowMs
    context.refill(gapMs)
    if (gapMs > PAUSE_GAP_MS) {
      members.extendSuspicions(gapMs)
      probes.reset()
      sync.requestSoon()
    }
    broadcasts.expire()
    members.expire()
    announceLoad()
    probes.tick()
    sync.tick()
  }

  const reportStatusToSender = (fromId: string, sourceAddress: string) => {
    const statusRumors = rumorsAboutSender(context, fromId)
    if (statusRumors.length === 0) return
    // Includes the own record, so that two sides that consider each other dead agree after one round trip.
    const own = buildMemberRumor(table, RumorKind.Record, self.nodeId)
    context.send(sourceAddress, { kind: DatagramKind.Gossip }, own === undefined ? statusRumors : [...statusRumors, own])
  }

  const datagramHandlers = (sourceAddress: string, merged: MergeSummary): HandlerTable<Datagram, void> => ({
    [DatagramKind.Ping]: ping => probes.onPing(ping, sourceAddress),
    [DatagramKind.Ack]: ack => {
      probes.onAck(ack)
      reportStatusToSender(ack.fromId, sourceAddress)
    },
    [DatagramKind.PingRequest]: request => probes.onPingRequest(request, sourceAddress),
    [DatagramKind.Gossip]: ({ fromId }) => reportStatusToSender(fromId, sourceAddress),
    [DatagramKind.SyncRequest]: request => sync.onSyncRequest(request, sourceAddress),
    [DatagramKind.SyncPage]: page => {
      reportStatusToSender(page.fromId, sourceAddress)
      sync.onSyncPage(page, merged, sourceAddress)
    }
  })

  const onDatagram = (datagram: Datagram, sourceAddress: string) => {
    const merged = members.mergeRumors(datagram.fromId, datagram.rumors)
    if (!context.isStopped) sendMembers(context, RumorKind.Status, merged.refutedIds, sourceAddress)
    if (!context.isStopped) dispatch(datagramHandlers(sourceAddress, merged), datagram)
  }

  const onAgentLinked = (identity: PeerIdentity, isDraining: boolean, freeCapacity: number) => {
    const { nodeId, incarnation } = identity
    const known = table.get(nodeId)?.record
    const isKnownRun = known?.identity.incarnation === incarnation
    const record: MemberRecord = {
      identity,
      version: Math.max(Math.floor(clock.nowMs() / 1_000), (known?.version ?? 0) + 1),
      status: MemberStatus.Alive,
      isDraining,
      freeCapacityRequests: Math.max(0, Math.round(freeCapacity)),
      loadVersion: 0,
      announcerId: self.nodeId
    }
    if (identity.role !== NodeRole.Agent || !recordFits(record)) {
      context.emit({ kind: GossipEffectKind.AgentRefused, nodeId, code: ResultCode.BadRequest })
      return
    }
    context.linkedAgents.set(nodeId, identity)
    // Another entry has already announced this run of the agent; a second announcement adds nothing.
    if (known !== undefined && isKnownRun && known.status === MemberStatus.Alive && (known.isDraining || !isDraining)) return
    members.apply(record)
  }

  const onAgentLost = (nodeId: string) => {
    const identity = context.linkedAgents.get(nodeId)
    context.linkedAgents.delete(nodeId)
    const known = table.get(nodeId)?.record
    if (known?.status !== MemberStatus.Alive || known.identity.incarnation !== identity?.incarnation) return
    members.apply({ ...known, status: MemberStatus.Suspect })
  }

  const onBroadcast = (broadcast: Broadcast) => {
    const refuse = (code: ResultCode, reason: string) =>
      context.emit({ kind: GossipEffectKind.BroadcastRefused, broadcast, code, reason })
    const { payload, id } = broadcast
    if (payload.length > BROADCAST_PAYLOAD_BYTES_MAX) return refuse(ResultCode.RequestTooLarge, 'payload is too large')
    if (id.length === 0 || id.length > 128) return refuse(ResultCode.BadRequest, 'id must have 1 to 128 characters')
    if (broadcasts.isFull) return refuse(ResultCode.Overloaded, 'too many active broadcasts')
    if (!broadcasts.add(broadcast)) return
    const key = broadcastKey(broadcast)
    queue.add(RumorKind.Broadcast, key, () => broadcasts.toRumor(key))
  }

  const onLeave = () => {
    context.linkedAgents.clear()
    const record: MemberRecord = { ...context.self(), status: MemberStatus.Left }
    members.apply(record)
    const peers = random.shuffle(context.peers()).slice(0, PROBE_HELPERS)
    const rumor = buildMemberRumor(table, RumorKind.Status, self.nodeId)
    for (const peer of peers) {
      context.send(peer.record.identity.address, { kind: DatagramKind.Gossip }, rumor === undefined ? [] : [rumor])
    }
    context.isStopped = true
  }

  const handlers: HandlerTable<GossipMessage, void> = {
    [GossipMessageKind.Tick]: onTick,
    [GossipMessageKind.DatagramReceived]: ({ datagram, sourceAddress }) => onDatagram(datagram, sourceAddress),
    [GossipMessageKind.FreeCapacityChanged]: message => { freeRequests = Math.max(0, Math.round(message.freeCapacityRequests)) },
    [GossipMessageKind.DrainStarted]: () => members.announceAlive(self.nodeId, { isDraining: true }),
    [GossipMessageKind.LeaveRequested]: onLeave,
    [GossipMessageKind.AgentLinked]: message => onAgentLinked(message.identity, message.isDraining, message.freeCapacityRequests),
    [GossipMessageKind.AgentLost]: ({ nodeId }) => onAgentLost(nodeId),
    [GossipMessageKind.AgentDraining]: ({ nodeId }) => {
      const record = table.get(nodeId)?.record
      if (record !== undefined && !record.isDraining) members.apply({ ...record, isDraining: true })
    },
    [GossipMessageKind.BroadcastRequested]: ({ broadcast }) => onBroadcast(broadcast)
  }

  return {
    handle: message => {
      if (!context.isStopped) dispatch(handlers, message)
      return context.takeEffects()
    }
  }
}
