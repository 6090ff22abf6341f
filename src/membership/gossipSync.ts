import {
  DATAGRAM_BYTES_MAX, DATAGRAM_FIXED_BYTES, DatagramKind, RumorKind, START_MS, START_SYNC_INTERVAL_MS, SYNC_BUCKETS,
  SYNC_INTERVAL_MS, SYNC_LISTED_ROWS_MAX, SYNC_RETRY_MS, SYNC_TRIES
} from './constants.js'
import { buildMemberRumor, DIGEST_BYTES_ESTIMATE, type GossipContext, sendMembers } from './gossipContext.js'
import { type MergeSummary, rumorsAboutSender } from './gossipMembers.js'
import { measureRumor } from './rumorSize.js'
import type { TableRow } from './memberTable.js'
import type { Datagram, Rumor } from './types.js'

type DatagramOf<Kind extends DatagramKind> = Extract<Datagram, { kind: Kind }>

/** Anti-entropy sync of member lists: gives a new member all records and makes up for lost rumors. */
export interface GossipSync {
  tick (): void
  /** Schedules a sync for the next tick. */
  requestSoon (): void
  /** Syncs with an address that may not be a live member: a seed or a dead member. */
  requestFrom (address: string): void
  onSyncRequest (request: DatagramOf<DatagramKind.SyncRequest>, sourceAddress: string): void
  onSyncPage (page: DatagramOf<DatagramKind.SyncPage>, merged: MergeSummary, sourceAddress: string): void
}

/**
 * Size of a page while the send budget is used up. A seed that gets requests from the whole fleet at
 * once still sends a few members to each entry, which can then sync with those. The page is smaller
 * than the request.
 */
const PAGE_BYTES_MIN = 360

/** Two-byte hash of a row; a record missed because of a hash collision is synced after its next change. */
const shortHash = ({ digestHash }: TableRow): number => digestHash & 0xffff

