import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { runLeaseWorld } from '../../bench/control/leaseWorld.js'
import { EngineRole, FollowerEffectKind, FollowerMessageKind } from '../configuration/index.js'
import { createManualClock, createRandom } from '../core/index.js'
import {
  LEASE_CLAIM_JITTER_MS, LEASE_DURATION_MS, LEASE_RENEW_INTERVAL_MS, LEASE_VIEW_FRESH_MS, LeaseRecordKind, VoidReason
} from './constants.js'
import { createLeaseHolder, HolderEffectKind, type HolderMessage, HolderMessageKind } from './createLeaseHolder.js'
import { createLeaseReader } from './createLeaseReader.js'
import { parseLeaseBody } from './leaseRecordSchema.js'
import { type LeaseBody, LeaseEffectKind, type LeaseHolderRecord, type Placement } from './types.js'

const placements: Placement[] = [{ agentId: 'a1', role: EngineRole.Mixed, model: 'quote-7b', adapters: [] }]
const claim = (holder: string, supersedes: number): LeaseBody => ({ kind: LeaseRecordKind.Claim, holder, supersedes })
const renewal = (claimOffset: number): LeaseBody => ({ kind: LeaseRecordKind.Renewal, claimOffset })
const assign = (claimOffset: number, sequence: number): LeaseBody =>
  ({ kind: LeaseRecordKind.Assignment, assignment: { pool: 'quotes', claimOffset, sequence, placements } })

const followAll = (bodies: LeaseBody[]) => {
  const reader = createLeaseReader({ clock: createManualClock(), random: createRandom(1), retentionMs: 60_000 })
  const records = bodies.map((body, i) => ({ offset: i + 1, timeMs: 0, body: parseLeaseBody(structuredClone(body)) }))
  return reader.handle({
    kind: FollowerMessageKind.LogPageRead, readId: 0, records, firstOffset: 1, nextOffset: records.length + 1
  })
}

describe('lease reader', () => {
  it.each<[string, LeaseBody[], { inEffect: number, assignments: string[], voids: Array<[number, VoidReason]> }]>([
    ['the first of two racing claims wins', [claim('x', 0), claim('y', 0)],
      { inEffect: 1, assignments: [], voids: [[2, VoidReason.ClaimLost]] }],
    ['a claim that names the one in effect supersedes it', [claim('x', 0), claim('y', 1), claim('z', 1)],
      { inEffect: 2, assignments: [], voids: [[3, VoidReason.ClaimLost]] }],
    ['a late duplicate of an earlier claim changes nothing', [claim('x', 0), claim('y', 1), claim('x', 0)],
      { inEffect: 2, assignments: [], voids: [[3, VoidReason.ClaimLost]] }],
    ['records of a paused holder that resumes are void', [claim('x', 0), assign(1, 1), claim('y', 1), assign(1, 2), renewal(1)],
      { inEffect: 3, assignments: ['1/1'], voids: [[4, VoidReason.Superseded], [5, VoidReason.Superseded]] }],
    ['a late duplicate of an earlier assignment is void', [claim('x', 0), assign(1, 1), assign(1, 2), assign(1, 1)],
      { inEffect: 1, assignments: ['1/1', '1/2'], voids: [[4, VoidReason.OutOfSequence]] }],
    ['a new claim starts its sequence anew', [claim('x', 0), assign(1, 7), claim('y', 1), assign(3, 1)],
      { inEffect: 3, assignments: ['1/7', '3/1'], voids: [] }],
    ['an assignment under a claim that lost is void', [claim('x', 0), claim('y', 0), assign(2, 1)],
      { inEffect: 1, assignments: [], voids: [[2, VoidReason.ClaimLost], [3, VoidReason.Superseded]] }]
  ])('%s', (_case, bodies, expected) => {
    const effects = followAll(bodies)
    const inEffect = effects.flatMap(effect => effect.kind === LeaseEffectKind.ClaimInEffect ? [effect.claim.offset] : []).at(-1)
    const assignments = effects.flatMap(effect => effect.kind === LeaseEffectKind.AssignmentAccepted
      ? [`${effect.assignment.claimOffset}/${effect.assignment.sequence}`]
      : [])
    const voids = effects.flatMap(effect => effect.kind === LeaseEffectKind.RecordVoided ? [[effect.offset, effect.reason]] : [])
    expect({ inEffect, assignments, voids }).toEqual(expected)
  })

  it('restores the claim and the assignments in a new reader from a snapshot', () => {
    const clock = createManualClock(1_000_000)
    const createReader = () => createLeaseReader({ clock, random: createRandom(1), retentionMs: 60_000 })
    const records = [claim('x', 0), assign(1, 1)].map((body, i) => ({ offset: i + 1, timeMs: clock.nowMs(), body }))
    const writer = createReader()
    writer.handle({ kind: FollowerMessageKind.LogPageRead, readId: 0, records, firstOffset: 1, nextOffset: 3 })
    clock.advance(50_000)
    const [snapshot] = writer.handle({ kind: FollowerMessageKind.Tick })
      .flatMap(effect => effect.kind === FollowerEffectKind.AppendSnapshot ? [effect.snapshot] : [])
    const body = parseLeaseBody(structuredClone({ kind: LeaseRecordKind.Snapshot, snapshot }))
    const effects = createReader().handle({
      kind: FollowerMessageKind.LogPageRead, readId: 0, records: [{ offset: 3, timeMs: 0, body }], firstOffset: 3, nextOffset: 4
    })
    expect(effects.map(({ kind }) => kind)).toEqual(
      [LeaseEffectKind.ClaimInEffect, LeaseEffectKind.AssignmentAccepted, FollowerEffectKind.CaughtUp])
  })
})

