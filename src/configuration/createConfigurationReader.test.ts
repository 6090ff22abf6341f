import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { createFakeLog } from '../../bench/control/fakeLog.js'
import { runConfigurationWorld } from '../../bench/control/configurationWorld.js'
import { samplePool, sampleRoute } from '../../bench/control/sampleRows.js'
import { createManualClock, createRandom, hash32, ResultCode } from '../core/index.js'
import { ConfigurationRecordKind, READ_TIMEOUT_MS, RowKind, SNAPSHOT_LATEST_SHARE } from './constants.js'
import { createConfigurationReader } from './createConfigurationReader.js'
import { FollowerEffectKind, FollowerMessageKind } from './followerTypes.js'
import { parseConfigurationBody, toConfigurationRecord } from './recordSchema.js'
import type { Row } from './rowSchema.js'
import {
  type ConfigurationBody, type ConfigurationDocument, type ConfigurationEffect, ConfigurationEffectKind, type Edit,
  type EditVerdict
} from './types.js'

const RETENTION_MS = 100_000

const editOf = (editId: string, row: Row, baseOffset: number): ConfigurationBody =>
  ({ kind: ConfigurationRecordKind.Edit, edit: { editId, kind: row.kind, name: row.name, baseOffset, row }, faults: [] })
const removalOf = (editId: string, kind: RowKind, name: string, baseOffset: number): ConfigurationBody =>
  ({ kind: ConfigurationRecordKind.Edit, edit: { editId, kind, name, baseOffset, row: null }, faults: [] })
const yardPool = (movesAtOnceMax = 1) => samplePool('yard', { movesAtOnceMax })

const setUp = (retentionMs = RETENTION_MS) => {
  const clock = createManualClock(1_000_000)
  const log = createFakeLog<ConfigurationBody>()
  const createReader = (seed = 1) => {
    const reader = createConfigurationReader({ clock, random: createRandom(hash32(`reader-${seed}`)), retentionMs })
    const effects: ConfigurationEffect[] = []
    const handle = (message: Parameters<typeof reader.handle>[0]) => {
      const produced = reader.handle(message)
      effects.push(...produced)
      return produced
    }
    /** Serves reads until the reader requests no more. */
    const follow = () => {
      clock.advance(READ_TIMEOUT_MS + 1)
      let pending = handle({ kind: FollowerMessageKind.Tick })
      for (let i = 0; i < 20; i++) {
        const read = pending.find(effect => effect.kind === FollowerEffectKind.ReadLog)
        if (read === undefined) return
        pending = handle({ kind: FollowerMessageKind.LogPageRead, readId: read.readId, ...log.read(read.fromOffset, 2) })
      }
    }
    const state = (): ConfigurationDocument => {
      const [effect] = reader.handle({ kind: FollowerMessageKind.PeerStateRequested, peerId: 'p', aboveOffset: -1 })
      if (effect?.kind !== FollowerEffectKind.SendState) throw new Error('no state')
      return effect.document
    }
    const verdicts = (): EditVerdict[] =>
      effects.flatMap(effect => effect.kind === ConfigurationEffectKind.VerdictReached ? [effect.verdict] : [])
    return { handle, follow, state, verdicts, effects }
  }
  const append = (...bodies: ConfigurationBody[]) => bodies.map(body => log.append(body, clock.nowMs()))
  return { clock, log, append, createReader }
}

const codes = (verdicts: EditVerdict[]) => verdicts.map(({ editId, code }) => [editId, ResultCode[code]])

