import { dispatch, type HandlerTable } from '../core/index.js'
import { NodeRole, type PeerIdentity } from '../links/index.js'
import {
  AGENT_SUSPICION_MS, DatagramKind, DEAD_FORGET_MS, MEMBERS_MAX, MemberStatus, RESTART_GRACE_MS, RumorKind,
  SUSPICION_ASKED_PEERS, SUSPICION_MS
} from './constants.js'
import { broadcastKey } from './broadcastStore.js'
import { buildMemberRumor, type GossipContext, isTrusted, queueMember } from './gossipContext.js'
import { isGone, MergeResult } from './memberTable.js'
import { GossipEffectKind, type MemberRecord, type Rumor } from './types.js'

/** What the rumors of one datagram did. */
export interface IntakeResult {
  changedCount: number
  /** Full records that are older than the known ones; their sender lags. */
  olderIds: string[]
  /** Members that the sender suspects or takes for gone although they have refuted that. */
  refutedIds: string[]
}

/** Merging of news, refutation and the expiry of suspicions. */
export interface GossipMembers {
  /** Merges a record, passes the change on and reports it. */
  apply (incoming: MemberRecord): MergeResult
  intake (fromId: string, rumors: readonly Rumor[]): IntakeResult
  /** Raises the version of a member that this entry vouches for: itself or a linked agent. */
  vouch (nodeId: string, change?: Partial<MemberRecord>): void
  expire (): void
  /** Moves the timers of suspicions by the length of a pause. */
  postpone (pauseMs: number): void
}

const subjectOf = (rumor: Rumor): string => {
  if (rumor.kind === RumorKind.Broadcast) return broadcastKey(rumor)
  return rumor.kind === RumorKind.Record ? rumor.record.identity.nodeId : rumor.nodeId
}

const SUSPICION_MS_BY_ROLE: Record<NodeRole, number> = {
  [NodeRole.Entry]: SUSPICION_MS,
  [NodeRole.Agent]: AGENT_SUSPICION_MS
}

