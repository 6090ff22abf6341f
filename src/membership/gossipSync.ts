import {
  DATAGRAM_BYTES_MAX, DATAGRAM_FIXED_BYTES, DatagramKind, RumorKind, START_MS, START_SYNC_INTERVAL_MS, SYNC_BUCKETS,
  SYNC_INTERVAL_MS, SYNC_RETRY_MS, SYNC_TRIES
} from './constants.js'
import { buildMemberRumor, type GossipContext, sendMembers } from './gossipContext.js'
import { type IntakeResult, rumorsAboutSender } from './gossipMembers.js'
import { measureRumor } from './rumorSize.js'
import type { TableRow } from './memberTable.js'
import type { Datagram, Rumor } from './types.js'

type DatagramOf<Kind extends DatagramKind> = Extract<Datagram, { kind: Kind }>

/** Comparison of whole lists: a new member gets all records, and lost news is made up for. */
export interface GossipSync {
  tick (): void
  /** Asks for a comparison at the next tick. */
  hasten (): void
  /** Compares with an address that may not be a member: a seed or a member believed gone. */
  requestFrom (address: string): void
  onSyncRequest (request: DatagramOf<DatagramKind.SyncRequest>, sourceAddress: string): void
  onSyncPage (page: DatagramOf<DatagramKind.SyncPage>, intake: IntakeResult, sourceAddress: string): void
}

/**
 * Size of a page while the send budget is used up. A seed that is asked by a whole fleet at once
 * still names a few members to each, who ask those; the page is smaller than the request.
 */
const PAGE_BYTES_MIN = 360

/** Creates the handlers of list comparison of one gossip core. */
export const createGossipSync = (context: GossipContext): GossipSync => {
  const { clock, random, table, broadcasts } = context
  let pending: { sentMs: number, fromBucket: number, tries: number } | undefined
  /** Bucket from which an unfinished comparison goes on. */
  let resumeBucket: number | undefined
  // The first comparison follows the first contact with a member.
  let nextSyncMs = 0

  const ownDigest = (): Uint8Array => {
    const view = new DataView(new ArrayBuffer((SYNC_BUCKETS + 1) * 4))
    table.digest.forEach((hash, bucket) => view.setUint32(bucket * 4, hash))
    view.setUint32(SYNC_BUCKETS * 4, broadcasts.digest)
    return new Uint8Array(view.buffer)
  }

  const send = (address: string, fromBucket: number) => {
    const self = buildMemberRumor(table, RumorKind.Record, context.selfId)
    const body = { kind: DatagramKind.SyncRequest as const, digest: ownDigest(), fromBucket }
    context.send(address, body, self === undefined ? [] : [self])
  }

  const request = (fromBucket: number, tries: number) => {
    const [peer] = context.pickPeers(1)
    if (peer === undefined) return
    pending = { sentMs: clock.nowMs(), fromBucket, tries }
    send(peer.record.identity.address, fromBucket)
  }

  const tick = () => {
    const nowMs = clock.nowMs()
    if (pending !== undefined) {
      if (nowMs - pending.sentMs < SYNC_RETRY_MS) return
      if (pending.tries < SYNC_TRIES) request(pending.fromBucket, pending.tries + 1)
      else pending = undefined
      return
    }
    if (resumeBucket !== undefined) {
      request(resumeBucket, 1)
      resumeBucket = undefined
      return
    }
    if (context.isSyncWanted) {
      context.isSyncWanted = false
      nextSyncMs = Math.min(nextSyncMs, nowMs + random.int(0, SYNC_INTERVAL_MS / 10))
    }
    if (nowMs < nextSyncMs || context.peers().length === 0) return
    const isStarting = nowMs - context.startedMs < START_MS
    const intervalMs = isStarting ? START_SYNC_INTERVAL_MS : SYNC_INTERVAL_MS
    nextSyncMs = nowMs + random.int(intervalMs / 2, intervalMs * 3 / 2)
    request(random.int(0, SYNC_BUCKETS - 1), 1)
  }

  /** Rows that differ, from a bucket on around the circle, from a random one on inside each bucket. */
  const differingRows = (digest: Uint8Array, fromBucket: number): TableRow[] => {
    const view = new DataView(digest.buffer, digest.byteOffset, digest.byteLength)
    const byDistance: TableRow[][] = Array.from({ length: SYNC_BUCKETS }, () => [])
    for (const row of table.values()) {
      if (view.getUint32(row.bucket * 4) === table.digest[row.bucket]) continue
      byDistance[(row.bucket - fromBucket + SYNC_BUCKETS) % SYNC_BUCKETS]!.push(row)
    }
    return byDistance.flatMap(rows => {
      const first = rows.length < 2 ? 0 : random.int(0, rows.length - 1)
      return [...rows.slice(first), ...rows.slice(0, first)]
    })
  }

  const differingBroadcasts = (digest: Uint8Array): Rumor[] => {
    const view = new DataView(digest.buffer, digest.byteOffset, digest.byteLength)
    if (view.getUint32(SYNC_BUCKETS * 4) === broadcasts.digest) return []
    return random.shuffle(broadcasts.activeKeys()).map(broadcasts.toRumor).filter(rumor => rumor !== undefined)
  }

  const onSyncRequest = ({ fromId, digest, fromBucket }: DatagramOf<DatagramKind.SyncRequest>, sourceAddress: string) => {
    const roomBytes = Math.min(
      DATAGRAM_BYTES_MAX - DATAGRAM_FIXED_BYTES - context.selfId.length,
      Math.max(PAGE_BYTES_MIN, context.availableBytes())
    )
    let bytesLeft = roomBytes
    const page: Rumor[] = []
    const take = (rumor: Rumor, reserveBytes: number) => {
      const bytes = measureRumor(rumor)
      if (bytes > bytesLeft - reserveBytes) return false
      bytesLeft -= bytes
      page.push(rumor)
      return true
    }
    // The asking side may only know the address of this entry.
    const self = buildMemberRumor(table, RumorKind.Record, context.selfId)
    for (const rumor of [...rumorsAboutSender(context, fromId), ...(self === undefined ? [] : [self])]) take(rumor, 0)
    // Half of the page stays for members, however many broadcasts are under way.
    for (const rumor of differingBroadcasts(digest)) if (!take(rumor, roomBytes / 2)) break
    let nextBucket = -1
    for (const { record, bucket } of differingRows(digest, fromBucket % SYNC_BUCKETS)) {
      if (take({ kind: RumorKind.Record, record }, 0)) continue
      nextBucket = bucket
      break
    }
    context.send(sourceAddress, { kind: DatagramKind.SyncPage, nextBucket }, page)
  }

  const onSyncPage = (
    { nextBucket }: DatagramOf<DatagramKind.SyncPage>, { changedCount, olderIds }: IntakeResult, sourceAddress: string
  ) => {
    pending = undefined
    // The sender of the page lags behind in these.
    sendMembers(context, RumorKind.Record, olderIds, sourceAddress)
    // A page without anything new ends the comparison: the other side may only lack what we have.
    // The next page is asked for at the next tick: in a fleet that starts at once, faster requests use
    // up the budgets of all members on small pages.
    if (nextBucket >= 0 && changedCount > 0) resumeBucket = nextBucket
  }

  return {
    tick,
    hasten: () => { nextSyncMs = 0 },
    requestFrom: address => send(address, random.int(0, SYNC_BUCKETS - 1)),
    onSyncRequest,
    onSyncPage
  }
}
