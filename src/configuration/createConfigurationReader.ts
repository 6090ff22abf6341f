import { type Core, ResultCode } from '../core/index.js'
import { ConfigurationRecordKind, type EditRule } from './constants.js'
import {
  fromConfigurationDocument, getDefaultConfigurationState, isIntactConfiguration, isRestartedAfter, replacesByLowerRow, rowKeyOf,
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

/** Versions that a restart dropped: its writer had not read their edits, and no later edit of the row replaced them. */
const droppedVersions = (oldState: ConfigurationState, newState: ConfigurationState): RowVersion[] => {
  const { restart } = newState
  if (restart === undefined || !isRestartedAfter(oldState, restart)) return []
  return [...oldState.versions.values()]
    .filter(version => version.offset > restart.readOffset && newState.versions.get(rowKeyOf(version))?.editId !== version.editId)
    .sort((a, b) => a.offset - b.offset)
}

/** A row with a later edit keeps it: the base that the edit names then makes it lose openly, with a verdict. */
const toEditAgain = (newState: ConfigurationState) => ({ kind, name, editId, row, offset }: RowVersion): Edit => {
  const current = newState.versions.get(rowKeyOf({ kind, name }))?.offset ?? 0
  return { kind, name, editId, row, baseOffset: current < offset ? current : offset }
}

/** A row that a document no longer holds was deleted, and its tombstone has been dropped since. */
const lostVersions = (oldState: ConfigurationState, newState: ConfigurationState, dropped: readonly RowVersion[]): RowVersion[] =>
  [...oldState.versions]
    .filter(([key, { row }]) => row !== null && !newState.versions.has(key) && !dropped.some(version => rowKeyOf(version) === key))
    .map(([, version]) => ({ ...version, offset: newState.offset, row: null }))

const changesBetween = (oldState: ConfigurationState, newState: ConfigurationState): ConfigurationOwnEffect[] => {
  const changed = [...newState.versions]
    .filter(([key, { offset }]) => oldState.versions.get(key)?.offset !== offset)
    .map(([, version]) => version)
  const dropped = droppedVersions(oldState, newState)
  const versions = [...changed, ...lostVersions(oldState, newState, dropped)]
  const verdicts = [...newState.verdicts.values()].filter(({ editId }) => !oldState.verdicts.has(editId))
  return [
    ...(dropped.length === 0 ? [] : [{ kind: ConfigurationEffectKind.EditsLost as const, edits: dropped.map(toEditAgain(newState)) }]),
    { kind: ConfigurationEffectKind.RowsAccepted, offset: newState.offset, versions },
    ...verdicts.map(verdict => ({ kind: ConfigurationEffectKind.VerdictReached as const, verdict }))
  ]
}

/** The state that a restart sets; undefined for other records and for a restart that is damaged or void. */
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
 * Reads the configuration stream and decides on every edit. Rows take effect in log order, and no
 * row is replaced by one of a lower offset, whatever snapshots and peers offer.
 *
 * @example
 * const reader = createConfigurationReader({ clock, random, retentionMs: 86_400_000 })
 * reader.handle(toConfigurationPage(readId, page)) // rows accepted and verdicts
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
    replaysOverGap: true,
    snapshotOf: body => body.kind === ConfigurationRecordKind.Snapshot ? body.snapshot : undefined,
    toDocument: toConfigurationDocument,
    fromDocument: fromConfigurationDocument,
    isIntact: isIntactConfiguration,
    replacesByLower: replacesByLowerRow,
    changesBetween
  }
  return createLogFollower(model, options)
}
