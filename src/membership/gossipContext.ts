import type { Clock, Random } from '../core/index.js'
import { NodeRole, type PeerIdentity } from '../links/index.js'
import type { BroadcastStore } from './broadcastStore.js'
import {
  DATAGRAM_BYTES_MAX, DATAGRAM_FIXED_BYTES, DATAGRAM_HEADER_BYTES, DatagramKind, MemberStatus, RumorKind,
  SEND_BURST_BYTES, SEND_BYTES_PER_S, START_MS, START_SEND_BYTES_PER_S
} from './constants.js'
import { isDeadOrLeft, type MemberTable, type TableRow } from './memberTable.js'
import type { RumorQueue } from './rumorQueue.js'
import { measureRumor } from './rumorSize.js'
import { type Datagram, type GossipEffect, GossipEffectKind, type MemberRecord, type Rumor } from './types.js'

type WithoutBase<T> = T extends unknown ? Omit<T, 'fromId' | 'rumors'> : never
/** A datagram without its sender and rumors. */
export type DatagramBody = WithoutBase<Datagram>

/** State and functions shared by the handlers of one gossip core. */
export interface GossipContext {
  selfId: string
  startedMs: number
  seeds: readonly string[]
  clock: Clock
  random: Random
  table: MemberTable
  queue: RumorQueue
  broadcasts: BroadcastStore
  /** Agents with an open link to this entry. */
  linkedAgents: Map<string, PeerIdentity>
  /** Set once the process has left the fleet or was superseded; messages are ignored from then on. */
  isStopped: boolean
  /** Set when an update about an unknown member arrived. */
  isSyncRequested: boolean
  self (): MemberRecord
  emit (effect: GossipEffect): void
  takeEffects (): GossipEffect[]
  /** Other entries that are alive or suspect. */
  peers (): readonly TableRow[]
  /** Picks at most `count` distinct random peers. */
  pickPeers (count: number, exceptId?: string): TableRow[]
  invalidatePeers (): void
  /** Sends the `leading` rumors, followed by as many queued ones as fit into the datagram and the send budget. */
  send (address: string, body: DatagramBody, leading?: Rumor[]): void
  availableBytes (): number
  refill (elapsedMs: number): void
}

export type GossipContextParts = Omit<
  GossipContext,
  'self' | 'emit' | 'takeEffects' | 'peers' | 'pickPeers' | 'invalidatePeers' | 'send' | 'availableBytes' | 'refill'
>

/** Encoded size of the digest and bucket numbers of a sync request, without its row hashes. */
export const DIGEST_BYTES_ESTIMATE = 280
const bodyBytes = (body: DatagramBody) =>
  body.kind === DatagramKind.SyncRequest ? DIGEST_BYTES_ESTIMATE + body.rowHashes.length : 0

