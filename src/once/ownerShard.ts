import type { TimestampMs } from '../core/index.js'
import type { BindingTable } from './createBindingTable.js'
import type { BindingItem, BindRequest } from './types.js'

/** How far an owner has got with a shard. */
export enum ShardPhase {
  /** Bisects the stream for the first record of the window. */
  Seeking = 'seeking',
  /** Reads the window. */
  Reading = 'reading',
  Ready = 'ready'
}

/** An entry's request that has no reply yet. */
export interface WaitingBind {
  from: string
  request: BindRequest
  expiresMs: TimestampMs
}

/** State of one shard at its owner. */
export interface OwnerShard {
  shard: number
  phase: ShardPhase
  table: BindingTable
  /** Bounds of the bisection, as offsets. */
  seekLow: number
  seekHigh: number
  /** Offset of the next record to read. */
  nextOffset: number
  /** Records up to this offset must be read before anything more is appended. */
  targetOffset: number
  /** An append may have taken effect without an answer, so the log must be read to its end. */
  mustReadEnd: boolean
  waiting: Map<string, WaitingBind>
  readTicket?: number
  /** Tickets are compared, so an answer to an operation from before a loss of the shard is ignored. */
  appendTicket?: number
  appendItems: BindingItem[]
  retryMs: TimestampMs
  failureCount: number
  /** The last operation on the log failed. */
  isLogDown: boolean
}

export const getDefaultOwnerShard = (shard: number, table: BindingTable): OwnerShard => ({
  shard,
  phase: ShardPhase.Seeking,
  table,
  seekLow: 1,
  seekHigh: Number.POSITIVE_INFINITY,
  nextOffset: 1,
  targetOffset: 0,
  mustReadEnd: false,
  waiting: new Map(),
  appendItems: [],
  retryMs: Number.NEGATIVE_INFINITY,
  failureCount: 0,
  isLogDown: false
})
