import { describe, expect, it } from 'vitest'
import { SettingsError } from '../core/index.js'
import { RowChangeKind, RowKind } from './constants.js'
import { diffRows } from './diffRows.js'
import { parseRows } from './parseRows.js'

const pool = (name: string) => `kind: pool\nname: ${name}\nupstreamKind: service\n`
const route = (name: string) => [
  'kind: route', `name: ${name}`, 'match: { pathPrefix: /book }', 'pool: yard', 'repeat: atMostOnce', 'deadlineMs: 9000',
  'customerLimit: { requestsPerS: 5, concurrentMax: 2, burstRequests: 2 }', ''
].join('\n')

const faultPaths = (text: string): string[] => {
  try {
    parseRows(text)
  } catch (error) {
    if (error instanceof SettingsError) return error.faults.map(({ path }) => path)
    throw error
  }
  return []
}

describe('parseRows', () => {
  it.each([
    ['one row', pool('yard'), ['yard']],
    ['several documents', `${pool('yard')}---\n${route('book')}---\n`, ['yard', 'book']],
    ['a list under rows', 'rows:\n  - { kind: pool, name: a, upstreamKind: service }\n  - { kind: pool, name: b, upstreamKind: service }\n', ['a', 'b']],
    ['a bare list', '- { kind: pool, name: a, upstreamKind: service }\n', ['a']]
  ])('reads %s', (_case, text, names) => {
    expect(parseRows(text).map(({ name }) => name)).toEqual(names)
  })

  it.each([
    ['every fault of a row at once', 'kind: pool\nname: UP\nupstreamKind: engine\nsubsetSize: 0\n', ['name', 'subsetSize', 'model']],
    ['a cross-field fault', 'kind: pool\nname: up\nupstreamKind: engine\n', ['model']],
    ['faults in several documents', `${pool('UP')}---\n${route('UP')}`, ['document[0].name', 'document[1].name']],
    ['a fault inside a list', 'rows:\n  - { kind: pool, name: a, upstreamKind: service, group: { ranks: 0, experts: 1, layers: 1, expertBytes: 1 } }\n', ['rows[0].group.ranks']],
    ['a key beside rows, which would be ignored', 'rows: []\nextra: 1\n', ['extra']],
    ['an unknown field, usually a typo', `${pool('yard')}subsetsize: 3\n`, ['subsetsize']],
    ['a row defined twice, of which one would be lost', `${pool('yard')}---\n${pool('yard')}`, ['document[1].name']],
    ['text that is not valid YAML', 'kind: [pool\n', ['line 2, column 1']],
    ['a file without rows', '# nothing\n', ['document']],
    ['a document with a syntax error beside an invalid row', `kind: {\n---\n${pool('UP')}`, ['line 2, column 1', 'document[1].name']]
  ])('reports %s', (_case, text, paths) => {
    expect(faultPaths(text)).toEqual(paths)
  })
})

describe('diffRows', () => {
  it('orders changes so that no edit refers to a missing pool', () => {
    const before = parseRows(`${pool('old')}---\n${route('gone').replace('yard', 'old')}---\n${pool('kept')}`)
    const after = parseRows(`${route('book')}---\n${pool('yard')}---\n${pool('kept')}subsetSize: 3\n`)
    expect(diffRows(before, after).map(({ change, kind, name, paths }) => [change, kind, name, ...paths])).toEqual([
      [RowChangeKind.Changed, RowKind.Pool, 'kept', 'subsetSize'],
      [RowChangeKind.Added, RowKind.Pool, 'yard'],
      [RowChangeKind.Added, RowKind.Route, 'book'],
      [RowChangeKind.Removed, RowKind.Route, 'gone'],
      [RowChangeKind.Removed, RowKind.Pool, 'old']
    ])
  })

  it('finds no changes between equal tables', () => {
    const rows = parseRows(`${pool('yard')}---\n${route('book')}`)
    expect(diffRows(rows, structuredClone(rows))).toEqual([])
  })
})
