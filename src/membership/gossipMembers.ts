import { dispatch, type HandlerTable } from '../core/index.js'
import { NodeRole, type PeerIdentity } from '../links/index.js'
import {
  AGENT_SUSPICION_MS, DatagramKind, DEAD_FORGET_MS, MEMBERS_MAX, MemberStatus, RESTART_GRACE_MS, RumorKind,
  REFUTATION_REQUEST_PEERS, SUSPICION_MS
} from './constants.js'
import { broadcastKey } from './broadcastStore.js'
import { buildMemberRumor, type GossipContext, isTrusted, queueMember } from './gossipContext.js'
import { isDeadOrLeft, MergeResult } from './memberTable.js'
import { GossipEffectKind, type MemberRecord, type Rumor } from './types.js'

/** Result of merging the rumors of one datagram. */
export interface MergeSummary {
  changedCount: number
  /** Members whose full records are older than the known ones; the sender of the datagram is outdated. */
  olderIds: string[]
  /** Members that the sender considers suspect or dead although they have refuted that. */
  refutedIds: string[]
}

/** Merges updates into the member table, refutes false suspicions and expires suspicions. */
export interface GossipMembers {
  /** Merges a record; a change is queued for other entries and emitted as an effect. */
  apply (incoming: MemberRecord): MergeResult
  mergeRumors (fromId: string, rumors: readonly Rumor[]): MergeSummary
  /** Announces a member as alive with a higher version: this entry itself or a linked agent. */
  announceAlive (nodeId: string, change?: Partial<MemberRecord>): void
  expire (): void
  /** Extends the timers of all suspicions by the length of a process pause. */
  extendSuspicions (pauseMs: number): void
}

const subjectOf = (rumor: Rumor): string => {
  if (rumor.kind === RumorKind.Broadcast) return broadcastKey(rumor)
  return rumor.kind === RumorKind.Record ? rumor.record.identity.nodeId : rumor.nodeId
}

const SUSPICION_MS_BY_ROLE: Record<NodeRole, number> = {
  [NodeRole.Entry]: SUSPICION_MS,
  [NodeRole.Agent]: AGENT_SUSPICION_MS
}