describe('a gap of expired records in the lease stream', () => {
  it('is ended by a restart record, which every reader handles in the same way', () => {
    const clock = createManualClock(1_000_000)
    const createReader = (seed: number) => createLeaseReader({ clock, random: createRandom(seed), retentionMs: 60_000 })
    const bodies = [claim('x', 0), assign(1, 1), renewal(1), renewal(1), { kind: LeaseRecordKind.Restart as const, holder: 'y' }, assign(1, 2), assign(5, 1)]
    const records = bodies.map((body, i) => ({ offset: i + 1, timeMs: 0, body }))
    const read = (reader: ReturnType<typeof createReader>, from: number, to: number, firstOffset: number, readId = 0) => reader.handle({
      kind: FollowerMessageKind.LogPageRead, readId, records: records.slice(from - 1, to), firstOffset, nextOffset: to + 1
    })
    const stateOf = (reader: ReturnType<typeof createReader>) =>
      reader.handle({ kind: FollowerMessageKind.PeerStateRequested, peerId: 'p', aboveOffset: 0 })
    const [gapped, complete] = [createReader(1), createReader(2)]
    read(gapped, 1, 2, 1)
    const effects = Array.from({ length: 100 }, () => {
      clock.advance(1_000)
      const ticked = gapped.handle({ kind: FollowerMessageKind.Tick })
      for (const effect of ticked) if (effect.kind === FollowerEffectKind.ReadLog) read(gapped, 4, 4, 4, effect.readId)
      return ticked
    }).flat()
    expect(effects).toContainEqual({ kind: FollowerEffectKind.GapPersists, offset: 2 })
    read(gapped, 4, 7, 4)
    read(complete, 1, 7, 1)
    expect(stateOf(gapped)).toMatchObject([{ document: { offset: 7, claim: { offset: 5, holder: 'y' }, lastSequence: 1 } }])
    const documents = [gapped, complete].flatMap(stateOf).map(effect => effect.kind === FollowerEffectKind.SendState ? effect.document : undefined)
    expect(documents[0]).toEqual(documents[1])
  })

  it('is not ended by an earlier restart record in a page that arrives late', () => {
    const reader = createLeaseReader({ clock: createManualClock(), random: createRandom(1), retentionMs: 60_000 })
    const bodies = [claim('x', 0), { kind: LeaseRecordKind.Restart as const, holder: 'y' }, claim('z', 2)]
    const records = bodies.map((body, i) => ({ offset: i + 1, timeMs: 0, body }))
    const page = { kind: FollowerMessageKind.LogPageRead as const, readId: 0, records, firstOffset: 1, nextOffset: 4 }
    reader.handle(page)
    reader.handle({ ...page, records: [], firstOffset: 9, nextOffset: 9 })
    expect(reader.handle(page).filter(({ kind }) => kind === LeaseEffectKind.ClaimInEffect)).toEqual([])
  })

  it('makes the holder append a restart record', () => {
    const holder = createLeaseHolder({ self: 'me', clock: createManualClock(1), random: createRandom(1) })
    expect(holder.handle({ kind: HolderMessageKind.GapPersists })).toEqual([
      { kind: HolderEffectKind.AppendRecord, record: { kind: LeaseRecordKind.Restart, holder: 'me' } }
    ])
  })
})