/** Creates the handlers around the member table of one gossip core. */
export const createGossipMembers = (context: GossipContext): GossipMembers => {
  const { table, clock, selfId, linkedAgents, broadcasts } = context
  /** Members whose status needs a timer: suspects and those that are gone. */
  const timedIds = new Set<string>()

  const isLinkedTo = ({ nodeId, incarnation }: PeerIdentity) => linkedAgents.get(nodeId)?.incarnation === incarnation

  /** An agent whose announcer is gone is lost unless another linked entry vouches for it. */
  const orphanAgent = (record: MemberRecord) => {
    if (isLinkedTo(record.identity)) vouch(record.identity.nodeId)
    // Each node does this on its own when it learns of the death, so it needs no news.
    else merge({ ...record, status: MemberStatus.Suspect })
  }

  const orphanAgents = (announcerId: string) => {
    for (const { record } of [...table.values()]) {
      if (record.announcerId === announcerId && record.status === MemberStatus.Alive) orphanAgent(record)
    }
  }

  const merge = (incoming: MemberRecord): { result: MergeResult, before?: MemberRecord, after?: MemberRecord } => {
    const { nodeId } = incoming.identity
    const before = table.get(nodeId)?.record
    if (before === undefined && table.size >= MEMBERS_MAX) return { result: MergeResult.Same }
    const result = table.merge(incoming, clock.nowMs())
    const after = table.get(nodeId)?.record
    if (after === undefined || result === MergeResult.Same || result === MergeResult.Older) return { result, before, after }
    if (before === undefined || isGone(before.status) !== isGone(after.status)) context.forgetPeers()
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
    // Another announcer of the same version is no news.
    else if (before.loadVersion !== after.loadVersion) queueMember(context, RumorKind.Load, nodeId)
    const isNowGone = isGone(after.status) && (before === undefined || !isGone(before.status))
    if (isNowGone && after.identity.role === NodeRole.Entry) orphanAgents(nodeId)
    return result
  }

  const vouch = (nodeId: string, change: Partial<MemberRecord> = {}) => {
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
      vouch(selfId, { version: incoming.version + 1 })
      return
    }
    // Clocks of hosts differ, so soon after a start the other record is of an earlier run.
    const isEarlierRun = isGone(incoming.status) || clock.nowMs() - context.startedMs < RESTART_GRACE_MS
    if (isEarlierRun) {
      vouch(selfId, { version: incoming.version + 1 })
      return
    }
    context.isOver = true
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

  /** Refutes wrong news about a linked agent and questions an agent that no live entry vouches for. */
  const checkAgent = (known: MemberRecord) => {
    const isAlive = known.status === MemberStatus.Alive
    const isLinked = isLinkedTo(known.identity)
    if (isLinked && !isAlive) vouch(known.identity.nodeId)
    if (!isAlive || known.announcerId === undefined) return
    // An earlier run of this entry, or this entry before a pause, vouched for the agent.
    if (!isLinked && known.announcerId === selfId) apply({ ...known, status: MemberStatus.Suspect })
    // The news of the death overtook the news of the agent.
    const announcer = table.get(known.announcerId)?.record
    if (announcer !== undefined && isGone(announcer.status)) orphanAgent(known)
  }

  /** Completes a short form from the known record; undefined if the identity is not known. */
  const complete = (nodeId: string, incarnationHash: number, change: Partial<MemberRecord>): MemberRecord | undefined => {
    const row = table.get(nodeId)
    if (row !== undefined && row.incarnationHash === incarnationHash) return { ...row.record, ...change }
    context.isSyncWanted = true
    return undefined
  }

  const rumorHandlers = (fromId: string): HandlerTable<Rumor, MergeResult> => ({
    [RumorKind.Record]: ({ record }) => applyRemote(fromId, record),
    [RumorKind.Status]: ({ nodeId, incarnationHash, version, status, isDraining, announcerId }) => {
      const record = complete(nodeId, incarnationHash, { version, status, isDraining, announcerId })
      return record === undefined ? MergeResult.Same : applyRemote(fromId, record)
    },
    [RumorKind.Load]: ({ nodeId, incarnationHash, loadVersion, freeCapacityRequests }) => {
      const record = complete(nodeId, incarnationHash, { loadVersion, freeCapacityRequests })
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

  const intake = (fromId: string, rumors: readonly Rumor[]): IntakeResult => {
    const handlers = rumorHandlers(fromId)
    const olderIds: string[] = []
    const refutedIds: string[] = []
    let changedCount = 0
    for (const rumor of rumors) {
      if (context.isOver) break
      const result = dispatch(handlers, rumor)
      if (result === MergeResult.Changed || result === MergeResult.NewIdentity) changedCount += 1
      if (result === MergeResult.Same) context.queue.heard(rumor.kind, subjectOf(rumor))
      const isOlder = result === MergeResult.Older
      if (isOlder && rumor.kind === RumorKind.Status && rumor.status !== MemberStatus.Alive) refutedIds.push(rumor.nodeId)
      if (isOlder && rumor.kind === RumorKind.Record) olderIds.push(rumor.record.identity.nodeId)
    }
    return { changedCount, olderIds, refutedIds }
  }

  /** A member that heard a refutation answers with it; the news of it may have missed this entry. */
  const askAbout = (nodeId: string) => {
    const rumor = buildMemberRumor(table, RumorKind.Status, nodeId)
    if (rumor === undefined) return
    for (const { record } of context.pickPeers(SUSPICION_ASKED_PEERS, nodeId)) {
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
      } else if (record.status === MemberStatus.Suspect && !row.isAsked && elapsedMs >= suspicionMs / 2) {
        row.isAsked = true
        askAbout(nodeId)
      } else if (isGone(record.status) && elapsedMs >= DEAD_FORGET_MS) {
        timedIds.delete(nodeId)
        table.forget(nodeId)
        context.emit({ kind: GossipEffectKind.MemberForgotten, nodeId })
      }
    }
  }

  const postpone = (pauseMs: number) => {
    for (const nodeId of timedIds) {
      const row = table.get(nodeId)
      if (row?.record.status === MemberStatus.Suspect) row.statusSinceMs += pauseMs
    }
  }

  return { apply, intake, vouch, expire, postpone }
}

/** The news that tells a sender that this entry doesn't take it for alive; empty if it does. */
export const rumorsAboutSender = ({ table }: GossipContext, fromId: string): Rumor[] => {
  const record = table.get(fromId)?.record
  if (record === undefined || record.status === MemberStatus.Alive) return []
  const rumor = buildMemberRumor(table, RumorKind.Status, fromId)
  return rumor === undefined ? [] : [rumor]
}