/** Creates the handlers that update the member table of one gossip core. */
export const createGossipMembers = (context: GossipContext): GossipMembers => {
  const { table, clock, selfId, linkedAgents, broadcasts } = context
  /** Members whose status has a timer: suspect, dead and left ones. */
  const timedIds = new Set<string>()

  const isLinkedTo = ({ nodeId, incarnation }: PeerIdentity) => linkedAgents.get(nodeId)?.incarnation === incarnation

  /** An agent whose announcer is dead or has left becomes suspect unless another linked entry announces it. */
  const reassessOrphanedAgent = (record: MemberRecord) => {
    if (isLinkedTo(record.identity)) announceAlive(record.identity.nodeId)
    // Each node does the same when it learns that the announcer is dead, so no rumor is queued.
    else merge({ ...record, status: MemberStatus.Suspect })
  }

  const reassessOrphanedAgents = (announcerId: string) => {
    for (const { record } of [...table.values()]) {
      if (record.announcerId === announcerId && record.status === MemberStatus.Alive) reassessOrphanedAgent(record)
    }
  }

  const merge = (incoming: MemberRecord): { result: MergeResult, before?: MemberRecord, after?: MemberRecord } => {
    const { nodeId } = incoming.identity
    const before = table.get(nodeId)?.record
    if (before === undefined && table.size >= MEMBERS_MAX) return { result: MergeResult.Same }
    const result = table.merge(incoming, clock.nowMs())
    const after = table.get(nodeId)?.record
    if (after === undefined || result === MergeResult.Same || result === MergeResult.Older) return { result, before, after }
    if (before === undefined || isDeadOrLeft(before.status) !== isDeadOrLeft(after.status)) context.invalidatePeers()
    if (after.status === MemberStatus.Alive) timedIds.delete(nodeId)
    else timedIds.add(nodeId)
    context.emit({ kind: GossipEffectKind.MemberUpdated, record: after })
    return { result, before, after }
  }

  const apply = (incoming: MemberRecord): MergeResult => {
    const { nodeId } = incoming.identity
    const { result, before, after } = merge(incoming)
    if (after === undefined || result === MergeResult.Same || result === MergeResult.Older) return result
    const isSameState = before !== undefined && before.version === after.version && before.status === after.status &&
      before.isDraining === after.isDraining
    if (result === MergeResult.NewIdentity) queueMember(context, RumorKind.Record, nodeId)
    else if (!isSameState) queueMember(context, RumorKind.Status, nodeId)
    // A different announcer of the same version is not worth sending.
    else if (before.loadVersion !== after.loadVersion) queueMember(context, RumorKind.Load, nodeId)
    const isNewlyDeadOrLeft = isDeadOrLeft(after.status) && (before === undefined || !isDeadOrLeft(before.status))
    if (isNewlyDeadOrLeft && after.identity.role === NodeRole.Entry) reassessOrphanedAgents(nodeId)
    return result
  }

  const announceAlive = (nodeId: string, change: Partial<MemberRecord> = {}) => {
    const known = table.get(nodeId)?.record
    if (known === undefined) return
    const announcer = nodeId === selfId ? {} : { announcerId: selfId }
    apply({ ...known, status: MemberStatus.Alive, version: known.version + 1, ...announcer, ...change })
  }

  const applyAboutSelf = (incoming: MemberRecord) => {
    const self = context.self()
    if (incoming.version < self.version) return
    if (incoming.identity.incarnation === self.identity.incarnation) {
      if (incoming.status === MemberStatus.Alive && incoming.version === self.version) return
      announceAlive(selfId, { version: incoming.version + 1 })
      return
    }
    // The clocks of hosts differ, so shortly after the start a record with a higher version is attributed
    // to an earlier run.
    const isEarlierRun = isDeadOrLeft(incoming.status) || clock.nowMs() - context.startedMs < RESTART_GRACE_MS
    if (isEarlierRun) {
      announceAlive(selfId, { version: incoming.version + 1 })
      return
    }
    context.isStopped = true
    context.emit({ kind: GossipEffectKind.Superseded, incarnation: incoming.identity.incarnation })
  }

  const applyRemote = (fromId: string, incoming: MemberRecord): MergeResult => {
    const { nodeId } = incoming.identity
    if (nodeId === selfId) {
      applyAboutSelf(incoming)
      return MergeResult.Same
    }
    if (incoming.status !== MemberStatus.Alive && nodeId !== fromId && !isTrusted(context, fromId)) return MergeResult.Same
    const result = apply(incoming)
    const known = table.get(nodeId)?.record
    if (known?.identity.role === NodeRole.Agent) checkAgent(known)
    return result
  }

  /** Refutes a false status of a linked agent, and suspects an agent that no live entry announces. */
  const checkAgent = (known: MemberRecord) => {
    const isAlive = known.status === MemberStatus.Alive
    const isLinked = isLinkedTo(known.identity)
    if (isLinked && !isAlive) announceAlive(known.identity.nodeId)
    if (!isAlive || known.announcerId === undefined) return
    // An earlier run of this entry, or this entry before a process pause, announced the agent.
    if (!isLinked && known.announcerId === selfId) apply({ ...known, status: MemberStatus.Suspect })
    // The update that the announcer is dead arrived before the update about the agent.
    const announcer = table.get(known.announcerId)?.record
    if (announcer !== undefined && isDeadOrLeft(announcer.status)) reassessOrphanedAgent(known)
  }

  /** Expands a status or load rumor to a full record; undefined if the identity is not known. */
  const completeRecord = (nodeId: string, incarnationHash: number, change: Partial<MemberRecord>): MemberRecord | undefined => {
    const row = table.get(nodeId)
    if (row !== undefined && row.incarnationHash === incarnationHash) return { ...row.record, ...change }
    context.isSyncRequested = true
    return undefined
  }

  const rumorHandlers = (fromId: string): HandlerTable<Rumor, MergeResult> => ({
    [RumorKind.Record]: ({ record }) => applyRemote(fromId, record),
    [RumorKind.Status]: ({ nodeId, incarnationHash, version, status, isDraining, announcerId }) => {
      const record = completeRecord(nodeId, incarnationHash, { version, status, isDraining, announcerId })
      return record === undefined ? MergeResult.Same : applyRemote(fromId, record)
    },
    [RumorKind.Load]: ({ nodeId, incarnationHash, loadVersion, freeCapacityRequests }) => {
      const record = completeRecord(nodeId, incarnationHash, { loadVersion, freeCapacityRequests })
      return record === undefined || nodeId === selfId ? MergeResult.Same : apply(record)
    },
    [RumorKind.Broadcast]: ({ topic, id, payload, remainingMs }) => {
      const broadcast = { topic, id, payload, expiresMs: clock.nowMs() + remainingMs }
      if (!broadcasts.add(broadcast)) return MergeResult.Same
      const key = broadcastKey(broadcast)
      context.queue.add(RumorKind.Broadcast, key, () => broadcasts.toRumor(key))
      context.emit({ kind: GossipEffectKind.BroadcastDelivered, broadcast })
      return MergeResult.Changed
    }
  })

  const mergeRumors = (fromId: string, rumors: readonly Rumor[]): MergeSummary => {
    const handlers = rumorHandlers(fromId)
    const olderIds: string[] = []
    const refutedIds: string[] = []
    let changedCount = 0
    for (const rumor of rumors) {
      if (context.isStopped) break
      const result = dispatch(handlers, rumor)
      if (result === MergeResult.Changed || result === MergeResult.NewIdentity) changedCount += 1
      if (result === MergeResult.Same) context.queue.countReceived(rumor.kind, subjectOf(rumor))
      const isOlder = result === MergeResult.Older
      if (isOlder && rumor.kind === RumorKind.Status && rumor.status !== MemberStatus.Alive) refutedIds.push(rumor.nodeId)
      if (isOlder && rumor.kind === RumorKind.Record) olderIds.push(rumor.record.identity.nodeId)
    }
    return { changedCount, olderIds, refutedIds }
  }

  /** Peers that received a refutation reply with it, in case its rumor did not reach this entry. */
  const requestRefutation = (nodeId: string) => {
    const rumor = buildMemberRumor(table, RumorKind.Status, nodeId)
    if (rumor === undefined) return
    for (const { record } of context.pickPeers(REFUTATION_REQUEST_PEERS, nodeId)) {
      context.send(record.identity.address, { kind: DatagramKind.Gossip }, [rumor])
    }
  }

  const expire = () => {
    const nowMs = clock.nowMs()
    for (const nodeId of [...timedIds]) {
      const row = table.get(nodeId)
      if (row === undefined) {
        timedIds.delete(nodeId)
        continue
      }
      const { record, statusSinceMs } = row
      const elapsedMs = nowMs - statusSinceMs
      const suspicionMs = SUSPICION_MS_BY_ROLE[record.identity.role]
      if (record.status === MemberStatus.Suspect && elapsedMs >= suspicionMs) {
        apply({ ...record, status: MemberStatus.Dead })
      } else if (record.status === MemberStatus.Suspect && !row.isRefutationRequested && elapsedMs >= suspicionMs / 2) {
        row.isRefutationRequested = true
        requestRefutation(nodeId)
      } else if (isDeadOrLeft(record.status) && elapsedMs >= DEAD_FORGET_MS) {
        timedIds.delete(nodeId)
        table.forget(nodeId)
        context.emit({ kind: GossipEffectKind.MemberForgotten, nodeId })
      }
    }
  }

  const extendSuspicions = (pauseMs: number) => {
    for (const nodeId of timedIds) {
      const row = table.get(nodeId)
      if (row?.record.status === MemberStatus.Suspect) row.statusSinceMs += pauseMs
    }
  }

  return { apply, mergeRumors, announceAlive, expire, extendSuspicions }
}

/** Status rumor for a sender that this entry doesn't consider alive, so that it can refute; empty if alive. */
export const rumorsAboutSender = ({ table }: GossipContext, fromId: string): Rumor[] => {
  const record = table.get(fromId)?.record
  if (record === undefined || record.status === MemberStatus.Alive) return []
  const rumor = buildMemberRumor(table, RumorKind.Status, fromId)
  return rumor === undefined ? [] : [rumor]
}