describe('lease holder', () => {
  const setUp = () => {
    const clock = createManualClock(1_000_000)
    const holder = createLeaseHolder({ self: 'me', clock, random: createRandom(1) })
    const records: LeaseHolderRecord[] = []
    const handle = (message: HolderMessage) => {
      const effects = holder.handle(message)
      for (const effect of effects) if (effect.kind === HolderEffectKind.AppendRecord) records.push(effect.record)
      return effects
    }
    /** Advances the clock in small steps; the log is read in each step unless it is unavailable. */
    const advance = (durationMs: number, isLogUnavailable = false) => {
      for (let left = durationMs; left > 0; left -= 1_000) {
        clock.advance(Math.min(left, 1_000))
        if (!isLogUnavailable) handle({ kind: HolderMessageKind.LogRead })
        handle({ kind: HolderMessageKind.Tick })
      }
    }
    const hold = () => handle({ kind: HolderMessageKind.ClaimInEffect, claim: { offset: 4, holder: 'me' } })
    const requestPlacements = (pool: string) => handle({ kind: HolderMessageKind.PlacementsPlanned, pool, placements })
    return { clock, handle, advance, hold, requestPlacements, records }
  }
  const SILENCE_MS = LEASE_DURATION_MS + LEASE_CLAIM_JITTER_MS + 2_000

  it('claims the lease after the holder was silent, naming the claim in effect as superseded', () => {
    const { handle, advance, records } = setUp()
    handle({ kind: HolderMessageKind.ClaimInEffect, claim: { offset: 9, holder: 'other' } })
    advance(LEASE_DURATION_MS - 1_000)
    expect(records).toEqual([])
    advance(LEASE_CLAIM_JITTER_MS + 2_000)
    expect(records).toEqual([claim('me', 9)])
  })

  it('does not claim the lease while the holder renews it', () => {
    const { handle, advance, records } = setUp()
    handle({ kind: HolderMessageKind.ClaimInEffect, claim: { offset: 9, holder: 'other' } })
    for (let i = 0; i < 10; i++) {
      advance(LEASE_RENEW_INTERVAL_MS)
      handle({ kind: HolderMessageKind.HolderSeen })
    }
    expect(records).toEqual([])
  })

  it('does not count a log outage as silence of the holder', () => {
    const { handle, advance, records } = setUp()
    handle({ kind: HolderMessageKind.ClaimInEffect, claim: { offset: 9, holder: 'other' } })
    handle({ kind: HolderMessageKind.LogRead })
    advance(10 * SILENCE_MS, true)
    advance(LEASE_VIEW_FRESH_MS)
    expect(records).toEqual([])
  })

  it('renews the lease while it holds it, and stops when a later claim takes effect', () => {
    const { handle, advance, hold, records } = setUp()
    expect(hold()).toEqual([{ kind: HolderEffectKind.HoldingChanged, isHolder: true }])
    advance(LEASE_RENEW_INTERVAL_MS + 1_000)
    expect(records[0]).toEqual(renewal(4))
    const count = records.length
    expect(handle({ kind: HolderMessageKind.ClaimInEffect, claim: { offset: 8, holder: 'other' } }))
      .toEqual([{ kind: HolderEffectKind.HoldingChanged, isHolder: false }])
    advance(LEASE_DURATION_MS - 1_000)
    expect(records.length).toBe(count)
  })

  it('appends every assignment again under a new claim, because agents refuse the earlier token', () => {
    const { handle, hold, requestPlacements, records } = setUp()
    handle({
      kind: HolderMessageKind.AssignmentAccepted, assignment: { pool: 'quotes', claimOffset: 2, sequence: 5, placements }
    })
    requestPlacements('quotes')
    expect(records).toEqual([])
    hold()
    handle({ kind: HolderMessageKind.Tick })
    expect(records[0]).toEqual(assign(4, 1))
  })

  it('appends an assignment again, with a new sequence number, until it is read back from the log', () => {
    const { handle, hold, advance, requestPlacements, records } = setUp()
    hold()
    requestPlacements('quotes')
    advance(4_000)
    expect(records.filter(({ kind }) => kind === LeaseRecordKind.Assignment)).toEqual([assign(4, 1), assign(4, 2)])
    handle({
      kind: HolderMessageKind.AssignmentAccepted, assignment: { pool: 'quotes', claimOffset: 4, sequence: 2, placements }
    })
    advance(10_000)
    expect(records.filter(({ kind }) => kind === LeaseRecordKind.Assignment).length).toBe(2)
  })
})

it('agrees with a reader that keeps every record, under random schedules', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 1 << 28 }), seed => {
    expect(runLeaseWorld({ seed, settles: true }))
      .toMatchObject({ reverts: 0, splitVerdicts: 0, supersededOrders: 0, unsettledEngines: 0 })
  }), { seed: 6, numRuns: 150 })
})

it('does not skip the fence confirmation for an empty engine (seed 16463)', () => {
  expect(runLeaseWorld({ seed: 16463 }).supersededOrders).toBe(0)
})