describe('verdicts', () => {
  it.each<[string, ConfigurationBody[], Array<[string, string]>]>([
    ['one of two concurrent edits is accepted', [editOf('a', yardPool(1), 0), editOf('b', yardPool(2), 1), editOf('c', yardPool(3), 1)],
      [['a', 'EditAccepted'], ['b', 'EditAccepted'], ['c', 'EditConflict']]],
    ['a duplicate of an accepted edit is ignored', [editOf('a', yardPool(), 0), editOf('a', yardPool(), 0)], [['a', 'EditAccepted']]],
    ['a late duplicate does not restore a deleted row',
      [editOf('a', yardPool(), 0), removalOf('b', RowKind.Pool, 'yard', 1), editOf('a', yardPool(), 0)],
      [['a', 'EditAccepted'], ['b', 'EditAccepted']]],
    ['a late duplicate of an invalid edit stays invalid',
      [editOf('a', sampleRoute('r', 'yard'), 0), editOf('b', yardPool(), 0), editOf('a', sampleRoute('r', 'yard'), 0)],
      [['a', 'EditInvalid'], ['b', 'EditAccepted']]],
    ['a deleted row is created again only by an edit based on its tombstone',
      [editOf('a', yardPool(), 0), removalOf('b', RowKind.Pool, 'yard', 1), editOf('c', yardPool(), 0), editOf('d', yardPool(), 2)],
      [['a', 'EditAccepted'], ['b', 'EditAccepted'], ['c', 'EditConflict'], ['d', 'EditAccepted']]],
    ['a pool that a route names cannot be deleted',
      [editOf('a', yardPool(), 0), editOf('b', sampleRoute('r', 'yard'), 0), removalOf('c', RowKind.Pool, 'yard', 1)],
      [['a', 'EditAccepted'], ['b', 'EditAccepted'], ['c', 'EditInvalid']]],
    ['a row that never existed cannot be deleted', [removalOf('a', RowKind.Pool, 'yard', 0)], [['a', 'EditInvalid']]],
    ['a record that matches no schema is skipped',
      [{ kind: ConfigurationRecordKind.Unreadable }, editOf('a', yardPool(), 0)], [['a', 'EditAccepted']]]
  ])('%s', (_case, bodies, expected) => {
    const { append, createReader } = setUp()
    append(...bodies)
    const reader = createReader()
    reader.follow()
    expect(codes(reader.verdicts())).toEqual(expected)
  })

  it('names the accepted edit in the verdict on a conflicting one', () => {
    const { append, createReader } = setUp()
    append(editOf('a', yardPool(1), 0), editOf('b', yardPool(2), 0))
    const reader = createReader()
    reader.follow()
    expect(reader.verdicts()[1]).toMatchObject({ editId: 'b', winner: { editId: 'a', offset: 1 } })
  })

  it('reaches a verdict with faults on an edit with an invalid row', () => {
    const edit: Edit = { editId: 'a', kind: RowKind.Pool, name: 'yard', baseOffset: 0, row: { ...yardPool(), subsetSize: 0 } }
    const body = parseConfigurationBody(toConfigurationRecord({ kind: ConfigurationRecordKind.Edit, edit, faults: [] }))
    const { append, createReader } = setUp()
    append(body)
    const reader = createReader()
    reader.follow()
    expect(reader.verdicts()).toMatchObject([{ code: ResultCode.EditInvalid, faults: [{ path: 'subsetSize' }] }])
  })
})

