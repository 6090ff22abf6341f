import { describe, expect, it } from 'vitest'
import { chooseReader, mustWatchConnection, type ReaderCandidate } from './chooseReader.js'
import { READER_SILENCE_MS, READERS_MIN, SourceKind, WATCHING_ZONES } from './constants.js'

const peer = (nodeId: string, overrides: Partial<ReaderCandidate> = {}): ReaderCandidate =>
  ({ nodeId, address: `${nodeId}:1`, isReady: true, isStoreConnected: true, ageMs: 0, ...overrides })
const self = (nodeId: string, isReady = true, isStoreConnected = true) => ({ nodeId, isReady, isStoreConnected })
const NODE_IDS = ['n1', 'n2', 'n3', 'n4', 'n5']

/** Source that each entry of a zone chooses, if all have the same view of each other. */
const chooseAll = (overrides: Record<string, Partial<ReaderCandidate>> = {}, zones = READERS_MIN) => NODE_IDS.map(nodeId => chooseReader({
  zone: 'a',
  zones,
  self: self(nodeId, overrides[nodeId]?.isReady ?? true, overrides[nodeId]?.isStoreConnected ?? true),
  peers: NODE_IDS.filter(other => other !== nodeId).map(other => peer(other, overrides[other]))
}))
const readers = (overrides: Record<string, Partial<ReaderCandidate>> = {}) =>
  NODE_IDS.filter((_, at) => chooseAll(overrides)[at]!.kind === SourceKind.Store)

describe('the reader of a zone', () => {
  it('is one entry, and all others get the records from it', () => {
    const [reader, ...rest] = readers()
    expect(rest).toEqual([])
    const sources = chooseAll().filter(({ kind }) => kind === SourceKind.Entry)
    expect(new Set(sources.map(source => JSON.stringify(source)))).toEqual(new Set([JSON.stringify({ kind: SourceKind.Entry, address: `${reader}:1` })]))
  })

  // Guards against a fleet of few zones whose only readers are all among the machines that the store does not answer.
  it('is one of several in a fleet of few zones', () => {
    const sources = chooseAll({}, 2)
    expect(sources.filter(({ kind }) => kind === SourceKind.Store)).toHaveLength(Math.ceil(READERS_MIN / 2))
  })

  it.each([
    ['has lost the store', { isStoreConnected: false }],
    ['has no state yet or is stopping', { isReady: false }],
    ['is silent', { ageMs: READER_SILENCE_MS + 1 }]
  ])('is replaced when it %s', (_reason, state) => {
    const [reader] = readers()
    const others = readers({ [reader!]: state }).filter(nodeId => nodeId !== reader)
    expect(others).toHaveLength(1)
  })

  // Guards against a rush of all entries to the store while it is down.
  it('stays a single one while the store is down for all', () => {
    expect(readers(Object.fromEntries(NODE_IDS.map(nodeId => [nodeId, { isStoreConnected: false }])))).toHaveLength(1)
  })

  // Guards against a fleet whose readers all wait on silent connections, and against one whose readers all call the store often.
  it('is the one that watches its connection in the first zones, as an entry without a reader does', () => {
    const watchers = (zoneRank: number) => NODE_IDS.filter(nodeId => mustWatchConnection({
      zone: 'a', zones: 2, zoneRank, self: self(nodeId), peers: NODE_IDS.filter(other => other !== nodeId).map(other => peer(other))
    }))
    expect([0, WATCHING_ZONES - 1, WATCHING_ZONES].map(zoneRank => watchers(zoneRank).length)).toEqual([1, 1, 0])
    expect(mustWatchConnection({ zone: 'a', zones: 1, zoneRank: 0, self: self('n1'), peers: [] })).toBe(true)
    expect(mustWatchConnection({ zone: 'a', zones: 4, zoneRank: 3, self: self('n1', false), peers: [] })).toBe(true)
  })

  it('is the entry itself while it knows no other, and an entry with the state while it starts', () => {
    expect(chooseReader({ zone: 'a', zones: READERS_MIN, self: self('n1', false), peers: [] })).toEqual({ kind: SourceKind.Store })
    expect(chooseReader({ zone: 'a', zones: READERS_MIN, self: self('n1', false), peers: [peer('n2')] })).toEqual({ kind: SourceKind.Entry, address: 'n2:1' })
  })
})
