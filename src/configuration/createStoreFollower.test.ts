import { beforeEach, describe, expect, it } from 'vitest'
import { createManualClock, createRandom, type ManualClock } from '../core/index.js'
import {
  ASK_PEER_INTERVAL_MS, createStoreFollower, type KeyedRecord, PEER_AHEAD_LIMIT_MS, READ_BATCH_DELAY_MS, READ_WAIT_MAX_MS, RETRY_DELAY_MAX_MS, type StoreEffect, StoreEffectKind,
  type StoreFollower, StoreMessageKind
} from './createStoreFollower.js'

const record = (key: string, offset: number): KeyedRecord => ({ key, value: Buffer.from('v'), offset })

describe('store follower', () => {
  let clock: ManualClock
  let follower: StoreFollower

  beforeEach(() => {
    clock = createManualClock(1_000)
    follower = createStoreFollower({ clock, random: createRandom(1) })
  })

  const callOf = (effects: readonly StoreEffect[]) =>
    effects.find(effect => effect.kind === StoreEffectKind.List || effect.kind === StoreEffectKind.Read)!
  const tickAfter = (durationMs: number) => {
    clock.advance(durationMs)
    return follower.handle({ kind: StoreMessageKind.Tick })
  }
  const listed = (end = 5) => {
    const { callId } = callOf(follower.handle({ kind: StoreMessageKind.Started }))
    return follower.handle({ kind: StoreMessageKind.Listed, callId, records: [record('a', end - 1)], end })
  }

  it('lists once, then reads from the end of the list', () => {
    expect(listed()).toMatchObject([{ kind: StoreEffectKind.ReplaceAll }, { kind: StoreEffectKind.Read, from: 5 }])
  })

  it('fetches records that arrive in quick succession with one call', () => {
    const { callId } = callOf(listed())
    const effects = follower.handle({ kind: StoreMessageKind.RecordsRead, callId, records: [record('a', 5)], end: 6 })
    expect(effects).toMatchObject([{ kind: StoreEffectKind.Apply }])
    expect(tickAfter(READ_BATCH_DELAY_MS - 10)).toEqual([])
    expect(tickAfter(20)).toMatchObject([{ kind: StoreEffectKind.Read, from: 6 }])
  })

  it('lists again when the records to read next have expired', () => {
    const { callId } = callOf(listed())
    expect(follower.handle({ kind: StoreMessageKind.RecordsExpired, callId })).toMatchObject([{ kind: StoreEffectKind.List }])
  })

  it('lists again when the end offset is lower than before', () => {
    const { callId } = callOf(listed())
    expect(follower.handle({ kind: StoreMessageKind.RecordsRead, callId, records: [], end: 2 })).toMatchObject([{ kind: StoreEffectKind.List }])
  })

  it('reports an outage once, and the recovery of the store', () => {
    const { callId } = callOf(listed())
    expect(follower.handle({ kind: StoreMessageKind.CallFailed, callId, reason: 'reset' })).toMatchObject([{ kind: StoreEffectKind.StoreUnavailable }])
    const retriedRead = callOf(tickAfter(RETRY_DELAY_MAX_MS * 2))
    expect(retriedRead).toMatchObject({ kind: StoreEffectKind.Read, waitMs: 0 })
    expect(follower.handle({ kind: StoreMessageKind.CallFailed, callId: retriedRead.callId, reason: 'reset' })).toEqual([])
    const { callId: thirdId } = callOf(tickAfter(RETRY_DELAY_MAX_MS * 2))
    expect(follower.handle({ kind: StoreMessageKind.RecordsRead, callId: thirdId, records: [], end: 5 }))
      .toMatchObject([{ kind: StoreEffectKind.StoreRecovered }, { kind: StoreEffectKind.Read }])
  })

  // Guards against a long poll that hangs on a broken connection while peers already have newer records.
  it('reads on a new connection when a peer has been ahead for too long', () => {
    const { callId } = callOf(listed())
    follower.handle({ kind: StoreMessageKind.PeerAhead, offset: 7 })
    expect(tickAfter(PEER_AHEAD_LIMIT_MS - 10)).toEqual([])
    expect(tickAfter(20)).toMatchObject([{ kind: StoreEffectKind.Abort, callId }, { kind: StoreEffectKind.Read, from: 5 }])
  })

  it('does not consider a peer ahead that has read up to the same offset', () => {
    listed()
    follower.handle({ kind: StoreMessageKind.PeerAhead, offset: 5 })
    expect(tickAfter(PEER_AHEAD_LIMIT_MS * 2)).toEqual([])
  })

  it('ignores the response to a call that it has aborted', () => {
    const { callId } = callOf(listed())
    follower.handle({ kind: StoreMessageKind.ProcessResumed })
    expect(follower.handle({ kind: StoreMessageKind.RecordsRead, callId, records: [record('a', 5)], end: 6 })).toEqual([])
  })

  it('lists again after a process pause', () => {
    listed()
    expect(follower.handle({ kind: StoreMessageKind.ProcessResumed }).at(-1)).toMatchObject({ kind: StoreEffectKind.List })
  })

  it('gives each long poll a timeout longer than its wait', () => {
    expect(callOf(listed())).toMatchObject({ kind: StoreEffectKind.Read })
    const read = callOf(listed()) as Extract<StoreEffect, { kind: StoreEffectKind.Read }>
    expect(read.waitMs).toBeLessThanOrEqual(READ_WAIT_MAX_MS)
    expect(read.timeoutMs).toBeGreaterThan(read.waitMs)
  })

  describe('before the first response of the store', () => {
    const countPeerRequests = (effects: readonly StoreEffect[]) => effects.filter(({ kind }) => kind === StoreEffectKind.AskPeer).length

    // Guards against an entry that cannot serve until the store has recovered, although its peers have the state.
    it('asks peers until one replies, and uses its state', () => {
      follower.handle({ kind: StoreMessageKind.Started })
      expect(countPeerRequests(tickAfter(ASK_PEER_INTERVAL_MS - 1))).toBe(0)
      expect(countPeerRequests(tickAfter(1))).toBe(1)
      expect(countPeerRequests(tickAfter(ASK_PEER_INTERVAL_MS))).toBe(1)
      expect(follower.hasState).toBe(false)
      expect(follower.handle({ kind: StoreMessageKind.PeerReplied, records: [record('a', 1)] })).toMatchObject([{ kind: StoreEffectKind.ReplaceAll }])
      expect(follower.hasState).toBe(true)
      expect(countPeerRequests(tickAfter(ASK_PEER_INTERVAL_MS))).toBe(0)
    })

    // Guards against an entry that keeps the state of a peer, which may itself be outdated.
    it('still lists from the store, and then ignores a late reply of a peer', () => {
      const { callId } = callOf(follower.handle({ kind: StoreMessageKind.Started }))
      follower.handle({ kind: StoreMessageKind.PeerReplied, records: [record('a', 1)] })
      expect(follower.handle({ kind: StoreMessageKind.Listed, callId, records: [record('b', 2)], end: 3 })[0]).toMatchObject({
        kind: StoreEffectKind.ReplaceAll, records: [{ key: 'b' }]
      })
      expect(follower.handle({ kind: StoreMessageKind.PeerReplied, records: [record('a', 1)] })).toEqual([])
    })

    it('asks no peer when the store responds at once', () => {
      listed()
      expect(countPeerRequests(tickAfter(10 * ASK_PEER_INTERVAL_MS))).toBe(0)
    })
  })
})
