import { type Clock, type Core, dispatch, type HandlerTable, type LogPage, ResultCode, type TimestampMs } from '../core/index.js'
import { assessBind } from './assessBind.js'
import {
  APPEND_INTERVAL_MS, BATCH_BINDINGS_MAX, BIND_QUEUE_MAX, BIND_WAIT_MAX_MS, BINDINGS_PER_SHARD_MAX,
  CLOCK_SKEW_MARGIN_MS, LOG_RETRY_MAX_MS, onceStream, PAGE_RECORDS_MAX
} from './constants.js'
import { createBindingTable } from './createBindingTable.js'
import { getDefaultOwnerShard, type OwnerShard, ShardPhase, type WaitingBind } from './ownerShard.js'
import {
  OWNER_RULES, type OwnerEffect, OwnerEffectKind, type OwnerMessage, OwnerMessageKind, type OwnerRules
} from './ownerTypes.js'
import type { BindingItem } from './types.js'

export interface BindingOwnerOptions {
  clock: Clock
  /** Longest `onceWindowMs` of all pools. */
  windowMs: number
  bindingsPerShardMax?: number
  queueMax?: number
  rules?: Partial<OwnerRules>
}

/**
 * State machine that binds idempotency keys to agents for the shards that an entry owns.
 *
 * Safety depends only on the order of records in the log: if two entries own a shard at the same time, or
 * an append is delayed or applied twice, the surplus records are ignored by every reader of the log.
 *
 * @example
 * const owner = createBindingOwner({ clock, windowMs: 600_000 })
 * owner.handle({ kind: OwnerMessageKind.ShardGained, shard: 7 }) // [{ kind: OwnerEffectKind.Read, ... }]
 */
