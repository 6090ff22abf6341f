import { beforeEach, describe, expect, it } from 'vitest'
import { createManualClock, type ManualClock } from '../core/index.js'
import { ANSWERED_PART_WEIGHT, REQUEST_WEIGHT, SINGLE_CRASH_BLOCK_MS, UNANSWERED_PART_WEIGHT } from './attributeCrashes.js'
import {
  CRASH_CONFIRM_MS, CRASH_KEEP_MS, CRASH_REPORT_MAX, CRASHED_TRAITS_MAX, createCrashRecord, type CrashRecord, EVALUATION_KEEP_MS, isSameCrashReport
} from './createCrashRecord.js'
import { fingerprintRequest, partTraits, requestTrait, type Trait, traitsOf } from './requestTraits.js'

const run = (at: number) => ({ workerId: `w${at}`, startedAtUnixMs: 1 })
const STEP_MS = 100
const request: Trait = 'request/f'
const part: Trait = 'part/m/a'
const other: Trait = 'part/m/b'

describe('crash record', () => {
  let clock: ManualClock
  let record: CrashRecord

  beforeEach(() => {
    clock = createManualClock(0)
    record = createCrashRecord({ clock })
  })

  const lose = (at: number, traits: readonly Trait[]) => record.recordLost(run(at), { traits, sentAtMs: clock.nowMs() - 1, hasHead: false })

  /** One worker crashes while requests with these traits wait for their answers. */
  const crash = (at: number, ...requests: Trait[][]) => {
    clock.advance(STEP_MS)
    for (const traits of requests) lose(at, traits)
    return record.recordDown(run(at))
  }

  const crashTimes = (count: number, ...requests: Trait[][]) => {
    for (let at = 1; at <= count; at++) crash(at, ...requests)
  }

  const isBlocked = (...traits: Trait[]) => record.findBlocked(traits) !== undefined

  it('blocks a request after its third crash, and not before', () => {
    crashTimes(REQUEST_WEIGHT - 1, [request])
    expect(isBlocked(request)).toBe(false)
    crash(REQUEST_WEIGHT, [request])
    expect(isBlocked(request)).toBe(true)
    expect(isBlocked('request/other')).toBe(false)
  })

  it('blocks an unanswered part after its third crash without a head, and not before, although no two requests are alike', () => {
    for (let at = 1; at < UNANSWERED_PART_WEIGHT; at++) crash(at, [`request/${at}`, part])
    expect(isBlocked('request/9', part)).toBe(false)
    crash(UNANSWERED_PART_WEIGHT, ['request/8', part])
    expect(isBlocked('request/9', part)).toBe(true)
    expect(isBlocked('request/9', other)).toBe(false)
  })

  it('needs one more crash for a part that workers answered before', () => {
    record.recordAnswer([part])
    crashTimes(ANSWERED_PART_WEIGHT - 1, [part])
    expect(isBlocked(part)).toBe(false)
    crash(ANSWERED_PART_WEIGHT, [part])
    expect(isBlocked(part)).toBe(true)
  })

  it('blocks an unanswered part after one crash right after the head of its response, for a limited time', () => {
    clock.advance(STEP_MS)
    record.recordLost(run(1), { traits: ['request/1', part], sentAtMs: clock.nowMs() - 1, hasHead: true })
    lose(1, ['request/2', other])
    record.recordDown(run(1))
    expect(record.blocked()).toEqual([[part]])
    clock.advance(SINGLE_CRASH_BLOCK_MS + EVALUATION_KEEP_MS)
    expect(record.blocked()).toEqual([])
    crash(2, [part])
    clock.advance(SINGLE_CRASH_BLOCK_MS + EVALUATION_KEEP_MS)
    expect(record.blocked()).toEqual([[part]])
  })

  it('does not block an answered part after one crash right after the head of its response', () => {
    record.recordAnswer([part])
    clock.advance(STEP_MS)
    record.recordLost(run(1), { traits: [part], sentAtMs: clock.nowMs() - 1, hasHead: true })
    record.recordDown(run(1))
    expect(record.blocked()).toEqual([])
  })

  // Guards against blocking because of connections lost in the network.
  it('does not count a lost response of a worker that stays up', () => {
    for (let at = 1; at <= REQUEST_WEIGHT; at++) lose(at, [request, part])
    clock.advance(CRASH_CONFIRM_MS + 1)
    for (let at = 1; at <= REQUEST_WEIGHT; at++) expect(record.recordDown(run(at))).toEqual([])
    expect(isBlocked(request, part)).toBe(false)
  })

  it('counts each run of a worker once, and its next run again', () => {
    crash(1, [request])
    expect(crash(1, [request])).toEqual([])
    record.recordLost({ workerId: 'w1', startedAtUnixMs: 2 }, { traits: [request], sentAtMs: clock.nowMs(), hasHead: false })
    expect(record.recordDown({ workerId: 'w1', startedAtUnixMs: 2 })).toEqual([request])
  })

  // Guards against blocking what was in flight at many workers when their rack lost power.
  it('counts workers that crash together once', () => {
    for (let at = 1; at <= 5; at++) lose(at, [part])
    for (let at = 1; at <= 5; at++) record.recordDown(run(at))
    crash(6, [part])
    expect(isBlocked(part)).toBe(false)
    crash(7, [part])
    expect(isBlocked(part)).toBe(true)
  })

  // Guards against blocking frequent requests that happened to be in flight during many crashes.
  it('clears traits that get an answer, also of crashes that peers report later', () => {
    crashTimes(REQUEST_WEIGHT - 1, [request, part])
    expect(record.recordAnswer([request, part])).toEqual([request, part])
    expect(record.mergePeerReport({ crashes: { [part]: [['w1/1', 150, 100, false], ['w2/1', 60, 50, false]], [request]: [['w1/1', 150, 100, false]] }, answeredAgoMs: {} })).toBe(true)
    crash(REQUEST_WEIGHT, [request, part])
    expect(isBlocked(request, part)).toBe(false)
    expect(Object.values(record.createReport().crashes).map(crashes => crashes.length)).toEqual([1, 1])
  })

  it('does not block what only waited beside a part that crashed the workers', () => {
    record.recordAnswer([other])
    crash(1, ['request/1', part], ['request/2', other])
    crash(2, ['request/3', part], ['request/4', other], ['request/5', 'part/m/c'])
    crash(3, ['request/6', part], ['request/7', other], ['request/8', 'part/m/c'])
    expect(record.blocked()).toEqual([[part]])
  })

  // Guards against refusing all requests that share the first part of their prompts with those that crash workers.
  it('blocks only requests with both of two parts that fit the same crashes, until one of them is answered', () => {
    crashTimes(UNANSWERED_PART_WEIGHT, [part, other])
    expect([isBlocked(part), isBlocked(other), isBlocked(part, other)]).toEqual([false, false, true])
    record.recordAnswer([other])
    expect([isBlocked(part), isBlocked(other)]).toEqual([true, false])
  })

  it('blocks two parts that crash workers one after the other, or in turn', () => {
    for (let at = 1; at <= 2 * UNANSWERED_PART_WEIGHT; at++) crash(at, [at % 2 === 0 ? part : other])
    expect(record.blocked().flat().sort()).toEqual([part, other])
  })

  it('merges the crashes and answers of several entries', () => {
    crash(1, [part])
    clock.advance(STEP_MS)
    record.mergePeerReport({ crashes: { [part]: [['w1/1', 101, 100, false]] }, answeredAgoMs: {} })
    record.mergePeerReport({ crashes: { [part]: [['w3/1', 60, 50, false]] }, answeredAgoMs: {} })
    expect(isBlocked(part)).toBe(false)
    record.mergePeerReport({ crashes: { [part]: [['w2/1', 20, 10, false]] }, answeredAgoMs: {} })
    expect(isBlocked(part)).toBe(true)
    record.mergePeerReport({ crashes: {}, answeredAgoMs: { [part]: 5 } })
    expect(isBlocked(part)).toBe(false)
  })

  // Guards against entries that disagree because a report was rounded, or an earlier one delayed.
  it.each([['at once', [0]], ['with a delay', [3, 0]]])('counts a retry that leaves right after the crash before it at a peer that learns of it %s', (_when, delaysMs) => {
    const peerClock = createManualClock(0)
    const peer = createCrashRecord({ clock: peerClock })
    crash(9, [part])
    clock.advance(STEP_MS)
    lose(1, [part])
    record.recordDown(run(1))
    const reports = [record.createReport()]
    clock.advance(0.2)
    record.recordLost(run(2), { traits: [part], sentAtMs: clock.nowMs(), hasHead: false })
    clock.advance(0.2)
    record.recordDown(run(2))
    reports.push(record.createReport())
    reports.slice(-delaysMs.length).forEach((report, at) => {
      peerClock.set(1_000 + (at === 0 ? 0 : 0.4) + delaysMs[at]!)
      peer.mergePeerReport(report)
    })
    expect([record, peer].map(({ blocked }) => blocked())).toEqual([[[part]], [[part]]])
  })

  // Guards against blocking what happened to be at an unrelated crash, although another entry saw it answered before.
  it('has an answer to tell when it learns of a crash, once', () => {
    record.recordAnswer([part])
    clock.advance(STEP_MS)
    const report = { crashes: { [part]: [['w1/1', 20, 10, true] as const] }, answeredAgoMs: {} }
    expect([record.mergePeerReport(report), record.mergePeerReport(report)]).toEqual([true, false])
    const suspicious = createCrashRecord({ clock })
    suspicious.mergePeerReport(report)
    expect(suspicious.blocked()).toEqual([[part]])
    suspicious.mergePeerReport(record.createReport())
    expect(suspicious.blocked()).toEqual([])
  })

  it('passes blocked traits on in its report, so that an entry that starts later blocks them too', () => {
    crashTimes(UNANSWERED_PART_WEIGHT, [part])
    for (let at = 0; at < 2 * CRASH_REPORT_MAX; at++) crash(100 + at, [`part/m/x${at}`])
    const later = createCrashRecord({ clock })
    later.mergePeerReport(record.createReport())
    expect(later.findBlocked([part])).toEqual([part])
    expect(isSameCrashReport(record.createReport(), createCrashRecord({ clock }).createReport())).toBe(false)
  })

  it('expires crashes and keeps a bounded number of traits', () => {
    crashTimes(REQUEST_WEIGHT, [request])
    clock.advance(CRASH_KEEP_MS + 1)
    expect(isBlocked(request)).toBe(false)
    for (let at = 0; at <= CRASHED_TRAITS_MAX; at++) crash(1_000 + at, [`request/g${at}`])
    expect(Object.keys(record.createReport().crashes)).toHaveLength(CRASH_REPORT_MAX)
    record.mergePeerReport({ crashes: { 'request/g0': [['a', 50, 40, false], ['b', 30, 20, false]] }, answeredAgoMs: {} })
    expect(isBlocked('request/g0')).toBe(false)
  })
})

describe('traits of a request', () => {
  const content = { method: 'POST', path: '/a', tenant: 't', body: Buffer.from('b'), model: 'm', promptParts: ['1', '2', '1'] }

  it('have a fingerprint that is equal for equal requests and depends on each part', () => {
    const baseFingerprint = fingerprintRequest(content)
    expect(fingerprintRequest({ ...content })).toBe(baseFingerprint)
    const variants = [{ method: 'PUT' }, { path: '/b' }, { tenant: undefined }, { body: Buffer.from('c') }]
    expect(new Set([baseFingerprint, ...variants.map(part => fingerprintRequest({ ...content, ...part }))]).size).toBe(5)
  })

  it('are the whole request and each part of the prompt, bound to the model', () => {
    expect(traitsOf(content)).toEqual([requestTrait(content), 'part/m/1', 'part/m/2'])
    expect(partTraits({ ...content, model: 'n' })).toEqual(['part/n/1', 'part/n/2'])
  })
})