describe('retention, snapshots and peers', () => {
  const withSnapshot = () => {
    const fixture = setUp()
    fixture.append(editOf('a', yardPool(1), 0), editOf('b', yardPool(2), 1))
    const writer = fixture.createReader()
    writer.follow()
    fixture.clock.advance(RETENTION_MS * SNAPSHOT_LATEST_SHARE)
    writer.follow()
    const [snapshot] = writer.effects.flatMap(effect => effect.kind === FollowerEffectKind.AppendSnapshot ? [effect.snapshot] : [])
    if (snapshot === undefined) throw new Error('no snapshot was due')
    return { ...fixture, writer, snapshot, body: { kind: ConfigurationRecordKind.Snapshot as const, snapshot } }
  }

  it('starts a new host from a snapshot when the first records have expired', () => {
    const { append, log, createReader, body, writer } = withSnapshot()
    append(body, editOf('c', yardPool(3), 2))
    log.expireBelow(3)
    const fresh = createReader(2)
    fresh.follow()
    writer.follow()
    expect(fresh.state()).toEqual(writer.state())
    expect(fresh.verdicts().map(({ editId }) => editId)).toEqual(['a', 'b', 'c'])
  })

  it('does not revert to the late snapshot of a paused writer', () => {
    const { append, createReader, body } = withSnapshot()
    append(editOf('c', yardPool(3), 2), body)
    const reader = createReader(2)
    reader.follow()
    expect(reader.state().versions).toMatchObject([{ editId: 'c', offset: 3 }])
  })

  it('rejects a snapshot whose next record has expired, and asks peers', () => {
    const { append, log, createReader, body } = withSnapshot()
    append(editOf('c', yardPool(3), 2), body)
    log.expireBelow(4)
    const fresh = createReader(2)
    fresh.follow()
    expect(fresh.state().offset).toBe(0)
    expect(fresh.effects).toContainEqual({ kind: FollowerEffectKind.AskPeers, aboveOffset: 0 })
  })

  it('keeps its state and accepts no edits after unread records have expired, until a peer sends its state', () => {
    const { append, log, createReader } = setUp()
    append(editOf('a', yardPool(1), 0))
    const [slow, current] = [createReader(1), createReader(2)]
    slow.follow()
    append(editOf('b', yardPool(2), 1), editOf('c', yardPool(3), 2))
    current.follow()
    log.expireBelow(3)
    slow.follow()
    expect(slow.state().versions).toMatchObject([{ editId: 'a' }])
    slow.handle({ kind: FollowerMessageKind.PeerStateReceived, document: current.state(), retainedSinceMs: 1 })
    expect(slow.state()).toEqual(current.state())
  })

  it('starts a new host from the highest intact state of its peers while the log is unavailable', () => {
    const { append, createReader } = setUp()
    const peer = createReader(1)
    append(editOf('a', yardPool(1), 0))
    peer.follow()
    const lower = peer.state()
    append(editOf('b', yardPool(2), 1))
    peer.follow()
    const fresh = createReader(2)
    expect(fresh.handle({ kind: FollowerMessageKind.LogFailed })).toContainEqual({ kind: FollowerEffectKind.AskPeers, aboveOffset: 0 })
    const damaged = { ...peer.state(), offset: 9 }
    for (const document of [damaged, peer.state(), lower]) {
      fresh.handle({ kind: FollowerMessageKind.PeerStateReceived, document, retainedSinceMs: 1 })
    }
    expect(fresh.state()).toEqual(peer.state())
  })

  it('lets only few of 340 readers append a snapshot, because the others see it within seconds', () => {
    const { append, log, clock, createReader } = setUp(3_600_000)
    append(editOf('a', yardPool(), 0))
    const readers = Array.from({ length: 340 }, (_, seed) => createReader(seed))
    const tickAll = () => readers.flatMap(({ handle }) => {
      const effects = handle({ kind: FollowerMessageKind.Tick })
      for (const effect of effects) {
        if (effect.kind !== FollowerEffectKind.ReadLog) continue
        handle({ kind: FollowerMessageKind.LogPageRead, readId: effect.readId, ...log.read(effect.fromOffset) })
      }
      return effects
    })
    for (let second = 0; second < 3_600 && log.nextOffset === 2; second++) {
      for (const effect of tickAll()) {
        if (effect.kind !== FollowerEffectKind.AppendSnapshot) continue
        append({ kind: ConfigurationRecordKind.Snapshot, snapshot: effect.snapshot })
      }
      clock.advance(1_000)
    }
    for (const { handle } of readers) handle({ kind: FollowerMessageKind.LogPageRead, readId: 0, ...log.read(2) })
    const dueAgain = tickAll()
    expect(log.nextOffset - 2).toBeGreaterThan(0)
    // 340 readers become due over 1,080 s, which is 0.3 per second.
    expect(log.nextOffset - 2).toBeLessThanOrEqual(3)
    expect(dueAgain.filter(({ kind }) => kind === FollowerEffectKind.AppendSnapshot)).toEqual([])
  })

  it('keeps the table while every host is replaced within one retention time', () => {
    const { append, clock, log, createReader } = setUp()
    append(editOf('a', yardPool(), 0))
    let reader = createReader(0)
    reader.follow()
    for (let generation = 1; generation < 8; generation++) {
      clock.advance(RETENTION_MS * 0.2)
      reader.follow()
      const snapshots = reader.effects.flatMap(effect => effect.kind === FollowerEffectKind.AppendSnapshot ? [effect.snapshot] : [])
      for (const snapshot of snapshots) append({ kind: ConfigurationRecordKind.Snapshot, snapshot })
      log.expireBelow(log.history.findIndex(({ timeMs }) => timeMs >= clock.nowMs() - RETENTION_MS) + 1 || log.nextOffset)
      reader = createReader(generation)
      reader.follow()
      expect(reader.state().versions).toMatchObject([{ editId: 'a', offset: 1 }])
    }
  })
})

