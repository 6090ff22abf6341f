import { z } from 'zod'
import { type LogPage, type LogRecord, ResultCode, toSchemaFaults } from '../core/index.js'
import { hashConfiguration, isIntactConfiguration } from './configurationState.js'
import { ConfigurationRecordKind, ROW_NAME_LENGTH_MAX, RowKind } from './constants.js'
import { type FollowedRecord, type FollowerMessage, FollowerMessageKind, type StateDocument } from './followerTypes.js'
import { loggedRowSchema } from './rowSchema.js'
import type { ConfigurationBody, ConfigurationDocument, ConfigurationMessage } from './types.js'

const offsetSchema = z.number().int().nonnegative()
const editIdSchema = z.string().min(1).max(64)
const identity = { kind: z.enum(RowKind), name: z.string().min(1).max(ROW_NAME_LENGTH_MAX) }
const faultSchema = z.object({ path: z.string(), text: z.string() })

/** The row is parsed separately, so that an edit with an invalid row still gets a verdict. */
const editRecordSchema = z.object({
  type: z.literal(ConfigurationRecordKind.Edit),
  edit: z.object({ ...identity, editId: editIdSchema, baseOffset: offsetSchema, row: z.unknown() })
})

const versionSchema = z.object({ ...identity, offset: offsetSchema, editId: editIdSchema, row: loggedRowSchema.nullable() })

const verdictSchema = z.object({
  editId: editIdSchema,
  offset: offsetSchema,
  code: z.literal([ResultCode.EditAccepted, ResultCode.EditConflict, ResultCode.EditInvalid]),
  winner: z.object({ editId: editIdSchema, offset: offsetSchema }).optional(),
  faults: z.array(faultSchema).optional()
})

const documentContentSchema = z.object({
  offset: offsetSchema,
  hash: z.string(),
  versions: z.array(versionSchema),
  verdicts: z.array(verdictSchema),
  restart: z.object({ offset: offsetSchema, readOffset: offsetSchema }).optional()
})

const parseDocument = (raw: unknown, context: z.RefinementCtx): ConfigurationDocument => {
  const parsed = documentContentSchema.safeParse(raw)
  if (!parsed.success) {
    context.addIssue({ code: 'custom', message: 'not a configuration document' })
    return z.NEVER
  }
  // The hash covers the document as the writer sent it. A field that a later release added gets its
  // default here, which must not make an intact document look damaged.
  const isIntact = isIntactConfiguration(raw as ConfigurationDocument)
  return isIntact ? { ...parsed.data, hash: hashConfiguration(parsed.data) } : parsed.data
}

/** Schema of a configuration document from a snapshot record or a peer. */
export const configurationDocumentSchema = z.unknown().transform(parseDocument)

const snapshotRecordSchema = z.object({
  type: z.literal(ConfigurationRecordKind.Snapshot),
  snapshot: z.object({ document: configurationDocumentSchema, takenMs: z.number() })
})

const restartRecordSchema = z.object({
  type: z.literal(ConfigurationRecordKind.Restart), document: configurationDocumentSchema, readOffset: offsetSchema
})

const recordSchema = z.discriminatedUnion('type', [editRecordSchema, snapshotRecordSchema, restartRecordSchema])

type ParsedRecord = z.infer<typeof recordSchema>

const parseEdit = ({ edit }: z.infer<typeof editRecordSchema>): ConfigurationBody => {
  const { editId, baseOffset, kind, name } = edit
  const base = { editId, baseOffset, kind, name }
  if (edit.row === null) return { kind: ConfigurationRecordKind.Edit, edit: { ...base, row: null }, faults: [] }
  const parsed = loggedRowSchema.safeParse(edit.row)
  if (!parsed.success) {
    return { kind: ConfigurationRecordKind.Edit, edit: { ...base, row: null }, faults: toSchemaFaults(parsed.error) }
  }
  const isSameRow = parsed.data.kind === kind && parsed.data.name === name
  const faults = isSameRow ? [] : [{ path: 'name', text: 'the edit names another row than it holds' }]
  return { kind: ConfigurationRecordKind.Edit, edit: { ...base, row: parsed.data }, faults }
}

const bodyParsers: { [Type in ParsedRecord['type']]: (record: Extract<ParsedRecord, { type: Type }>) => ConfigurationBody } = {
  [ConfigurationRecordKind.Edit]: parseEdit,
  [ConfigurationRecordKind.Snapshot]: ({ snapshot }) => ({ kind: ConfigurationRecordKind.Snapshot, snapshot }),
  [ConfigurationRecordKind.Restart]: ({ document, readOffset }) => ({ kind: ConfigurationRecordKind.Restart, document, readOffset })
}

/** Parses the body of one record; a body that matches no schema becomes `Unreadable`. */
export const parseConfigurationBody = (body: unknown): ConfigurationBody => {
  const parsed = recordSchema.safeParse(body)
  if (!parsed.success) return { kind: ConfigurationRecordKind.Unreadable }
  const parse = bodyParsers[parsed.data.type] as (record: ParsedRecord) => ConfigurationBody
  return parse(parsed.data)
}

type WritableBody = Exclude<ConfigurationBody, { kind: ConfigurationRecordKind.Unreadable }>

const bodyEncoders: { [Kind in WritableBody['kind']]: (body: Extract<WritableBody, { kind: Kind }>) => unknown } = {
  [ConfigurationRecordKind.Edit]: ({ kind, edit }) => ({ type: kind, edit }),
  [ConfigurationRecordKind.Snapshot]: ({ kind, snapshot }) => ({ type: kind, snapshot }),
  [ConfigurationRecordKind.Restart]: ({ kind, document, readOffset }) => ({ type: kind, document, readOffset })
}

/** Encodes the body of a log record; the inverse of `parseConfigurationBody`. */
export const toConfigurationRecord = (body: WritableBody): unknown =>
  (bodyEncoders[body.kind] as (body: WritableBody) => unknown)(body)

/** Converts one log page to a message; `parseBody` validates the bodies. */
export const toPageMessage = <Body, Document extends StateDocument>(
  readId: number,
  { records, firstOffset, nextOffset }: LogPage,
  parseBody: (body: unknown) => Body
): FollowerMessage<Body, Document> => {
  const parseRecord = ({ offset, timeMs, body }: LogRecord): FollowedRecord<Body> =>
    ({ offset, timeMs, body: parseBody(body) })
  return { kind: FollowerMessageKind.LogPageRead, readId, records: records.map(parseRecord), firstOffset, nextOffset }
}

/** Converts one page of the configuration stream to a message for its reader. */
export const toConfigurationPage = (readId: number, page: LogPage): ConfigurationMessage =>
  toPageMessage(readId, page, parseConfigurationBody)