/** Creates the context: the shared state with its functions. */
export const createGossipContext = (parts: GossipContextParts): GossipContext => {
  let effects: GossipEffect[] = []
  let peers: TableRow[] | undefined
  let budgetBytes = SEND_BURST_BYTES

  const listPeers = () => [...parts.table.values()].filter(({ record }) =>
    record.identity.role === NodeRole.Entry && !isDeadOrLeft(record.status) && record.identity.nodeId !== parts.selfId)

  const context: GossipContext = Object.assign(parts, {
    self: () => parts.table.get(parts.selfId)!.record,
    emit: (effect: GossipEffect) => { effects.push(effect) },
    takeEffects: () => {
      const taken = effects
      effects = []
      return taken
    },
    peers: () => (peers ??= listPeers()),
    pickPeers: (count: number, exceptId?: string) => {
      const all = context.peers()
      const picked = new Set<TableRow>()
      // A few extra draws make up for the excluded peer and for duplicates.
      for (let draw = 0; draw < 4 * count && picked.size < count && all.length > 0; draw++) {
        const row = parts.random.pick(all)
        if (row.record.identity.nodeId !== exceptId) picked.add(row)
      }
      return [...picked]
    },
    invalidatePeers: () => { peers = undefined },
    send: (address: string, body: DatagramBody, leading: Rumor[] = []) => {
      const fixedBytes = DATAGRAM_FIXED_BYTES + bodyBytes(body) + parts.selfId.length +
        ('targetAddress' in body ? body.targetAddress.length : 0)
      const leadingBytes = leading.reduce((sum, rumor) => sum + measureRumor(rumor), 0)
      const roomBytes = DATAGRAM_BYTES_MAX - fixedBytes - leadingBytes
      const isFilled = body.kind !== DatagramKind.SyncPage
      const queued = isFilled ? parts.queue.take(Math.min(roomBytes, budgetBytes)) : []
      const queuedBytes = queued.reduce((sum, rumor) => sum + measureRumor(rumor), 0)
      const bytes = DATAGRAM_HEADER_BYTES + DATAGRAM_FIXED_BYTES / 2 + bodyBytes(body) + leadingBytes + queuedBytes
      // Replies are sent even without budget; the lower bound keeps many replies from blocking updates for long.
      budgetBytes = Math.max(-SEND_BURST_BYTES, budgetBytes - bytes)
      const datagram = { ...body, fromId: parts.selfId, rumors: [...leading, ...queued] } as Datagram
      effects.push({ kind: GossipEffectKind.SendDatagram, address, datagram })
    },
    availableBytes: () => budgetBytes,
    refill: (elapsedMs: number) => {
      const isStarting = parts.clock.nowMs() - parts.startedMs < START_MS
      const bytesPerS = isStarting ? START_SEND_BYTES_PER_S : SEND_BYTES_PER_S
      budgetBytes = Math.min(SEND_BURST_BYTES, budgetBytes + elapsedMs * bytesPerS / 1_000)
    }
  })
  return context
}

/** Builds a rumor about a member from the current table; undefined once the member is forgotten. */
export const buildMemberRumor = (
  table: MemberTable,
  kind: RumorKind.Record | RumorKind.Status | RumorKind.Load,
  nodeId: string
): Rumor | undefined => {
  const row = table.get(nodeId)
  if (row === undefined) return undefined
  const { record, incarnationHash } = row
  const builders: Record<typeof kind, () => Rumor> = {
    [RumorKind.Record]: () => ({ kind: RumorKind.Record, record }),
    [RumorKind.Status]: () => ({
      kind: RumorKind.Status,
      nodeId,
      incarnationHash,
      version: record.version,
      status: record.status,
      isDraining: record.isDraining,
      ...(record.announcerId === undefined ? {} : { announcerId: record.announcerId })
    }),
    [RumorKind.Load]: () => ({
      kind: RumorKind.Load,
      nodeId,
      incarnationHash,
      loadVersion: record.loadVersion,
      freeCapacityRequests: record.freeCapacityRequests
    })
  }
  return builders[kind]()
}

/** Queues a rumor about a member. */
export const queueMember = (
  { queue, table }: GossipContext,
  kind: RumorKind.Record | RumorKind.Status | RumorKind.Load,
  nodeId: string
): void => queue.add(kind, nodeId, () => buildMemberRumor(table, kind, nodeId))

/** Sends rumors about several members to one address, as many as fit into one datagram. */
export const sendMembers = (
  context: GossipContext, kind: RumorKind.Record | RumorKind.Status, nodeIds: readonly string[], address: string
): void => {
  let bytesLeft = DATAGRAM_BYTES_MAX - DATAGRAM_FIXED_BYTES - context.selfId.length
  const rumors: Rumor[] = []
  for (const nodeId of nodeIds) {
    const rumor = buildMemberRumor(context.table, kind, nodeId)
    if (rumor === undefined) continue
    bytesLeft -= measureRumor(rumor)
    if (bytesLeft < 0) break
    rumors.push(rumor)
  }
  if (rumors.length > 0) context.send(address, { kind: DatagramKind.Gossip }, rumors)
}

/** Whether a member's suspicions of others are accepted; one that is not alive may itself be cut off. */
export const isTrusted = ({ table }: GossipContext, nodeId: string): boolean =>
  table.get(nodeId)?.record.status === MemberStatus.Alive
