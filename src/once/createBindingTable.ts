import { type Clock, dispatch, type HandlerTable, type TimestampMs } from '../core/index.js'
import type { LogRecord } from '../clients/index.js'
import { BindingKind, CLOCK_SKEW_MARGIN_MS } from './constants.js'
import { createKeyFloor, createKeyTimeIndex } from './keyTimeIndex.js'
import type { Binding, BindingItem, BindingRecord } from './types.js'

/** Bindings of one shard as they follow from the log. */
export interface BindingTable {
  get (scopedKey: string): Binding | undefined
  /** Applies the next record of the stream; records must be applied in the order of the log. */
  apply (record: LogRecord): void
  /** Records before `timeMs` of the log can't be read. */
  noteGap (timeMs: TimestampMs): void
  /** Forgets keys beyond the window. */
  forget (): void
  setWindow (windowMs: number): void
  /** Keys older than this are refused, as their binding may be unknown here. */
  readonly floorMs: TimestampMs
  readonly size: number
}

/**
 * Creates the table. The binding in effect is the first one, or a later rebind that names the
 * offset of the binding in effect. All readers of the same records reach the same bindings.
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
  floor.follow()

  const trim = () => {
    while (bindings.size > bindingsMax) {
      const oldest = index.takeOldest()
      if (oldest === undefined) return
      // Dropped keys must be refused from now on, otherwise a later bind would look like the first one.
      floor.raise(oldest.endMs)
      for (const scopedKey of oldest.scopedKeys) bindings.delete(scopedKey)
    }
  }

  /** Offset of the record that is being applied. */
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
      trim()
    },
    // A key may be bound up to one margin before its own time, by an owner one margin off the log's clock.
    noteGap: timeMs => floor.raise(timeMs + 2 * CLOCK_SKEW_MARGIN_MS),
    forget: () => {
      floor.follow()
      for (const scopedKey of index.takeBefore(floor.floorMs)) bindings.delete(scopedKey)
    },
    setWindow: floor.setWindow,
    get floorMs () { return floor.floorMs },
    get size () { return bindings.size }
  }
}