/** Appends the restart records and edits that the effects of a reader request, as its task does. */
const createAppendPerformer = (append: (body: ConfigurationBody) => void) => {
  const performed = new Set<ConfigurationEffect>()
  return (effects: readonly ConfigurationEffect[]) => effects.filter(effect => !performed.has(effect)).forEach(effect => {
    performed.add(effect)
    if (effect.kind === FollowerEffectKind.GapPersists && effect.replayed !== undefined) {
      append({ kind: ConfigurationRecordKind.Restart, document: effect.replayed, readOffset: effect.offset })
    } else if (effect.kind === ConfigurationEffectKind.EditsLost) {
      for (const edit of effect.edits) append({ kind: ConfigurationRecordKind.Edit, edit, faults: [] })
    }
  })
}

it('accepts edits again after an unread record expired during an outage longer than the retention time', () => {
  const { append, log, createReader } = setUp()
  append(editOf('a', yardPool(1), 0))
  const readers = [1, 2, 3].map(seed => createReader(seed))
  for (const reader of readers) reader.follow()
  append(editOf('b', yardPool(2), 1))
  log.expireBelow(3)
  append(editOf('c', samplePool('quotes'), 0))
  const performAppends = createAppendPerformer(append)
  for (let round = 0; round < 100; round++) {
    for (const reader of readers) {
      reader.follow()
      performAppends(reader.effects)
      const documents = readers.map(({ state }) => state())
      for (const document of documents) {
        reader.handle({ kind: FollowerMessageKind.PeerStateReceived, document, retainedSinceMs: 1 })
      }
    }
  }
  expect(readers.map(reader => codes(reader.verdicts()).some(([editId]) => editId === 'c'))).toEqual([true, true, true])
})

// Guards against the loss of an accepted edit that only a paused reader has applied, and that a restart record of the
// other readers therefore discards.
it('appends an accepted edit again that a restart has discarded', () => {
  const { append, log, createReader } = setUp()
  append(editOf('a', yardPool(1), 0))
  const [paused, ...others] = [1, 2, 3].map(seed => createReader(seed))
  for (const reader of [paused!, ...others]) reader.follow()
  append(editOf('b', yardPool(2), 1))
  paused!.follow()
  log.expireBelow(3)
  append(editOf('c', samplePool('quotes'), 0))
  const performAppends = createAppendPerformer(append)
  for (let round = 0; round < 100; round++) {
    for (const reader of others) {
      reader.follow()
      performAppends(reader.effects)
    }
  }
  expect(others[0]!.state().versions).toMatchObject([{ editId: 'c' }, { editId: 'a' }])
  for (let round = 0; round < 3; round++) {
    for (const reader of [paused!, ...others]) {
      reader.follow()
      performAppends(reader.effects)
    }
  }
  for (const reader of [paused!, ...others]) expect(reader.state().versions).toMatchObject([{ editId: 'c' }, { editId: 'b' }])
})

