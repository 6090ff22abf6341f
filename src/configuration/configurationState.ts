import { fingerprint } from '../core/index.js'
import { canonicalText } from './canonicalText.js'
import { EDIT_IDS_REMEMBERED_MAX, TOMBSTONES_MAX } from './constants.js'
import type { LoggedRow } from './rowSchema.js'
import type { ConfigurationDocument, ConfigurationState, RowIdentity, RowVersion, TableRestart } from './types.js'

/** Returns the state of a reader that has read nothing. */
export const getDefaultConfigurationState = (): ConfigurationState =>
  ({ offset: 0, versions: new Map(), verdicts: new Map() })

/** Returns the key of a row; routes and pools have separate namespaces. */
export const rowKeyOf = ({ kind, name }: RowIdentity): string => `${kind}/${name}`

const textByRow = new WeakMap<LoggedRow, string>()

/** Caches the text of each row: rows are immutable after validation, and every reply to a peer hashes the state. */
const textOfRow = (row: LoggedRow): string => {
  const cached = textByRow.get(row)
  if (cached !== undefined) return cached
  const text = canonicalText(row)
  textByRow.set(row, text)
  return text
}

/** Hashes the content of a document independently of the order of its fields. */
export const hashConfiguration = ({ offset, versions, verdicts, restart }: Omit<ConfigurationDocument, 'hash'>): string =>
  fingerprint(JSON.stringify([
    offset,
    versions.map(({ kind, name, offset, editId, row }) => [kind, name, offset, editId, row && textOfRow(row)]),
    verdicts.map(({ editId, offset, code, winner, faults = [] }) =>
      [editId, offset, code, winner?.editId, winner?.offset, faults.map(({ path, text }) => [path, text])]),
    // Documents of earlier releases lack this field and must keep their hash.
    ...(restart === undefined ? [] : [restart.offset, restart.readOffset])
  ]))

const compareByKey = (a: RowVersion, b: RowVersion) => (rowKeyOf(a) < rowKeyOf(b) ? -1 : 1)

/** Converts the state to the document that snapshot records and peers carry. */
export const toConfigurationDocument = (state: ConfigurationState): ConfigurationDocument => {
  const content = {
    offset: state.offset,
    versions: [...state.versions.values()].sort(compareByKey),
    verdicts: [...state.verdicts.values()],
    ...(state.restart && { restart: state.restart })
  }
  return { ...content, hash: hashConfiguration(content) }
}

/** Converts a document to a new state that shares no collections with it. */
export const fromConfigurationDocument = ({ offset, versions, verdicts, restart }: ConfigurationDocument): ConfigurationState => ({
  offset,
  versions: new Map(versions.map(version => [rowKeyOf(version), version])),
  verdicts: new Map(verdicts.map(verdict => [verdict.editId, verdict])),
  ...(restart && { restart })
})

/** Whether the content of a document matches its hash. */
export const isIntactConfiguration = (document: ConfigurationDocument): boolean => hashConfiguration(document) === document.hash

/** Whether a restart record replaced the tables after the offset of the state. */
export const isRestartedAfter = ({ offset }: ConfigurationState, restart: TableRestart | undefined): boolean =>
  restart !== undefined && restart.offset > offset

/**
 * Whether a document would replace a row by a version with a lower offset. After a restart that the state has not
 * applied yet, lower offsets of rows are allowed.
 */
export const wouldRegressRow = (state: ConfigurationState, document: ConfigurationDocument): boolean =>
  document.offset < state.offset ||
  (!isRestartedAfter(state, document.restart) && document.versions.some(version => version.offset < (state.versions.get(rowKeyOf(version))?.offset ?? 0)))

/** Drops the oldest verdicts and tombstones. The result depends only on the state, so all readers agree. */
export const trimConfiguration = ({ versions, verdicts }: ConfigurationState): void => {
  for (const editId of verdicts.keys()) {
    if (verdicts.size <= EDIT_IDS_REMEMBERED_MAX) break
    verdicts.delete(editId)
  }
  if (versions.size <= TOMBSTONES_MAX) return
  const tombstones = [...versions.values()].filter(({ row }) => row === null).sort((a, b) => a.offset - b.offset)
  for (const tombstone of tombstones.slice(0, Math.max(0, tombstones.length - TOMBSTONES_MAX))) {
    versions.delete(rowKeyOf(tombstone))
  }
}

/**
 * Returns the version that an agent keeps when an entry sends one. A version with a lower offset
 * is ignored, because some entries lag behind others.
 *
 * @example
 * version = pickNewerVersion(version, received)
 */
export const pickNewerVersion = (current: RowVersion | undefined, received: RowVersion): RowVersion =>
  current !== undefined && current.offset >= received.offset ? current : received

/**
 * Returns the base offset that the next edit of a row must carry.
 *
 * @example
 * const baseOffset = baseOffsetOf(versions, { kind: RowKind.Pool, name: 'quotes' })
 */
export const baseOffsetOf = (versions: ReadonlyMap<string, RowVersion>, identity: RowIdentity): number =>
  versions.get(rowKeyOf(identity))?.offset ?? 0
