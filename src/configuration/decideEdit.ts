import { ResultCode, type SettingsFault } from '../core/index.js'
import { EditRule, RowKind } from './constants.js'
import { rowKeyOf } from './configurationState.js'
import type { ConfigurationState, Edit, EditVerdict, RowVersion } from './types.js'

/** An edit from the log, with the schema faults of its row. */
export interface LoggedEdit {
  edit: Edit
  offset: number
  faults: SettingsFault[]
}

type Rules = ReadonlySet<EditRule>

const hasPool = ({ versions }: ConfigurationState, name: string) => {
  const version = versions.get(rowKeyOf({ kind: RowKind.Pool, name }))
  return version !== undefined && version.row !== null
}

const routesTo = ({ versions }: ConfigurationState, pool: string) =>
  [...versions.values()].filter(({ row }) => row?.kind === RowKind.Route && row.pool === pool)

/** Returns the faults of a deletion, by kind of row. */
const removalFaults: Record<RowKind, (state: ConfigurationState, name: string) => SettingsFault[]> = {
  [RowKind.Route]: () => [],
  [RowKind.Pool]: (state, name) =>
    routesTo(state, name).map(route => ({ path: 'name', text: `route ${route.name} still names this pool` })),
  [RowKind.Evacuation]: () => []
}

const referenceFaults = (state: ConfigurationState, { kind, name, row }: Edit): SettingsFault[] => {
  if (row === null) return removalFaults[kind](state, name)
  if (row.kind !== RowKind.Route || hasPool(state, row.pool)) return []
  return [{ path: 'pool', text: `pool ${row.pool} does not exist` }]
}

const existenceFaults = (current: RowVersion | undefined, edit: Edit): SettingsFault[] => {
  const exists = current !== undefined && current.row !== null
  return edit.row === null && !exists ? [{ path: 'name', text: 'the row does not exist' }] : []
}

const tableFaults = (state: ConfigurationState, edit: Edit, current: RowVersion | undefined, disabledRules: Rules) => [
  ...existenceFaults(current, edit),
  ...(disabledRules.has(EditRule.References) ? [] : referenceFaults(state, edit))
]

/** With the tombstone rule disabled, a deleted row is treated as one that never existed. */
const currentOffset = (current: RowVersion | undefined, disabledRules: Rules) => {
  if (current === undefined) return 0
  return current.row === null && disabledRules.has(EditRule.TombstoneOffset) ? 0 : current.offset
}

/**
 * Decides whether an edit is accepted, given the state before its offset. Returns undefined for a
 * duplicate of an edit that already has a verdict. All readers reach the same verdict, because the
 * state and the edit depend only on the log.
 *
 * @example
 * decideEdit(state, { edit, offset: 7, faults: [] })?.code // ResultCode.EditAccepted
 */
export const decideEdit = (
  state: ConfigurationState,
  { edit, offset, faults }: LoggedEdit,
  disabledRules: Rules = new Set()
): EditVerdict | undefined => {
  const { editId } = edit
  if (state.verdicts.has(editId) && !disabledRules.has(EditRule.DuplicateEditIds)) return undefined
  const current = state.versions.get(rowKeyOf(edit))
  if (edit.baseOffset !== currentOffset(current, disabledRules) && !disabledRules.has(EditRule.BaseOffset)) {
    const winner = current && { winner: { editId: current.editId, offset: current.offset } }
    return { editId, offset, code: ResultCode.EditConflict, ...winner }
  }
  // A row with schema faults was not parsed, so the other checks cannot run.
  const allFaults = faults.length > 0 ? faults : tableFaults(state, edit, current, disabledRules)
  if (allFaults.length > 0) return { editId, offset, code: ResultCode.EditInvalid, faults: allFaults }
  return { editId, offset, code: ResultCode.EditAccepted }
}
