import { hash32, type TimestampMs } from '../core/index.js'
import { MemberStatus, SYNC_BUCKETS } from './constants.js'
import type { MemberRecord } from './types.js'

/** Result of merging a record. */
export enum MergeResult {
  /** The record equals the known one, or was ignored. */
  Same = 'same',
  /** The known record is newer. */
  Older = 'older',
  Changed = 'changed',
  /** Changed, and the identity was not known before. */
  NewIdentity = 'new-identity'
}

/** A record with its local timers and hashes. */
export interface TableRow {
  record: MemberRecord
  incarnationHash: number
  /** Local time of the last change of status. */
  statusSinceMs: TimestampMs
  /** Whether other members were asked for a refutation of this suspicion. */
  isRefutationRequested: boolean
  bucket: number
  digestHash: number
}

const STATUS_RANK: Record<MemberStatus, number> = {
  [MemberStatus.Alive]: 0,
  [MemberStatus.Suspect]: 1,
  [MemberStatus.Dead]: 2,
  [MemberStatus.Left]: 3
}

/** Whether a member is dead or has left. */
export const isDeadOrLeft = (status: MemberStatus): boolean => STATUS_RANK[status] >= STATUS_RANK[MemberStatus.Dead]

const compareText = (a: string, b: string) => a === b ? 0 : a < b ? -1 : 1

/** Total order of the records of one node id; every member keeps the greatest. */
export const compareRecords = (a: MemberRecord, b: MemberRecord): number =>
  a.version - b.version ||
  compareText(a.identity.incarnation, b.identity.incarnation) ||
  STATUS_RANK[a.status] - STATUS_RANK[b.status] ||
  compareText(a.announcerId ?? '', b.announcerId ?? '')

// Dead and left members are excluded, because nodes forget them at different times and digests would
// differ needlessly. The announcer is excluded, because several entries announce an agent at once and
// members may keep different ones.
const digestHashOf = ({ identity, version, status, isDraining }: MemberRecord) =>
  isDeadOrLeft(status)
    ? 0
    : hash32(`${identity.nodeId}/${identity.incarnation}/${version}/${status}/${isDraining}`)

/** The member list, with a digest per bucket that makes comparing two lists cheap. */
export interface MemberTable {
  get (nodeId: string): TableRow | undefined
  values (): IterableIterator<TableRow>
  merge (incoming: MemberRecord, nowMs: TimestampMs): MergeResult
  forget (nodeId: string): void
  readonly digest: Uint32Array
  readonly size: number
}

/**
 * Creates an empty table.
 *
 * @example
 * const table = createMemberTable()
 * table.merge(record, clock.nowMs()) // MergeResult.NewIdentity
 */
export const createMemberTable = (): MemberTable => {
  const rows = new Map<string, TableRow>()
  const digest = new Uint32Array(SYNC_BUCKETS)

  const toggle = ({ bucket, digestHash }: TableRow) => { digest[bucket]! ^= digestHash }

  const store = (record: MemberRecord, previous: TableRow | undefined, nowMs: TimestampMs) => {
    if (previous !== undefined) toggle(previous)
    const { nodeId, incarnation } = record.identity
    const isSameStatus = previous?.record.status === record.status && previous.record.version === record.version
    const changed = {
      record,
      incarnationHash: previous?.record.identity.incarnation === incarnation ? previous.incarnationHash : hash32(incarnation),
      statusSinceMs: previous !== undefined && isSameStatus ? previous.statusSinceMs : nowMs,
      isRefutationRequested: false,
      digestHash: digestHashOf(record)
    }
    // Updates a row in place, so that lists that hold it stay valid.
    const row: TableRow = previous === undefined
      ? { ...changed, bucket: hash32(nodeId) % SYNC_BUCKETS }
      : Object.assign(previous, changed)
    rows.set(nodeId, row)
    toggle(row)
  }

  const merge = (incoming: MemberRecord, nowMs: TimestampMs): MergeResult => {
    const previous = rows.get(incoming.identity.nodeId)
    if (previous === undefined) {
      // Adding the tombstone of an unknown node would keep it circulating forever.
      if (isDeadOrLeft(incoming.status)) return MergeResult.Same
      store(incoming, undefined, nowMs)
      return MergeResult.NewIdentity
    }
    const known = previous.record
    const isSameRun = known.identity.incarnation === incoming.identity.incarnation
    const order = compareRecords(incoming, known)
    const winner = order > 0 ? incoming : known
    if (!isSameRun) {
      if (order < 0) return MergeResult.Older
      store(incoming, previous, nowMs)
      return MergeResult.NewIdentity
    }
    const newerLoad = incoming.loadVersion > known.loadVersion ? incoming : known
    const merged: MemberRecord = {
      ...winner,
      isDraining: known.isDraining || incoming.isDraining,
      loadVersion: newerLoad.loadVersion,
      freeCapacityRequests: newerLoad.freeCapacityRequests
    }
    const isChanged = order > 0 || merged.isDraining !== known.isDraining || newerLoad === incoming
    if (!isChanged) return order < 0 ? MergeResult.Older : MergeResult.Same
    store(merged, previous, nowMs)
    return MergeResult.Changed
  }

  return {
    get: nodeId => rows.get(nodeId),
    values: () => rows.values(),
    merge,
    forget: nodeId => {
      const row = rows.get(nodeId)
      if (row === undefined) return
      toggle(row)
      rows.delete(nodeId)
    },
    digest,
    get size () { return rows.size }
  }
}