/** Creates the sync handlers of one gossip core. */
export const createGossipSync = (context: GossipContext): GossipSync => {
  const { clock, random, table, broadcasts } = context
  let pending: { sentMs: number, fromBucket: number, tries: number } | undefined
  /** Bucket from which an unfinished sync continues. */
  let resumeBucket: number | undefined
  // The first sync starts as soon as a member is known.
  let nextSyncMs = 0

  const ownDigest = (): Uint8Array => {
    const view = new DataView(new ArrayBuffer((SYNC_BUCKETS + 1) * 4))
    table.digest.forEach((hash, bucket) => view.setUint32(bucket * 4, hash))
    view.setUint32(SYNC_BUCKETS * 4, broadcasts.digest)
    return new Uint8Array(view.buffer)
  }

  /** Rows grouped by the distance of their bucket from `fromBucket`, wrapping around. */
  const rowsByDistance = (fromBucket: number): TableRow[][] => {
    const byDistance: TableRow[][] = Array.from({ length: SYNC_BUCKETS }, () => [])
    for (const row of table.values()) byDistance[(row.bucket - fromBucket + SYNC_BUCKETS) % SYNC_BUCKETS]!.push(row)
    return byDistance
  }

  const listRows = (fromBucket: number, rowsMax: number) => {
    const hashes: number[] = []
    let listedBuckets = 0
    for (const rows of rowsByDistance(fromBucket)) {
      if (hashes.length + rows.length > rowsMax) break
      hashes.push(...rows.map(shortHash))
      listedBuckets += 1
    }
    const view = new DataView(new ArrayBuffer(hashes.length * 2))
    hashes.forEach((hash, i) => view.setUint16(i * 2, hash))
    return { listedBuckets, rowHashes: new Uint8Array(view.buffer) }
  }

  const send = (address: string, fromBucket: number, isListed: boolean) => {
    const self = buildMemberRumor(table, RumorKind.Record, context.selfId)
    const leading = self === undefined ? [] : [self]
    const roomBytes = DATAGRAM_BYTES_MAX - DATAGRAM_FIXED_BYTES - DIGEST_BYTES_ESTIMATE - context.selfId.length -
      leading.reduce((sum, rumor) => sum + measureRumor(rumor), 0)
    const rowsMax = isListed ? Math.min(SYNC_LISTED_ROWS_MAX, Math.floor(roomBytes / 2)) : 0
    const listing = isListed ? listRows(fromBucket, rowsMax) : { listedBuckets: 0, rowHashes: new Uint8Array(0) }
    context.send(address, { kind: DatagramKind.SyncRequest, digest: ownDigest(), fromBucket, ...listing }, leading)
  }

  const isStarting = () => clock.nowMs() - context.startedMs < START_MS

  const request = (fromBucket: number, tries: number) => {
    const [peer] = context.pickPeers(1)
    if (peer === undefined) return
    // Row hashes are listed only during startup and in an unfinished sync; otherwise almost nothing differs.
    const isListed = isStarting() || resumeBucket !== undefined
    pending = { sentMs: clock.nowMs(), fromBucket, tries }
    send(peer.record.identity.address, fromBucket, isListed)
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
    if (context.isSyncRequested) {
      context.isSyncRequested = false
      nextSyncMs = Math.min(nextSyncMs, nowMs + random.int(0, SYNC_INTERVAL_MS / 10))
    }
    if (nowMs < nextSyncMs || context.peers().length === 0) return
    const intervalMs = isStarting() ? START_SYNC_INTERVAL_MS : SYNC_INTERVAL_MS
    nextSyncMs = nowMs + random.int(intervalMs / 2, intervalMs * 3 / 2)
    request(random.int(0, SYNC_BUCKETS - 1), 1)
  }

  /** Rows that differ, by bucket from `fromBucket` on with wraparound; each bucket starts at a random row. */
  const differingRows = ({ digest, fromBucket, listedBuckets, rowHashes }: DatagramOf<DatagramKind.SyncRequest>): TableRow[] => {
    const digestView = new DataView(digest.buffer, digest.byteOffset, digest.byteLength)
    const hashView = new DataView(rowHashes.buffer, rowHashes.byteOffset, rowHashes.byteLength)
    const listed = new Set(Array.from({ length: rowHashes.length >> 1 }, (_, i) => hashView.getUint16(i * 2)))
    return rowsByDistance(fromBucket % SYNC_BUCKETS).flatMap((rows, distance) => {
      const bucket = rows[0]?.bucket
      if (bucket === undefined || digestView.getUint32(bucket * 4) === table.digest[bucket]) return []
      const missing = distance < listedBuckets ? rows.filter(row => !listed.has(shortHash(row))) : rows
      const first = missing.length < 2 ? 0 : random.int(0, missing.length - 1)
      return [...missing.slice(first), ...missing.slice(0, first)]
    })
  }

  const differingBroadcasts = (digest: Uint8Array): Rumor[] => {
    const view = new DataView(digest.buffer, digest.byteOffset, digest.byteLength)
    if (view.getUint32(SYNC_BUCKETS * 4) === broadcasts.digest) return []
    return random.shuffle(broadcasts.activeKeys()).map(broadcasts.toRumor).filter(rumor => rumor !== undefined)
  }

  const onSyncRequest = (syncRequest: DatagramOf<DatagramKind.SyncRequest>, sourceAddress: string) => {
    const { fromId, digest } = syncRequest
    const roomBytes = Math.min(
      DATAGRAM_BYTES_MAX - DATAGRAM_FIXED_BYTES - context.selfId.length,
      Math.max(PAGE_BYTES_MIN, context.availableBytes())
    )
    let bytesLeft = roomBytes
    const page: Rumor[] = []
    const addToPage = (rumor: Rumor, reserveBytes: number) => {
      const bytes = measureRumor(rumor)
      if (bytes > bytesLeft - reserveBytes) return false
      bytesLeft -= bytes
      page.push(rumor)
      return true
    }
    // The requesting side may know only the address of this entry.
    const self = buildMemberRumor(table, RumorKind.Record, context.selfId)
    for (const rumor of [...rumorsAboutSender(context, fromId), ...(self === undefined ? [] : [self])]) addToPage(rumor, 0)
    // Half of the page is reserved for members, however many broadcasts are active.
    for (const rumor of differingBroadcasts(digest)) if (!addToPage(rumor, roomBytes / 2)) break
    let nextBucket = -1
    for (const { record, bucket } of differingRows(syncRequest)) {
      if (addToPage({ kind: RumorKind.Record, record }, 0)) continue
      nextBucket = bucket
      break
    }
    context.send(sourceAddress, { kind: DatagramKind.SyncPage, nextBucket }, page)
  }

  const onSyncPage = (
    { nextBucket }: DatagramOf<DatagramKind.SyncPage>, { changedCount, olderIds }: MergeSummary, sourceAddress: string
  ) => {
    pending = undefined
    // The sender of the page has outdated records of these members.
    sendMembers(context, RumorKind.Record, olderIds, sourceAddress)
    // A page without anything new ends the sync: the remaining differences may be records that only the
    // other side lacks. The next page is requested at the next tick: in a fleet that starts at once,
    // faster requests use up the budgets of all members on small pages.
    if (nextBucket >= 0 && changedCount > 0) resumeBucket = nextBucket
  }

  return {
    tick,
    requestSoon: () => { nextSyncMs = 0 },
    requestFrom: address => send(address, random.int(0, SYNC_BUCKETS - 1), isStarting()),
    onSyncRequest,
    onSyncPage
  }
}