export const createBindingOwner = ({
  clock, windowMs, bindingsPerShardMax: bindingsMax = BINDINGS_PER_SHARD_MAX, queueMax = BIND_QUEUE_MAX, rules: ruleOverrides
}: BindingOwnerOptions): Core<OwnerMessage, OwnerEffect> => {
  const rules = { ...OWNER_RULES, ...ruleOverrides }
  const shards = new Map<number, OwnerShard>()
  /** Kept when a shard is lost, so that the append budget still holds if the shard is regained. */
  const lastAppendsMs = new Map<number, TimestampMs>()
  let lastTicket = 0
  let longestWindowMs = windowMs

  const replyWithCode = ({ from, request }: WaitingBind, code: ResultCode): OwnerEffect =>
    ({ kind: OwnerEffectKind.Reply, to: from, reply: { requestId: request.requestId, code } })

  /** Replies to requests whose binding in effect is known; returns the items that must be appended for the others. */
  const resolveWaiting = (state: OwnerShard, effects: OwnerEffect[]): BindingItem[] => {
    if (state.phase !== ShardPhase.Ready) return []
    state.table.forgetExpired()
    const items = new Map<string, BindingItem>()
    for (const [id, { from, request }] of state.waiting) {
      const { reply, item, readToOffset } = assessBind({
        table: state.table, request, nowMs: clock.nowMs(), refusesForgottenKeys: rules.refusesForgottenKeys
      })
      if (readToOffset !== undefined) state.targetOffset = Math.max(state.targetOffset, readToOffset)
      if (item !== undefined && items.size < BATCH_BINDINGS_MAX && !items.has(item.scopedKey)) {
        items.set(item.scopedKey, item)
      }
      if (reply === undefined) continue
      state.waiting.delete(id)
      effects.push({ kind: OwnerEffectKind.Reply, to: from, reply })
    }
    return [...items.values()]
  }

  const readNext = (state: OwnerShard): OwnerEffect => {
    const ticket = state.readTicket = ++lastTicket
    const isSeeking = state.phase === ShardPhase.Seeking
    const fromOffset = !isSeeking
      ? state.nextOffset
      : Number.isFinite(state.seekHigh) ? Math.floor((state.seekLow + state.seekHigh) / 2) : state.seekLow
    const recordsMax = isSeeking ? 1 : PAGE_RECORDS_MAX
    return {
      kind: OwnerEffectKind.Read, shard: state.shard, ticket, stream: onceStream(state.shard), fromOffset, recordsMax
    }
  }

  const append = (state: OwnerShard, bindings: BindingItem[]): OwnerEffect => {
    const ticket = state.appendTicket = ++lastTicket
    state.appendItems = bindings
    lastAppendsMs.set(state.shard, clock.nowMs())
    return {
      kind: OwnerEffectKind.Append, shard: state.shard, ticket, stream: onceStream(state.shard), record: { bindings }
    }
  }

  /** Sends the replies that are due and starts the next log operation, at most one read and one append at a time. */
  const advance = (state: OwnerShard, effects: OwnerEffect[] = []): OwnerEffect[] => {
    const items = resolveWaiting(state, effects)
    const nowMs = clock.nowMs()
    if (nowMs < state.retryMs || state.readTicket !== undefined) return effects
    if (state.phase !== ShardPhase.Ready || state.mustReadEnd || state.nextOffset <= state.targetOffset) {
      effects.push(readNext(state))
      return effects
    }
    const nextAppendMs = (lastAppendsMs.get(state.shard) ?? Number.NEGATIVE_INFINITY) + APPEND_INTERVAL_MS
    const mayAppend = state.appendTicket === undefined && nowMs >= nextAppendMs
    if (mayAppend && items.length > 0) effects.push(append(state, items))
    return effects
  }

  const recordLogFailure = (state: OwnerShard) => {
    state.failureCount += 1
    state.isLogUnavailable = true
    state.retryMs = clock.nowMs() + Math.min(LOG_RETRY_MAX_MS, APPEND_INTERVAL_MS * 2 ** Math.min(state.failureCount, 10))
  }

  const recordLogSuccess = (state: OwnerShard) => {
    state.failureCount = 0
    state.isLogUnavailable = false
  }

  const windowStartMs = (): TimestampMs => clock.nowMs() - longestWindowMs - 4 * CLOCK_SKEW_MARGIN_MS

  const startReading = (state: OwnerShard, nextOffset: number, page: LogPage) => {
    state.phase = ShardPhase.Reading
    state.nextOffset = nextOffset
    // All records up to the current end of the log must be read before the first bind.
    state.targetOffset = Math.max(state.targetOffset, page.nextOffset - 1)
  }

  const onSeekPage = (state: OwnerShard, page: LogPage) => {
    if (!Number.isFinite(state.seekHigh)) {
      state.seekLow = page.firstOffset
      state.seekHigh = page.nextOffset
      // A range of at most one page costs no more to read than to bisect.
      if (page.nextOffset - page.firstOffset <= PAGE_RECORDS_MAX) startReading(state, 1, page)
      return
    }
    const record = page.records[0]
    if (record !== undefined && record.timeMs < windowStartMs()) state.seekLow = record.offset
    else state.seekHigh = Math.floor((state.seekLow + state.seekHigh) / 2)
    if (state.seekHigh - state.seekLow > PAGE_RECORDS_MAX) return
    // Reading from offset 1 reports a truncated stream as a gap, because records of the window may be missing.
    startReading(state, state.seekLow <= page.firstOffset ? 1 : state.seekLow, page)
  }

  const handleLogGap = (state: OwnerShard, page: LogPage, effects: OwnerEffect[]) => {
    const knownSinceMs = page.records[0]?.timeMs ?? clock.nowMs()
    state.nextOffset = Math.max(state.nextOffset, page.firstOffset)
    if (knownSinceMs <= windowStartMs() || !rules.refusesForgottenKeys) return
    state.table.recordGap(knownSinceMs)
    effects.push({ kind: OwnerEffectKind.RetentionTooShort, shard: state.shard, floorMs: state.table.floorMs })
  }

  const onRecords = (state: OwnerShard, page: LogPage, effects: OwnerEffect[]) => {
    if (page.firstOffset > state.nextOffset) handleLogGap(state, page, effects)
    for (const record of page.records) {
      if (record.offset !== state.nextOffset) continue
      state.table.apply(record)
      state.nextOffset += 1
    }
    const isAtEnd = state.nextOffset >= page.nextOffset
    if (isAtEnd) state.mustReadEnd = false
    if (isAtEnd && state.targetOffset >= state.nextOffset) {
      state.targetOffset = state.nextOffset - 1
      // An entry may name an offset that is not readable yet; wait before the next read instead of polling in a loop.
      state.retryMs = clock.nowMs() + APPEND_INTERVAL_MS
    }
    if (state.nextOffset > state.targetOffset) state.phase = ShardPhase.Ready
  }

  const onPageRead = (
    { shard, ticket, page }: Extract<OwnerMessage, { kind: OwnerMessageKind.PageRead }>
  ): OwnerEffect[] => {
    const state = shards.get(shard)
    if (state === undefined || state.readTicket !== ticket) return []
    state.readTicket = undefined
    recordLogSuccess(state)
    const effects: OwnerEffect[] = []
    if (state.phase === ShardPhase.Seeking) onSeekPage(state, page)
    else onRecords(state, page, effects)
    return advance(state, effects)
  }

  const onReadFailed = ({ shard, ticket }: { shard: number, ticket: number }): OwnerEffect[] => {
    const state = shards.get(shard)
    if (state === undefined || state.readTicket !== ticket) return []
    state.readTicket = undefined
    recordLogFailure(state)
    return []
  }

  const onAppendDone = (
    { shard, ticket, offset }: Extract<OwnerMessage, { kind: OwnerMessageKind.AppendDone }>
  ): OwnerEffect[] => {
    const state = shards.get(shard)
    if (state === undefined || state.appendTicket !== ticket) return []
    state.appendTicket = undefined
    recordLogSuccess(state)
    if (!rules.readsBeforeReply) {
      state.table.apply({ offset, timeMs: clock.nowMs(), body: { bindings: state.appendItems } })
      state.nextOffset = Math.max(state.nextOffset, offset + 1)
    }
    state.targetOffset = Math.max(state.targetOffset, offset)
    return advance(state)
  }

  const onAppendFailed = ({ shard, ticket }: { shard: number, ticket: number }): OwnerEffect[] => {
    const state = shards.get(shard)
    if (state === undefined || state.appendTicket !== ticket) return []
    state.appendTicket = undefined
    recordLogFailure(state)
    // The record may have been appended all the same; reading to the end of the log usually avoids a second append.
    state.mustReadEnd = true
    return []
  }

  const onBindRequested = (
    { from, request }: Extract<OwnerMessage, { kind: OwnerMessageKind.BindRequested }>
  ): OwnerEffect[] => {
    const waiting = { from, request, expiresMs: clock.nowMs() + BIND_WAIT_MAX_MS }
    const state = shards.get(request.shard)
    if (state === undefined) return [replyWithCode(waiting, ResultCode.BindingUnavailable)]
    const earlier = state.waiting.get(request.requestId)
    if (earlier === undefined && state.waiting.size >= queueMax) return [replyWithCode(waiting, ResultCode.BindingUnavailable)]
    // A retried request keeps its original expiry, so that a log outage is reported in time.
    state.waiting.set(request.requestId, { ...waiting, expiresMs: earlier?.expiresMs ?? waiting.expiresMs })
    return advance(state)
  }

  const onShardGained = ({ shard }: { shard: number }): OwnerEffect[] => {
    if (shards.has(shard)) return []
    const table = createBindingTable({
      clock, windowMs: longestWindowMs, bindingsMax, requiresNamedOffset: rules.rebindNamesBinding
    })
    const state = getDefaultOwnerShard(shard, table)
    shards.set(shard, state)
    return advance(state)
  }

  const onShardLost = ({ shard }: { shard: number }): OwnerEffect[] => {
    const state = shards.get(shard)
    shards.delete(shard)
    return [...state?.waiting.values() ?? []].map(waiting => replyWithCode(waiting, ResultCode.BindingUnavailable))
  }

  const onTick = (): OwnerEffect[] => {
    const nowMs = clock.nowMs()
    const effects: OwnerEffect[] = []
    for (const state of shards.values()) {
      state.table.forgetExpired()
      for (const [id, waiting] of state.waiting) {
        if (nowMs < waiting.expiresMs) continue
        state.waiting.delete(id)
        effects.push(replyWithCode(waiting, state.isLogUnavailable ? ResultCode.LogUnavailable : ResultCode.BindingUnavailable))
      }
      advance(state, effects)
    }
    return effects
  }

  const onWindowChanged = ({ windowMs: changedMs }: { windowMs: number }): OwnerEffect[] => {
    longestWindowMs = changedMs
    for (const { table } of shards.values()) table.setWindow(changedMs)
    return []
  }

  const handlers: HandlerTable<OwnerMessage, OwnerEffect[]> = {
    [OwnerMessageKind.ShardGained]: onShardGained,
    [OwnerMessageKind.ShardLost]: onShardLost,
    [OwnerMessageKind.BindRequested]: onBindRequested,
    [OwnerMessageKind.PageRead]: onPageRead,
    [OwnerMessageKind.ReadFailed]: onReadFailed,
    [OwnerMessageKind.AppendDone]: onAppendDone,
    [OwnerMessageKind.AppendFailed]: onAppendFailed,
    [OwnerMessageKind.WindowChanged]: onWindowChanged,
    [OwnerMessageKind.Tick]: onTick
  }

  return { handle: message => dispatch(handlers, message) }
}
