import { beforeEach, describe, expect, it } from 'vitest'
import { createManualClock, createRandom, type LogPosition, type ManualClock } from '../core/index.js'
import {
  ENTRY_FAILURES_MAX, PEER_AHEAD_JITTER_MS, PEER_AHEAD_LIMIT_MS, READ_BATCH_DELAY_MS, READ_WAIT_MAX_MS, RETRY_DELAY_MAX_MS, SourceKind, STORE_DISTRUST_MS, StoreCallReason
} from './constants.js'
import { createTopicFollower } from './createTopicFollower.js'
import { type FeedEffect, FeedEffectKind, FeedMessageKind, ListedState, type TopicFollower } from './followerTypes.js'
import type { KeyedRecord, RecordSource } from './types.js'

const STORE: RecordSource = { kind: SourceKind.Store }
const entryAt = (address: string): RecordSource => ({ kind: SourceKind.Entry, address })
const at = (offset: number, era = 1): LogPosition => ({ era, offset })
const record = (key: string, offset: number, era = 1): KeyedRecord => ({ key, value: Buffer.from('v'), era, offset })

describe('topic follower', () => {
  let clock: ManualClock
  let follower: TopicFollower
  let source: RecordSource | undefined

  beforeEach(() => {
    clock = createManualClock(1_000)
    source = STORE
    follower = createTopicFollower({ clock, random: createRandom(1), source: () => source })
  })

  const callOf = (effects: readonly FeedEffect[]) =>
    effects.find(effect => effect.kind === FeedEffectKind.List || effect.kind === FeedEffectKind.Read)!
  const tickAfter = (durationMs: number) => {
    clock.advance(durationMs)
    return follower.handle({ kind: FeedMessageKind.Tick })
  }
  const listed = (end = 5) => {
    const { callId } = callOf(follower.handle({ kind: FeedMessageKind.Started }))
    return follower.handle({ kind: FeedMessageKind.Listed, callId, records: [record('a', end - 1)], end: at(end) })
  }

  it('lists once, then reads from the end of the list', () => {
    expect(listed()).toMatchObject([{ kind: FeedEffectKind.ReplaceAll }, { kind: FeedEffectKind.Read, from: at(5) }])
  })

  it('fetches records that arrive in quick succession with one call', () => {
    const { callId } = callOf(listed())
    const effects = follower.handle({ kind: FeedMessageKind.RecordsRead, callId, records: [record('a', 5)], end: at(6) })
    expect(effects).toMatchObject([{ kind: FeedEffectKind.Apply }])
    expect(tickAfter(READ_BATCH_DELAY_MS - 10)).toEqual([])
    expect(tickAfter(20)).toMatchObject([{ kind: FeedEffectKind.Read, from: at(6) }])
  })

  it('lists again when the records to read next have expired', () => {
    const { callId } = callOf(listed())
    expect(follower.handle({ kind: FeedMessageKind.RecordsExpired, callId })).toMatchObject([{ kind: FeedEffectKind.List }])
  })

  it('lists again when the end offset is lower than before', () => {
    const { callId } = callOf(listed())
    expect(follower.handle({ kind: FeedMessageKind.RecordsRead, callId, records: [], end: at(2) })).toMatchObject([{ kind: FeedEffectKind.List }])
  })

  it('reports an outage once, and the recovery of the store', () => {
    const { callId } = callOf(listed())
    expect(follower.handle({ kind: FeedMessageKind.CallFailed, callId, reason: 'reset' })).toMatchObject([{ kind: FeedEffectKind.StoreUnavailable }])
    const retriedRead = callOf(tickAfter(RETRY_DELAY_MAX_MS * 2))
    expect(retriedRead).toMatchObject({ kind: FeedEffectKind.Read, waitMs: 0 })
    expect(follower.handle({ kind: FeedMessageKind.CallFailed, callId: retriedRead.callId, reason: 'reset' })).toEqual([])
    const { callId: thirdId } = callOf(tickAfter(RETRY_DELAY_MAX_MS * 2))
    expect(follower.handle({ kind: FeedMessageKind.RecordsRead, callId: thirdId, records: [], end: at(5) }))
      .toMatchObject([{ kind: FeedEffectKind.StoreRecovered }, { kind: FeedEffectKind.Read }])
  })

  // Guards against a long poll that hangs on a broken connection while peers already have newer records.
  it('reads on a new connection when a peer has been ahead for too long', () => {
    const { callId } = callOf(listed())
    follower.handle({ kind: FeedMessageKind.PeerAhead, position: at(7) })
    expect(tickAfter(PEER_AHEAD_LIMIT_MS - 10)).toEqual([])
    expect(tickAfter(20)).toMatchObject([{ kind: FeedEffectKind.Abort, callId }, { kind: FeedEffectKind.Read, from: at(5) }])
  })

  it('does not consider a peer ahead that has read up to the same offset', () => {
    listed()
    follower.handle({ kind: FeedMessageKind.PeerAhead, position: at(5) })
    expect(tickAfter(PEER_AHEAD_LIMIT_MS * 2)).toEqual([])
  })

  it('ignores the response to a call that it has aborted', () => {
    const { callId } = callOf(listed())
    follower.handle({ kind: FeedMessageKind.ProcessResumed })
    expect(follower.handle({ kind: FeedMessageKind.RecordsRead, callId, records: [record('a', 5)], end: at(6) })).toEqual([])
  })

  it('lists again after a process pause', () => {
    listed()
    expect(follower.handle({ kind: FeedMessageKind.ProcessResumed }).at(-1)).toMatchObject({ kind: FeedEffectKind.List })
  })

  it('gives each long poll a timeout longer than its wait', () => {
    expect(callOf(listed())).toMatchObject({ kind: FeedEffectKind.Read })
    const read = callOf(listed()) as Extract<FeedEffect, { kind: FeedEffectKind.Read }>
    expect(read.waitMs).toBeLessThanOrEqual(READ_WAIT_MAX_MS)
    expect(read.timeoutMs).toBeGreaterThan(read.waitMs)
  })

  it('makes no call while no source is known', () => {
    source = undefined
    expect(follower.handle({ kind: FeedMessageKind.Started })).toEqual([])
    source = entryAt('e:1')
    expect(tickAfter(100)).toMatchObject([{ kind: FeedEffectKind.List, source }])
  })

  describe('that gets records from an entry', () => {
    beforeEach(() => { source = entryAt('reader:1') })

    it('lists and reads there, without a call to the store', () => {
      const effects = listed()
      expect(effects).toMatchObject([{ kind: FeedEffectKind.ReplaceAll, end: at(5) }, { kind: FeedEffectKind.Read, from: at(5), source }])
      const { callId } = callOf(effects)
      expect(follower.handle({ kind: FeedMessageKind.RecordsRead, callId, records: [record('a', 5)], end: at(6) }))
        .toMatchObject([{ kind: FeedEffectKind.Apply }, { kind: FeedEffectKind.Read, from: at(6), source }])
    })

    it('turns to the store after repeated failures, and to an entry again after that', () => {
      let { callId } = callOf(listed())
      for (let failures = 1; failures <= ENTRY_FAILURES_MAX; failures++) {
        expect(follower.handle({ kind: FeedMessageKind.CallFailed, callId, reason: 'reset' })).toMatchObject([{ kind: FeedEffectKind.EntryFailed, address: 'reader:1' }])
        const effects = tickAfter(RETRY_DELAY_MAX_MS * 2)
        callId = callOf(effects).callId
        if (failures < ENTRY_FAILURES_MAX) expect(effects).toMatchObject([{ kind: FeedEffectKind.Read, source }])
        else expect(effects).toMatchObject([{ kind: FeedEffectKind.Read, source: STORE, reason: StoreCallReason.EntriesFailed }])
      }
      expect(follower.handle({ kind: FeedMessageKind.RecordsRead, callId, records: [], end: at(5) })).toMatchObject([{ kind: FeedEffectKind.Read, source }])
    })

    // Guards against a zone that stays out of date because its reader is paused or cut off from the store.
    it('reads from the store itself, without waiting, when a peer has been ahead for too long', () => {
      const { callId } = callOf(listed())
      follower.handle({ kind: FeedMessageKind.PeerAhead, position: at(7) })
      expect(tickAfter(PEER_AHEAD_LIMIT_MS - 10)).toEqual([])
      expect(tickAfter(PEER_AHEAD_JITTER_MS + 20)).toMatchObject([
        { kind: FeedEffectKind.Abort, callId },
        { kind: FeedEffectKind.Read, from: at(5), waitMs: 0, source: STORE, reason: StoreCallReason.Behind }
      ])
    })

    // Guards against a process that has lost the store once and then relies on an entry that is cut off from it.
    it('reads from the store when a peer has been ahead for too long although it has lost the store before, again and again', () => {
      source = STORE
      const { callId } = callOf(listed())
      source = entryAt('reader:1')
      follower.handle({ kind: FeedMessageKind.CallFailed, callId, reason: 'reset' })
      expect(callOf(tickAfter(RETRY_DELAY_MAX_MS * 2))).toMatchObject({ kind: FeedEffectKind.Read, source })
      follower.handle({ kind: FeedMessageKind.PeerAhead, position: at(7) })
      for (let tries = 0; tries < 3; tries++) {
        const { callId: storeCallId, ...call } = callOf(tickAfter(PEER_AHEAD_LIMIT_MS + PEER_AHEAD_JITTER_MS + 10))
        expect(call).toMatchObject({ kind: FeedEffectKind.Read, source: STORE, reason: StoreCallReason.Behind })
        follower.handle({ kind: FeedMessageKind.CallFailed, callId: storeCallId, reason: 'no response' })
        expect(callOf(tickAfter(RETRY_DELAY_MAX_MS * 2))).toMatchObject({ source })
      }
    })

    // Guards against a process that learns from the store that records have expired, and then lists from the entry that is behind.
    it('lists from the store when that says that the records have expired', () => {
      listed()
      follower.handle({ kind: FeedMessageKind.PeerAhead, position: at(7) })
      const { callId } = callOf(tickAfter(PEER_AHEAD_LIMIT_MS + PEER_AHEAD_JITTER_MS + 10))
      expect(follower.handle({ kind: FeedMessageKind.RecordsExpired, callId })).toMatchObject([{ kind: FeedEffectKind.List, source: STORE }])
    })

    it('changes to another entry as soon as that one is to be used', () => {
      const { callId } = callOf(listed())
      source = entryAt('other:1')
      expect(tickAfter(50)).toMatchObject([{ kind: FeedEffectKind.Abort, callId }, { kind: FeedEffectKind.Read, from: at(5), source }])
    })

    // Guards against a process that goes back to the older state of an entry that has read less than itself.
    it('keeps its position when an entry has read less, and asks the store', () => {
      const { callId } = callOf(listed())
      const effects = follower.handle({ kind: FeedMessageKind.RecordsRead, callId, records: [], end: at(3) })
      expect(effects).toMatchObject([{ kind: FeedEffectKind.Read, from: at(5), source: STORE }])
      expect(follower.position).toEqual(at(5))
    })

    // Guards against workers whose registrations expired during an outage and that are taken as gone too early, because
    // the process that learns of it has not called the store itself.
    it('learns once from the entry that the store has recovered', () => {
      const { callId } = callOf(listed())
      const effects = follower.handle({ kind: FeedMessageKind.RecordsRead, callId, records: [], end: at(5), sinceRecoveryMs: 20 })
      expect(effects).toMatchObject([{ kind: FeedEffectKind.StoreRecovered }, { kind: FeedEffectKind.Read }])
      clock.advance(100)
      const again = follower.handle({ kind: FeedMessageKind.RecordsRead, callId: callOf(effects).callId, records: [], end: at(5), sinceRecoveryMs: 120 })
      expect(again).toMatchObject([{ kind: FeedEffectKind.Read }])
    })
  })

  describe('that must notice by itself that its connection has fallen silent', () => {
    const NOTICE_MS = 1_200
    const SLOW_MS = 300
    let noticeMs: number | undefined

    beforeEach(() => {
      noticeMs = NOTICE_MS
      follower = createTopicFollower({ clock, random: createRandom(1), source: () => source, noticeWithinMs: () => noticeMs })
    })
    const silent = (callId: number) => follower.handle({ kind: FeedMessageKind.CallFailed, callId, reason: 'no response', isSilent: true })
    const readOf = (effects: readonly FeedEffect[]) => effects.find(effect => effect.kind === FeedEffectKind.Read)!

    it('gives its long polls no more time than that', () => {
      const { waitMs, timeoutMs } = readOf(listed())
      expect(waitMs).toBeGreaterThanOrEqual(NOTICE_MS / 2)
      expect(timeoutMs).toBeLessThanOrEqual(NOTICE_MS)
    })

    // Guards against an outage of the store that is only that of a connection.
    it('repeats a call without a response at once on a new connection, without waiting, and reports no outage', () => {
      const { callId } = callOf(listed())
      const effects = silent(callId)
      expect(effects).toMatchObject([
        { kind: FeedEffectKind.ConnectionSilent, source: STORE },
        { kind: FeedEffectKind.Read, source: STORE, from: at(5), waitMs: 0, needsFreshConnection: true }
      ])
      expect(follower.isConnected).toBe(false)
      expect(follower.handle({ kind: FeedMessageKind.RecordsRead, callId: callOf(effects).callId, records: [], end: at(5) }))
        .toMatchObject([{ kind: FeedEffectKind.ConnectionReplaced }, { kind: FeedEffectKind.Read, needsFreshConnection: false }])
      expect(follower.isConnected).toBe(true)
    })

    it('reports an outage if the store does not respond on the new connection either', () => {
      const { callId } = callOf(silent(callOf(listed()).callId))
      expect(silent(callId)).toMatchObject([{ kind: FeedEffectKind.StoreUnavailable }])
    })

    it('repeats a call to an entry first, and changes to another one after that', () => {
      source = entryAt('reader:1')
      const { callId } = callOf(silent(callOf(listed()).callId))
      expect(silent(callId)).toMatchObject([{ kind: FeedEffectKind.EntryFailed, address: 'reader:1' }])
    })

    it('ends a long poll that began before it had to notice by itself', () => {
      noticeMs = undefined
      const { callId, waitMs } = readOf(listed())
      expect(waitMs).toBeGreaterThan(NOTICE_MS)
      noticeMs = NOTICE_MS
      expect(tickAfter(NOTICE_MS - 10)).toEqual([])
      expect(tickAfter(20)).toMatchObject([{ kind: FeedEffectKind.Abort, callId }, { kind: FeedEffectKind.Read, needsFreshConnection: true }])
    })

    // Guards against a store that is slow and is taken for lost at each call.
    it('allows for a source that responds slowly', () => {
      const { callId, waitMs } = readOf(listed())
      clock.advance(waitMs + SLOW_MS)
      const next = readOf(follower.handle({ kind: FeedMessageKind.RecordsRead, callId, records: [], end: at(5) }))
      expect(next.timeoutMs - next.waitMs).toBe(3 * SLOW_MS)
    })
  })

  describe('after the store came back from an older copy', () => {
    // Guards against records that are skipped because their offsets were given out before.
    it('lists again, whether or not the store has grown past the old position', () => {
      for (const end of [2, 5, 9]) {
        const { callId } = callOf(listed())
        const effects = follower.handle({ kind: FeedMessageKind.RecordsRead, callId, records: [record('a', 5, 2)], end: at(end, 2) })
        expect(effects).toMatchObject([{ kind: FeedEffectKind.List }])
        const restored = follower.handle({ kind: FeedMessageKind.Listed, callId: callOf(effects).callId, records: [], end: at(end, 2) })
        expect(restored).toMatchObject([{ kind: FeedEffectKind.ReplaceAll, state: ListedState.Restored }, { kind: FeedEffectKind.Read, from: at(end, 2) }])
        follower = createTopicFollower({ clock, random: createRandom(1), source: () => source })
      }
    })

    it('takes a peer of the next era for ahead, and none of an earlier one, whatever their offsets', () => {
      listed()
      follower.handle({ kind: FeedMessageKind.PeerAhead, position: at(99, 0) })
      expect(tickAfter(PEER_AHEAD_LIMIT_MS * 2)).toEqual([])
      follower.handle({ kind: FeedMessageKind.PeerAhead, position: at(2, 2) })
      expect(callOf(tickAfter(PEER_AHEAD_LIMIT_MS * 2))).toMatchObject({ kind: FeedEffectKind.Read, source: STORE })
    })

    it('does not go back to an era that has ended, neither of an entry nor of the store', () => {
      const { callId } = callOf(listed())
      const { callId: listId } = callOf(follower.handle({ kind: FeedMessageKind.RecordsExpired, callId }))
      const { callId: readId } = callOf(follower.handle({ kind: FeedMessageKind.Listed, callId: listId, records: [], end: at(2, 2) }))
      expect(follower.handle({ kind: FeedMessageKind.RecordsRead, callId: readId, records: [record('a', 8)], end: at(9) }))
        .toMatchObject([{ kind: FeedEffectKind.StoreUnavailable }])
      source = entryAt('reader:1')
      const { callId: entryCallId } = callOf(tickAfter(RETRY_DELAY_MAX_MS * 2))
      expect(follower.handle({ kind: FeedMessageKind.RecordsRead, callId: entryCallId, records: [record('a', 8)], end: at(9) }))
        .toMatchObject([{ kind: FeedEffectKind.Read, from: at(2, 2), source: STORE }])
      expect(follower.position).toEqual(at(2, 2))
    })
  })

  it('counts as disconnected for a while after a failed call to the store', () => {
    const { callId } = callOf(listed())
    source = entryAt('reader:1')
    follower.handle({ kind: FeedMessageKind.CallFailed, callId, reason: 'reset' })
    expect(follower.isConnected).toBe(false)
    clock.advance(STORE_DISTRUST_MS + 1)
    expect(follower.isConnected).toBe(true)
  })
})
