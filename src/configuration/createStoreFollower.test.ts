import { beforeEach, describe, expect, it } from 'vitest'
import { createManualClock, createRandom, type ManualClock } from '../core/index.js'
import {
  ASK_PEER_INTERVAL_MS, createStoreFollower, type KeyedRecord, PEER_AHEAD_LIMIT_MS, READ_GAP_MS, READ_WAIT_MAX_MS, RETRY_MAX_MS, type StoreEffect, StoreEffectKind,
  type StoreFollower, StoreMessageKind
} from './createStoreFollower.js'

const record = (key: string, offset: number): KeyedRecord => ({ key, value: Buffer.from('v'), offset })

describe('following a keyed topic of the store', () => {
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

  it('lists once and reads on from the end of the list', () => {
    expect(listed()).toMatchObject([{ kind: StoreEffectKind.ReplaceAll }, { kind: StoreEffectKind.Read, from: 5 }])
  })

  it('fetches records that come in quick succession by one call', () => {
    const { callId } = callOf(listed())
    const effects = follower.handle({ kind: StoreMessageKind.RecordsRead, callId, records: [record('a', 5)], end: 6 })
    expect(effects).toMatchObject([{ kind: StoreEffectKind.Apply }])
    expect(tickAfter(READ_GAP_MS - 10)).toEqual([])
    expect(tickAfter(20)).toMatchObject([{ kind: StoreEffectKind.Read, from: 6 }])
  })

  it('lists again when the history is lost', () => {
    const { callId } = callOf(listed())
    expect(follower.handle({ kind: StoreMessageKind.HistoryLost, callId })).toMatchObject([{ kind: StoreEffectKind.List }])
  })

  it('lists again when offsets are lower than before', () => {
    const { callId } = callOf(listed())
    expect(follower.handle({ kind: StoreMessageKind.RecordsRead, callId, records: [], end: 2 })).toMatchObject([{ kind: StoreEffectKind.List }])
  })

  it('reports an outage once, and the return of the store', () => {
    const { callId } = callOf(listed())
    expect(follower.handle({ kind: StoreMessageKind.CallFailed, callId, reason: 'reset' })).toMatchObject([{ kind: StoreEffectKind.StoreLost }])
    const again = callOf(tickAfter(RETRY_MAX_MS * 2))
    expect(again).toMatchObject({ kind: StoreEffectKind.Read, waitMs: 0 })
    expect(follower.handle({ kind: StoreMessageKind.CallFailed, callId: again.callId, reason: 'reset' })).toEqual([])
    const { callId: thirdId } = callOf(tickAfter(RETRY_MAX_MS * 2))
    expect(follower.handle({ kind: StoreMessageKind.RecordsRead, callId: thirdId, records: [], end: 5 }))
      .toMatchObject([{ kind: StoreEffectKind.StoreRegained }, { kind: StoreEffectKind.Read }])
  })

  // Guards against a long read on a connection that has gone silent, while peers already have the news.
  it('reads on a new connection when a peer has been ahead for a while', () => {
    const { callId } = callOf(listed())
    follower.handle({ kind: StoreMessageKind.PeerAhead, offset: 7 })
    expect(tickAfter(PEER_AHEAD_LIMIT_MS - 10)).toEqual([])
    expect(tickAfter(20)).toMatchObject([{ kind: StoreEffectKind.Abort, callId }, { kind: StoreEffectKind.Read, from: 5 }])
  })

  it('does not take a peer as ahead that shows what it has read itself', () => {
    listed()
    follower.handle({ kind: StoreMessageKind.PeerAhead, offset: 5 })
    expect(tickAfter(PEER_AHEAD_LIMIT_MS * 2)).toEqual([])
  })

  it('ignores the answer of a call that it has ended', () => {
    const { callId } = callOf(listed())
    follower.handle({ kind: StoreMessageKind.Woken })
    expect(follower.handle({ kind: StoreMessageKind.RecordsRead, callId, records: [record('a', 5)], end: 6 })).toEqual([])
  })

  it('lists again after a freeze', () => {
    listed()
    expect(follower.handle({ kind: StoreMessageKind.Woken }).at(-1)).toMatchObject({ kind: StoreEffectKind.List })
  })

  it('lets each long read end in time', () => {
    expect(callOf(listed())).toMatchObject({ kind: StoreEffectKind.Read })
    const read = callOf(listed()) as Extract<StoreEffect, { kind: StoreEffectKind.Read }>
    expect(read.waitMs).toBeLessThanOrEqual(READ_WAIT_MAX_MS)
    expect(read.timeoutMs).toBeGreaterThan(read.waitMs)
  })

  describe('before the store has answered', () => {
    const askedPeers = (effects: readonly StoreEffect[]) => effects.filter(({ kind }) => kind === StoreEffectKind.AskPeer).length

    // Guards against an entry that cannot serve until the store is back, although its peers know everything.
    it('asks a peer until one answers, and takes its state', () => {
      follower.handle({ kind: StoreMessageKind.Started })
      expect(askedPeers(tickAfter(ASK_PEER_INTERVAL_MS - 1))).toBe(0)
      expect(askedPeers(tickAfter(1))).toBe(1)
      expect(askedPeers(tickAfter(ASK_PEER_INTERVAL_MS))).toBe(1)
      expect(follower.hasState).toBe(false)
      expect(follower.handle({ kind: StoreMessageKind.PeerAnswered, records: [record('a', 1)] })).toMatchObject([{ kind: StoreEffectKind.ReplaceAll }])
      expect(follower.hasState).toBe(true)
      expect(askedPeers(tickAfter(ASK_PEER_INTERVAL_MS))).toBe(0)
    })

    // Guards against an entry that stays at the state of a peer, which may itself be behind.
    it('still lists from the store, and a late answer of a peer changes nothing after that', () => {
      const { callId } = callOf(follower.handle({ kind: StoreMessageKind.Started }))
      follower.handle({ kind: StoreMessageKind.PeerAnswered, records: [record('a', 1)] })
      expect(follower.handle({ kind: StoreMessageKind.Listed, callId, records: [record('b', 2)], end: 3 })[0]).toMatchObject({
        kind: StoreEffectKind.ReplaceAll, records: [{ key: 'b' }]
      })
      expect(follower.handle({ kind: StoreMessageKind.PeerAnswered, records: [record('a', 1)] })).toEqual([])
    })

    it('asks no peer when the store answers at once', () => {
      listed()
      expect(askedPeers(tickAfter(10 * ASK_PEER_INTERVAL_MS))).toBe(0)
    })
  })
})
