import { fingerprint } from '../core/index.js'
import { canonicalText } from './canonicalText.js'
import { EDIT_IDS_REMEMBERED_MAX, TOMBSTONES_MAX } from './constants.js'
import type { Row } from './rowSchema.js'
import type { ConfigurationDocument, ConfigurationState, RowIdentity, RowVersion, TableRestart } from './types.js'

/** State of a reader that has read nothing. */
export const getDefaultConfigurationState = (): ConfigurationState =>
  ({ offset: 0, versions: new Map(), verdicts: new Map() })

/** Key of a row; routes and pools have separate names. */
export const rowKeyOf = ({ kind, name }: RowIdentity): string => `${kind}/${name}`

const textByRow = new WeakMap<Row, string>()

/** A row never changes after validation, and a state is hashed for every peer that asks. */
const textOfRow = (row: Row): string => {
  const known = textByRow.get(row)
  if (known !== undefined) return known
  const text = canonicalText(row)
  textByRow.set(row, text)
  return text
}

/** Hash of the content of a document, independent of the order of fields. */
export const hashConfiguration = ({ offset, versions, verdicts, restart }: Omit<ConfigurationDocument, 'hash'>): string =>
  fingerprint(JSON.stringify([
    offset,
    versions.map(({ kind, name, offset, editId, row }) => [kind, name, offset, editId, row && textOfRow(row)]),
    verdicts.map(({ editId, offset, code, winner, faults = [] }) =>
      [editId, offset, code, winner?.editId, winner?.offset, faults.map(({ path, text }) => [path, text])]),
    // Documents of earlier releases have no such field, and keep their hash.
    ...(restart === undefined ? [] : [restart.offset, restart.readOffset])
  ]))

const byKey = (a: RowVersion, b: RowVersion) => (rowKeyOf(a) < rowKeyOf(b) ? -1 : 1)

/** Converts the state to the form that a snapshot record or a peer carries. */
export const toConfigurationDocument = (state: ConfigurationState): ConfigurationDocument => {
  const content = {
    offset: state.offset,
    versions: [...state.versions.values()].sort(byKey),
    verdicts: [...state.verdicts.values()],
    ...(state.restart && { restart: state.restart })
  }
  return { ...content, hash: hashConfiguration(content) }
}

/** Converts a document to a state of its own. */
export const fromConfigurationDocument = ({ offset, versions, verdicts, restart }: ConfigurationDocument): ConfigurationState => ({
  offset,
  versions: new Map(versions.map(version => [rowKeyOf(version), version])),
  verdicts: new Map(verdicts.map(verdict => [verdict.editId, verdict])),
  ...(restart && { restart })
})

/** Whether the content of a document is what its writer hashed. */
export const isIntactConfiguration = (document: ConfigurationDocument): boolean => hashConfiguration(document) === document.hash

/** Whether a restart has replaced the tables since the state was reached. */
export const isRestartedAfter = ({ offset }: ConfigurationState, restart: TableRestart | undefined): boolean =>
  restart !== undefined && restart.offset > offset

/** Whether a document would replace a row by one of a lower offset, other than by a restart that the state has not seen. */
export const replacesByLowerRow = (state: ConfigurationState, document: ConfigurationDocument): boolean =>
  document.offset < state.offset ||
  (!isRestartedAfter(state, document.restart) && document.versions.some(version => version.offset < (state.versions.get(rowKeyOf(version))?.offset ?? 0)))

/** Drops the oldest verdicts and tombstones. It depends on the state alone, so all readers agree. */
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
 * The version that an agent keeps when an entry sends one: never one of a lower offset, because
 * entries lag behind each other.
 *
 * @example
 * version = pickNewerVersion(version, received)
 */
export const pickNewerVersion = (current: RowVersion | undefined, received: RowVersion): RowVersion =>
  current !== undefined && current.offset >= received.offset ? current : received

/**
 * Offset that an edit of a row must name as its base.
 *
 * @example
 * const baseOffset = baseOffsetOf(versions, { kind: RowKind.Pool, name: 'quotes' })
 */
export const baseOffsetOf = (versions: ReadonlyMap<string, RowVersion>, identity: RowIdentity): number =>
  versions.get(rowKeyOf(identity))?.offset ?? 0
