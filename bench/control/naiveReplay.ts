import { type ConfigurationBody, ConfigurationRecordKind, type FollowedRecord, RowKind } from '../../src/configuration/index.js'
import { ResultCode } from '../../src/core/index.js'

export interface NaiveEdit {
  key: string
  editId: string
  offset: number
  row: { kind: RowKind, pool?: string } | null
}

/** Result of replaying every record of the stream from the first. */
export interface NaiveTables {
  /** The last accepted edit of each row, deletions included. */
  lastByKey: Map<string, NaiveEdit>
  codeByEditId: Map<string, ResultCode>
}

const lastAcceptedOf = (accepted: readonly NaiveEdit[], key: string) => accepted.findLast(edit => edit.key === key)

const exists = (accepted: readonly NaiveEdit[], key: string) => (lastAcceptedOf(accepted, key)?.row ?? null) !== null

const isRouted = (accepted: readonly NaiveEdit[], pool: string) =>
  accepted.some(({ key, offset, row }) =>
    row?.kind === RowKind.Route && row.pool === pool && lastAcceptedOf(accepted, key)?.offset === offset)

const hasReferences = (accepted: readonly NaiveEdit[], { key, row }: NaiveEdit): boolean => {
  if (row === null) return exists(accepted, key) && !isRouted(accepted, key.replace(/^pool\//, ''))
  return row.kind !== RowKind.Route || exists(accepted, `${RowKind.Pool}/${row.pool}`)
}

/**
 * Reference for differential tests: keeps every accepted edit and searches all of them for each verdict. It
 * has no snapshots, discards nothing and tracks no offset.
 */
export const replayNaively = (history: ReadonlyArray<FollowedRecord<ConfigurationBody>>): NaiveTables => {
  let accepted: NaiveEdit[] = []
  const codeByEditId = new Map<string, ResultCode>()
  const offsetByEditId = new Map<string, number>()
  for (const { offset, body } of history) {
    if (body.kind === ConfigurationRecordKind.Restart && body.document.offset + 1 === offset) {
      accepted = body.document.versions.map(version => ({ ...version, key: `${version.kind}/${version.name}` })).sort((a, b) => a.offset - b.offset)
      for (const [editId, decidedAt] of offsetByEditId) if (decidedAt > body.readOffset) codeByEditId.delete(editId)
      for (const { editId, code } of body.document.verdicts) codeByEditId.set(editId, code)
    }
    if (body.kind !== ConfigurationRecordKind.Edit || codeByEditId.has(body.edit.editId)) continue
    const { editId, kind, name, baseOffset, row } = body.edit
    offsetByEditId.set(editId, offset)
    const edit = { key: `${kind}/${name}`, editId, offset, row }
    if ((lastAcceptedOf(accepted, edit.key)?.offset ?? 0) !== baseOffset) codeByEditId.set(editId, ResultCode.EditConflict)
    else if (body.faults.length > 0 || !hasReferences(accepted, edit)) codeByEditId.set(editId, ResultCode.EditInvalid)
    else {
      codeByEditId.set(editId, ResultCode.EditAccepted)
      accepted.push(edit)
    }
  }
  return { lastByKey: new Map(accepted.map(edit => [edit.key, edit])), codeByEditId }
}