it('ignores a restart that follows newer records, and a damaged one', () => {
  const { append, createReader } = setUp()
  append(editOf('a', yardPool(1), 0))
  const reader = createReader()
  reader.follow()
  const document = reader.state()
  append(editOf('b', yardPool(2), 1), { kind: ConfigurationRecordKind.Restart, document, readOffset: 0 })
  append({ kind: ConfigurationRecordKind.Restart, document: { ...document, offset: 3 }, readOffset: 0 })
  reader.follow()
  expect(reader.state()).toMatchObject({ offset: 4, versions: [{ editId: 'b' }] })
})

it('agrees with a reader that keeps every record, over random schedules with outages longer than retention', () => {
  let restarts = 0
  fc.assert(fc.property(fc.integer({ min: 1, max: 1 << 28 }), seed => {
    const findings = runConfigurationWorld({ seed, hasOutages: true })
    expect(findings).toMatchObject({ reverts: 0, splitVerdicts: 0, strandedHosts: 0 })
    restarts += findings.restarts
  }), { seed: 7, numRuns: 300 })
  expect(restarts).toBeGreaterThan(30)
})

it('waits for its next tick when a page lacks the records that it announces', () => {
  const reader = setUp().createReader()
  const [read] = reader.handle({ kind: FollowerMessageKind.Tick })
  if (read?.kind !== FollowerEffectKind.ReadLog) throw new Error('no read')
  const emptyPage = { kind: FollowerMessageKind.LogPageRead as const, readId: read.readId, records: [], firstOffset: 1, nextOffset: 5 }
  expect(reader.handle(emptyPage)).toEqual([])
})

describe('read to the end', () => {
  it('ignores a page whose read was sent before the request', () => {
    const { append, log, createReader } = setUp()
    const reader = createReader()
    const [read] = reader.handle({ kind: FollowerMessageKind.Tick })
    if (read?.kind !== FollowerEffectKind.ReadLog) throw new Error('no read')
    const oldPage = { kind: FollowerMessageKind.LogPageRead as const, readId: read.readId, ...log.read(read.fromOffset) }
    append(editOf('a', yardPool(), 0))
    expect(reader.handle({ kind: FollowerMessageKind.EndRequested, requestId: 'q' })).toEqual([])
    const [secondRead, ...others] = reader.handle(oldPage).reverse()
    if (secondRead?.kind !== FollowerEffectKind.ReadLog) throw new Error('no second read')
    expect(others).not.toContainEqual({ kind: FollowerEffectKind.EndReached, requestId: 'q' })
    expect(others).toEqual([{ kind: FollowerEffectKind.CaughtUp, offset: 0 }])
    expect(reader.handle({ kind: FollowerMessageKind.LogPageRead, readId: secondRead.readId, ...log.read(secondRead.fromOffset) }))
      .toContainEqual({ kind: FollowerEffectKind.EndReached, requestId: 'q' })
  })

  it('reports a failure while the log is unavailable', () => {
    const reader = setUp().createReader()
    reader.handle({ kind: FollowerMessageKind.EndRequested, requestId: 'q' })
    expect(reader.handle({ kind: FollowerMessageKind.LogFailed }))
      .toContainEqual({ kind: FollowerEffectKind.EndFailed, requestId: 'q' })
  })
})

it('agrees with a reader that keeps every record, over random schedules', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 1 << 28 }), seed => {
    expect(runConfigurationWorld({ seed })).toMatchObject({ reverts: 0, splitVerdicts: 0, strandedHosts: 0 })
  }), { seed: 6, numRuns: 300 })
})
