import { type Clock, dispatch, type HandlerTable, type LogRecord, type TimestampMs } from '../core/index.js'
import { BindingKind, CLOCK_SKEW_MARGIN_MS } from './constants.js'
import { createKeyFloor, createKeyTimeIndex } from './keyTimeIndex.js'
import type { Binding, BindingItem, BindingRecord } from './types.js'

/** Bindings of one shard, derived from the log. */
export interface BindingTable {
  get (scopedKey: string): Binding | undefined
  /** Applies the next record of the stream; records must be applied in log order. */
  apply (record: LogRecord): void
  /** Records before `timeMs`, by the log's clock, can no longer be read. */
  recordGap (timeMs: TimestampMs): void
  /** Removes keys that are older than the window. */
  forgetExpired (): void
  setWindow (windowMs: number): void
  /** Keys older than this are refused, because the table may not have their bindings. */
  readonly floorMs: TimestampMs
  readonly size: number
}

/**
 * Creates the table. The first bind of a key is in effect until a rebind names its offset; that rebind is
 * then in effect, and so on. All readers of the same records derive the same bindings.
 *
 * @example
 * const table = createBindingTable({ clock, windowMs: 600_000, bindingsMax: 50_000 })
 * for (const record of page.records) table.apply(record)
 */
export const createBindingTable = (
  { clock, windowMs, bindingsMax, requiresNamedOffset = true }:
  { clock: Clock, windowMs: number, bindingsMax: number, requiresNamedOffset?: boolean }
): BindingTable => {
  const bindings = new Map<string, Binding>()
  const index = createKeyTimeIndex()
  const floor = createKeyFloor(clock, windowMs)
  floor.advance()

  const trimToLimit = () => {
    while (bindings.size > bindingsMax) {
      const oldest = index.removeOldest()
      if (oldest === undefined) return
      // Evicted keys must be refused from now on; otherwise a later bind would look like the first one.
      floor.raise(oldest.endMs)
      for (const scopedKey of oldest.scopedKeys) bindings.delete(scopedKey)
    }
  }

  /** Offset of the record being applied. */
  let offset = 0
  const handlers: HandlerTable<BindingItem, void> = {
    [BindingKind.Bind]: ({ scopedKey, keyTimeMs, agent, fingerprint }) => {
      if (bindings.has(scopedKey)) return
      bindings.set(scopedKey, { offset, agent, fingerprint })
      index.add(scopedKey, keyTimeMs)
    },
    [BindingKind.Rebind]: ({ scopedKey, agent, supersededOffset }) => {
      const binding = bindings.get(scopedKey)
      if (binding === undefined || binding.offset === offset) return
      if (requiresNamedOffset && binding.offset !== supersededOffset) return
      bindings.set(scopedKey, { ...binding, offset, agent })
    }
  }

  return {
    get: scopedKey => bindings.get(scopedKey),
    apply: record => {
      const { bindings: items } = record.body as BindingRecord
      offset = record.offset
      for (const item of items) if (item.keyTimeMs >= floor.floorMs) dispatch(handlers, item)
      trimToLimit()
    },
    // A key may be bound up to one margin before its own time, by an owner whose clock is off the log's by another one.
    recordGap: timeMs => floor.raise(timeMs + 2 * CLOCK_SKEW_MARGIN_MS),
    forgetExpired: () => {
      floor.advance()
      for (const scopedKey of index.removeBefore(floor.floorMs)) bindings.delete(scopedKey)
    },
    setWindow: floor.setWindow,
    get floorMs () { return floor.floorMs },
    get size () { return bindings.size }
  }
}
