import type { TimestampMs } from '../core/index.js'
import type { BindingTable } from './createBindingTable.js'
import type { BindingItem, BindRequest } from './types.js'

/** Progress of an owner in reading the log stream of a shard. */
export enum ShardPhase {
  /** Searches the stream by bisection for the first record of the window. */
  Seeking = 'seeking',
  /** Reads the records of the window. */
  Reading = 'reading',
  Ready = 'ready'
}

/** A bind request that has no reply yet. */
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
  /** Bounds of the bisection, as log offsets. */
  seekLow: number
  seekHigh: number
  /** Offset of the next record to read. */
  nextOffset: number
  /** Records up to this offset must be read before the next append. */
  targetOffset: number
  /** Set when a failed append may have taken effect, so the log must be read to its end. */
  mustReadEnd: boolean
  waiting: Map<string, WaitingBind>
  readTicket?: number
  /** Tickets identify log operations; a result is ignored if its ticket is from before the shard was lost. */
  appendTicket?: number
  appendItems: BindingItem[]
  retryMs: TimestampMs
  failureCount: number
  /** The last operation on the log failed. */
  isLogUnavailable: boolean
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
  isLogUnavailable: false
})
