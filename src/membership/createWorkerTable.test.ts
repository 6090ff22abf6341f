import { beforeEach, describe, expect, it } from 'vitest'
import { createManualClock, type ManualClock } from '../core/index.js'
import { createWorkerTable, MISSING_USE_MS, REGAINED_GRACE_MS, type WorkerEntry, type WorkerTable } from './createWorkerTable.js'

const entry = (workerId: string, overrides: Partial<WorkerEntry> = {}): WorkerEntry => ({
  workerId, startedAtUnixMs: 1, service: 's', address: `10.0.0.${workerId}:80`, zone: 'a', slots: 8, isDraining: false, ...overrides
})

describe('workers as the store shows them', () => {
  let clock: ManualClock
  let table: WorkerTable

  beforeEach(() => {
    clock = createManualClock(10_000)
    table = createWorkerTable({ clock })
    table.replaceAll([entry('1'), entry('2')])
  })

  const usableIds = () => table.usable('s').map(({ workerId }) => workerId)

  it('sends nothing to a worker from the moment it says that it is leaving', () => {
    table.put(entry('1', { isDraining: true }))
    expect(usableIds()).toEqual(['2'])
    table.remove('1')
    expect(table.get('1')).toBeUndefined()
  })

  it('sends nothing to a worker whose entry is removed while others serve', () => {
    table.remove('1')
    expect(usableIds()).toEqual(['2'])
  })

  // Guards against an outage of the store in which all entries lapse and the service is taken as gone.
  it('uses workers whose entries are gone as the last resort, until their time is up', () => {
    table.replaceAll([])
    expect(usableIds()).toEqual(['1', '2'])
    clock.advance(MISSING_USE_MS + 1)
    table.tick()
    expect(usableIds()).toEqual([])
  })

  it('keeps them longer after the store has returned, and takes them back', () => {
    table.noteStoreRegained()
    table.replaceAll([])
    clock.advance(MISSING_USE_MS + 1)
    table.tick()
    expect(usableIds()).toEqual(['1', '2'])
    table.put(entry('2'))
    clock.advance(REGAINED_GRACE_MS)
    table.tick()
    expect(usableIds()).toEqual(['2'])
  })

  it('shows a worker that started again under its id', () => {
    expect(table.put(entry('1'))).toEqual([])
    expect(table.put(entry('1', { startedAtUnixMs: 2 }))).toMatchObject([{ workerId: '1', startedAtUnixMs: 1, isRunOver: true }])
  })
})
