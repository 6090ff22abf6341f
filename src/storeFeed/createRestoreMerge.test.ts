import { beforeEach, describe, expect, it } from 'vitest'
import { createManualClock, type ManualClock } from '../core/index.js'
import { REMOVED_KEEP_MS } from './constants.js'
import { createRestoreMerge, type RestoreMerge } from './createRestoreMerge.js'
import type { KeyedRecord } from './types.js'

/** Record whose value is its order. */
const record = (key: string, order: number | undefined, era = 1, offset = 1): KeyedRecord =>
  ({ key, value: order === undefined ? undefined : Buffer.from(String(order)), era, offset })

describe('records of a store that came back from an older copy', () => {
  let clock: ManualClock
  let memory: RestoreMerge

  const create = (keepsLostKeys: boolean) => createRestoreMerge({
    clock, orderOf: ({ value }) => String(value) === 'odd' ? undefined : [Number(String(value))], keepsLostKeys
  })
  beforeEach(() => {
    clock = createManualClock(0)
    memory = create(false)
  })

  it('are replaced by newer ones that the store has lost, whatever their offsets', () => {
    memory.observe([record('a', 8, 1, 90), record('b', 3, 1, 91)])
    expect(memory.merge([record('a', 7, 2, 1), record('b', 4, 2, 2), record('c', 1, 2, 3)]))
      .toEqual([record('a', 8, 1, 90), record('b', 4, 2, 2), record('c', 1, 2, 3)])
  })

  it('are left out if their key was removed after they were written', () => {
    memory.observe([record('a', 8), record('b', 8)])
    memory.observe([record('a', undefined), record('b', undefined)])
    expect(memory.merge([record('a', 8, 2), record('b', 9, 2)])).toEqual([record('b', 9, 2)])
  })

  it('count again once the removal is long ago', () => {
    memory.observe([record('a', 8)])
    memory.observe([record('a', undefined)])
    clock.advance(REMOVED_KEEP_MS + 1)
    memory.observe([])
    expect(memory.merge([record('a', 8, 2)])).toEqual([record('a', 8, 2)])
  })

  it('include keys that the store has lost only where no one writes them again', () => {
    memory.observe([record('a', 8)])
    expect(memory.merge([])).toEqual([])
    memory = create(true)
    memory.observe([record('a', 8), record('b', 1)])
    memory.observe([record('b', undefined)])
    expect(memory.merge([])).toEqual([record('a', 8)])
  })

  it('stay as they are if they tell no order', () => {
    const odd = { ...record('a', 1, 2), value: Buffer.from('odd') }
    memory.observe([record('a', 8), odd])
    expect(memory.merge([odd])).toEqual([odd])
  })
})
