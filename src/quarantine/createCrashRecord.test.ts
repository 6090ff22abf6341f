import { beforeEach, describe, expect, it } from 'vitest'
import { createManualClock, type ManualClock } from '../core/index.js'
import {
  CRASH_CONFIRM_MS, CRASH_FINGERPRINTS_MAX, CRASH_KEEP_MS, CRASH_REPORT_MAX, CRASHES_MAX, createCrashRecord, type CrashRecord, fingerprintRequest
} from './createCrashRecord.js'

const run = (at: number) => ({ workerId: `w${at}`, startedAtUnixMs: 1 })

describe('crash record', () => {
  let clock: ManualClock
  let record: CrashRecord

  beforeEach(() => {
    clock = createManualClock(0)
    record = createCrashRecord({ clock })
  })

  const crash = (fingerprint: string, at: number) => {
    record.recordLost(run(at), fingerprint)
    return record.recordDown(run(at))
  }

  it('blocks a request after its third crash, and not before', () => {
    for (let at = 1; at < CRASHES_MAX; at++) crash('f', at)
    expect(record.isBlocked('f')).toBe(false)
    crash('f', CRASHES_MAX)
    expect(record.isBlocked('f')).toBe(true)
    expect(record.isBlocked('other')).toBe(false)
  })

  // Guards against blocking a request because of connections lost in the network.
  it('does not count a lost response of a worker that stays up', () => {
    for (let at = 1; at <= CRASHES_MAX; at++) record.recordLost(run(at), 'f')
    clock.advance(CRASH_CONFIRM_MS + 1)
    for (let at = 1; at <= CRASHES_MAX; at++) expect(record.recordDown(run(at))).toEqual([])
    expect(record.isBlocked('f')).toBe(false)
  })

  it('counts each run of a worker once, and its next run again', () => {
    crash('f', 1)
    expect(crash('f', 1)).toEqual([])
    record.recordLost({ workerId: 'w1', startedAtUnixMs: 2 }, 'f')
    expect(record.recordDown({ workerId: 'w1', startedAtUnixMs: 2 })).toEqual(['f'])
  })

  // Guards against blocking frequent requests that happened to be in flight during many crashes.
  it('clears a request that gets a response, also of crashes that peers report later', () => {
    for (let at = 1; at < CRASHES_MAX; at++) crash('f', at)
    record.recordResponse('f')
    record.mergePeerCrashes({ f: ['w1/1', 'w2/1'] })
    crash('f', CRASHES_MAX)
    expect(record.isBlocked('f')).toBe(false)
    expect(record.newestCrashes()).toEqual({ f: [`w${CRASHES_MAX}/1`] })
  })

  it('merges the crashes observed by several entries', () => {
    crash('f', 1)
    record.mergePeerCrashes({ f: ['w2/1', 'w1/1'] })
    expect(record.isBlocked('f')).toBe(false)
    record.mergePeerCrashes({ f: ['w3/1'] })
    expect(record.isBlocked('f')).toBe(true)
  })

  it('expires crashes and keeps a bounded number of fingerprints', () => {
    for (let at = 1; at <= CRASHES_MAX; at++) crash('f', at)
    clock.advance(CRASH_KEEP_MS + 1)
    expect(record.isBlocked('f')).toBe(false)
    for (let at = 0; at <= CRASH_FINGERPRINTS_MAX; at++) crash(`g${at}`, 1_000 + at)
    expect(Object.keys(record.newestCrashes())).toHaveLength(CRASH_REPORT_MAX)
    record.mergePeerCrashes({ g0: ['a', 'b'] })
    expect(record.isBlocked('g0')).toBe(false)
  })
})

describe('request fingerprint', () => {
  const request = { method: 'POST', path: '/a', tenant: 't', body: Buffer.from('b') }

  it('is equal for equal requests and depends on each part', () => {
    const baseFingerprint = fingerprintRequest(request)
    expect(fingerprintRequest({ ...request })).toBe(baseFingerprint)
    const variants = [{ method: 'PUT' }, { path: '/b' }, { tenant: undefined }, { body: Buffer.from('c') }]
    expect(new Set([baseFingerprint, ...variants.map(part => fingerprintRequest({ ...request, ...part }))]).size).toBe(5)
  })
})
