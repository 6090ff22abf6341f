import { type Core, ResultCode } from '../core/index.js'
import { ConfigurationRecordKind, type EditRule } from './constants.js'
import {
  fromConfigurationDocument, getDefaultConfigurationState, isIntactConfiguration, replacesByLowerRow, rowKeyOf,
  toConfigurationDocument, trimConfiguration
} from './configurationState.js'
import { createLogFollower, type LogFollowerOptions } from './createLogFollower.js'
import { decideEdit } from './decideEdit.js'
import type { StreamModel } from './followerTypes.js'
import {
  type ConfigurationBody, type ConfigurationDocument, type ConfigurationEffect, ConfigurationEffectKind,
  type ConfigurationMessage, type ConfigurationOwnEffect, type ConfigurationState, type RowVersion
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

/** A row that a document no longer holds was deleted, and its tombstone has been dropped since. */
const lostVersions = (oldState: ConfigurationState, newState: ConfigurationState): RowVersion[] =>
  [...oldState.versions]
    .filter(([key, { row }]) => row !== null && !newState.versions.has(key))
    .map(([, version]) => ({ ...version, offset: newState.offset, row: null }))

const changesBetween = (oldState: ConfigurationState, newState: ConfigurationState): ConfigurationOwnEffect[] => {
  const changed = [...newState.versions]
    .filter(([key, { offset }]) => oldState.versions.get(key)?.offset !== offset)
    .map(([, version]) => version)
  const versions = [...changed, ...lostVersions(oldState, newState)]
  const verdicts = [...newState.verdicts.values()].filter(({ editId }) => !oldState.verdicts.has(editId))
  return [
    { kind: ConfigurationEffectKind.RowsAccepted, offset: newState.offset, versions },
    ...verdicts.map(verdict => ({ kind: ConfigurationEffectKind.VerdictReached as const, verdict }))
  ]
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
    apply: (state, { offset, body }) =>
      body.kind === ConfigurationRecordKind.Edit ? applyEdit(state, body, offset, disabledEditRules) : [],
    snapshotOf: body => body.kind === ConfigurationRecordKind.Snapshot ? body.snapshot : undefined,
    toDocument: toConfigurationDocument,
    fromDocument: fromConfigurationDocument,
    isIntact: isIntactConfiguration,
    replacesByLower: replacesByLowerRow,
    changesBetween
  }
  return createLogFollower(model, options)
}
