import type { ResultCode, SettingsFault } from '../core/index.js'
import type { ConfigurationRecordKind, RowChangeKind, RowKind } from './constants.js'
import type { FollowerEffect, FollowerMessage, Snapshot, StateDocument } from './followerTypes.js'
import type { LoggedRow } from './rowSchema.js'

/** Identity of a row in the tables of routes and pools, or of an evacuation. */
export interface RowIdentity {
  kind: RowKind
  name: string
}

/** The last accepted edit of a row. A deleted row is kept as a tombstone with `row: null`. */
export interface RowVersion extends RowIdentity {
  /** Offset of the edit; the next edit of this row must name it as its base. */
  offset: number
  editId: string
  row: LoggedRow | null
}

/** A change to one row that the command line appends. `row: null` deletes the row. */
export interface Edit extends RowIdentity {
  editId: string
  /** Offset of the row's last accepted edit, deletions included; 0 if the row never existed. */
  baseOffset: number
  row: LoggedRow | null
}

/** The verdict that every reader reaches on one edit. */
export interface EditVerdict {
  editId: string
  offset: number
  code: ResultCode.EditAccepted | ResultCode.EditConflict | ResultCode.EditInvalid
  /** The accepted edit that a conflicting edit did not take into account. */
  winner?: { editId: string, offset: number }
  /** Reasons why an edit is invalid. */
  faults?: SettingsFault[]
}

/** The last restart record; it replaced the tables of all readers. */
export interface TableRestart {
  offset: number
  /** Offset up to which its writer had read every record; the tables may lack accepted edits after it. */
  readOffset: number
}

/** State of a reader at one offset. */
export interface ConfigurationState {
  offset: number
  /** By row key, tombstones included. */
  versions: Map<string, RowVersion>
  /** Verdicts on recent edits, by edit id, oldest first. */
  verdicts: Map<string, EditVerdict>
  restart?: TableRestart
}

/** The serialized state in snapshot records and messages of peers. */
export interface ConfigurationDocument extends StateDocument {
  versions: RowVersion[]
  verdicts: EditVerdict[]
  restart?: TableRestart
}

export type ConfigurationBody =
  | { kind: ConfigurationRecordKind.Edit, edit: Edit, faults: SettingsFault[] }
  | { kind: ConfigurationRecordKind.Snapshot, snapshot: Snapshot<ConfigurationDocument> }
  /** Ignored unless it directly follows the offset of its document: readers may have applied records in between. */
  | { kind: ConfigurationRecordKind.Restart, document: ConfigurationDocument, readOffset: number }
  | { kind: ConfigurationRecordKind.Unreadable }

export type ConfigurationMessage = FollowerMessage<ConfigurationBody, ConfigurationDocument>

export enum ConfigurationEffectKind {
  RowsAccepted = 'rows-accepted',
  VerdictReached = 'verdict-reached',
  EditsLost = 'edits-lost'
}

export type ConfigurationOwnEffect =
  /** Rows that took effect, with the offset that the tables now reflect. */
  | { kind: ConfigurationEffectKind.RowsAccepted, offset: number, versions: RowVersion[] }
  | { kind: ConfigurationEffectKind.VerdictReached, verdict: EditVerdict }
  /** Edits that this reader had accepted and a restart discarded; they must be appended again unchanged. */
  | { kind: ConfigurationEffectKind.EditsLost, edits: Edit[] }

export type ConfigurationEffect = FollowerEffect<ConfigurationDocument> | ConfigurationOwnEffect

/** One row that differs between two tables. */
export interface RowChange extends RowIdentity {
  change: RowChangeKind
  before: LoggedRow | null
  after: LoggedRow | null
  /** Paths of the fields that differ; empty for added and removed rows. */
  paths: string[]
}
