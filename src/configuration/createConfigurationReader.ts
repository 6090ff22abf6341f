import { type Core, ResultCode } from '../core/index.js'
import { ConfigurationRecordKind, type EditRule } from './constants.js'
import {
  fromConfigurationDocument, getDefaultConfigurationState, isIntactConfiguration, isRestartedAfter, wouldRegressRow, rowKeyOf,
  toConfigurationDocument, trimConfiguration
} from './configurationState.js'
import { createLogFollower, type LogFollowerOptions } from './createLogFollower.js'
import { decideEdit } from './decideEdit.js'
import type { FollowedRecord, StreamModel } from './followerTypes.js'
import {
  type ConfigurationBody, type ConfigurationDocument, type ConfigurationEffect, ConfigurationEffectKind,
  type ConfigurationMessage, type ConfigurationOwnEffect, type ConfigurationState, type Edit, type RowVersion
} from './types.js'

type EditBody = Extract<ConfigurationBody, { kind: ConfigurationRecordKind.Edit }>

export interface ConfigurationReaderOptions extends LogFollowerOptions {
  disabledEditRules?: ReadonlySet<EditRule>
}

const applyEdit = (
  state: ConfigurationState,
  { edit, faults }: EditBody,
  offset: number,
  disabledRules: ReadonlySet<EditRule>
): ConfigurationOwnEffect[] => {
  const verdict = decideEdit(state, { edit, offset, faults }, disabledRules)
  if (verdict === undefined) return []
  state.verdicts.set(edit.editId, verdict)
  const effects: ConfigurationOwnEffect[] = []
  if (verdict.code === ResultCode.EditAccepted) {
    const version: RowVersion = { kind: edit.kind, name: edit.name, offset, editId: edit.editId, row: edit.row }
    state.versions.set(rowKeyOf(edit), version)
    effects.push({ kind: ConfigurationEffectKind.RowsAccepted, offset, versions: [version] })
  }
  trimConfiguration(state)
  return [...effects, { kind: ConfigurationEffectKind.VerdictReached, verdict }]
}

/**
 * Returns the row versions that a restart record discarded: its writer had not read their edits, and no later edit of
 * the row has replaced them.
 */
const discardedVersions = (oldState: ConfigurationState, newState: ConfigurationState): RowVersion[] => {
  const { restart } = newState
  if (restart === undefined || !isRestartedAfter(oldState, restart)) return []
  return [...oldState.versions.values()]
    .filter(version => version.offset > restart.readOffset && newState.versions.get(rowKeyOf(version))?.editId !== version.editId)
    .sort((a, b) => a.offset - b.offset)
}

/**
 * Converts a discarded version to an edit to append again. If the row has a later edit, the old base offset stays, so
 * that the edit is rejected with a conflict verdict instead of overwriting the row.
 */
const toResubmittedEdit = (newState: ConfigurationState) => ({ kind, name, editId, row, offset }: RowVersion): Edit => {
  const current = newState.versions.get(rowKeyOf({ kind, name }))?.offset ?? 0
  return { kind, name, editId, row, baseOffset: current < offset ? current : offset }
}

/** Returns deletions for rows that the new state does not contain: they were deleted and their tombstones trimmed. */
const impliedDeletions = (oldState: ConfigurationState, newState: ConfigurationState, discarded: readonly RowVersion[]): RowVersion[] =>
  [...oldState.versions]
    .filter(([key, { row }]) => row !== null && !newState.versions.has(key) && !discarded.some(version => rowKeyOf(version) === key))
    .map(([, version]) => ({ ...version, offset: newState.offset, row: null }))

const changesBetween = (oldState: ConfigurationState, newState: ConfigurationState): ConfigurationOwnEffect[] => {
  const changed = [...newState.versions]
    .filter(([key, { offset }]) => oldState.versions.get(key)?.offset !== offset)
    .map(([, version]) => version)
  const discarded = discardedVersions(oldState, newState)
  const versions = [...changed, ...impliedDeletions(oldState, newState, discarded)]
  const verdicts = [...newState.verdicts.values()].filter(({ editId }) => !oldState.verdicts.has(editId))
  return [
    ...(discarded.length === 0 ? [] : [{ kind: ConfigurationEffectKind.EditsLost as const, edits: discarded.map(toResubmittedEdit(newState)) }]),
    { kind: ConfigurationEffectKind.RowsAccepted, offset: newState.offset, versions },
    ...verdicts.map(verdict => ({ kind: ConfigurationEffectKind.VerdictReached as const, verdict }))
  ]
}

/** Returns the state that a restart record sets; undefined for other records and for a damaged or void restart. */
const restartedState = ({ offset, body }: FollowedRecord<ConfigurationBody>): ConfigurationState | undefined => {
  if (body.kind !== ConfigurationRecordKind.Restart) return undefined
  const { document, readOffset } = body
  if (document.offset + 1 !== offset || !isIntactConfiguration(document)) return undefined
  return { ...fromConfigurationDocument(document), offset, restart: { offset, readOffset } }
}

const applyRestart = (state: ConfigurationState, record: FollowedRecord<ConfigurationBody>): ConfigurationOwnEffect[] => {
  const restarted = restartedState(record)
  if (restarted === undefined) return []
  const before = { ...state }
  Object.assign(state, restarted)
  return changesBetween(before, state)
}

/**
 * Reads the configuration stream and decides whether each edit is accepted. Rows take effect in log
 * order. Snapshots and peer states never replace a row by a version with a lower offset.
 *
 * @example
 * const reader = createConfigurationReader({ clock, random, retentionMs: 86_400_000 })
 * reader.handle(toConfigurationPage(readId, page)) // accepted rows and verdicts
 */
export const createConfigurationReader = (
  { disabledEditRules = new Set(), ...options }: ConfigurationReaderOptions
): Core<ConfigurationMessage, ConfigurationEffect> => {
  const model: StreamModel<ConfigurationState, ConfigurationBody, ConfigurationDocument, ConfigurationOwnEffect> = {
    getDefaultState: getDefaultConfigurationState,
    apply: (state, record) => record.body.kind === ConfigurationRecordKind.Edit
      ? applyEdit(state, record.body, record.offset, disabledEditRules)
      : applyRestart(state, record),
    resetTo: restartedState,
    replaysAfterGap: true,
    snapshotOf: body => body.kind === ConfigurationRecordKind.Snapshot ? body.snapshot : undefined,
    toDocument: toConfigurationDocument,
    fromDocument: fromConfigurationDocument,
    isIntact: isIntactConfiguration,
    wouldRegress: wouldRegressRow,
    changesBetween
  }
  return createLogFollower(model, options)
}
