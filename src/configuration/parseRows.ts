import { LineCounter, parseAllDocuments } from 'yaml'
import { formatPath, SettingsError, type SettingsFault, toSchemaFaults } from '../core/index.js'
import { rowKeyOf } from './configurationState.js'
import { type Row, rowSchema } from './rowSchema.js'

interface Candidate {
  path: string
  value: unknown
}

const isRowList = (value: unknown): value is { rows: unknown[] } =>
  typeof value === 'object' && value !== null && Array.isArray((value as { rows?: unknown }).rows)

/** Lists the candidate rows of a document: one row, a list of rows, or a map with the list `rows`. */
const listCandidates = (value: unknown, prefix: string): Candidate[] => {
  if (Array.isArray(value)) return value.map((item, i) => ({ path: `${prefix}[${i}]`, value: item }))
  if (!isRowList(value)) return [{ path: prefix, value }]
  const path = prefix === '' ? 'rows' : `${prefix}.rows`
  const extraKeys = Object.keys(value).filter(key => key !== 'rows')
  return [
    ...value.rows.map((item, i) => ({ path: `${path}[${i}]`, value: item })),
    ...extraKeys.map(key => ({ path: formatPath([key], prefix), value: undefined }))
  ]
}

const readDocuments = (text: string): { candidates: Candidate[], faults: SettingsFault[] } => {
  const lineCounter = new LineCounter()
  const documents = parseAllDocuments(text, { lineCounter, uniqueKeys: true })
  const candidates: Candidate[] = []
  const faults: SettingsFault[] = []
  for (const [i, document] of [...documents].entries()) {
    const prefix = documents.length > 1 ? `document[${i}]` : ''
    for (const error of document.errors) {
      const { line, col } = lineCounter.linePos(error.pos[0])
      faults.push({ path: `line ${line}, column ${col}`, text: error.message.split('\n')[0] ?? error.code })
    }
    if (document.errors.length > 0) continue
    const value = toJsValue(document, prefix, faults)
    // An empty document, such as one after a trailing separator, has no rows.
    if (value !== null && value !== undefined) candidates.push(...listCandidates(value, prefix))
  }
  return { candidates, faults }
}

/** Converts a document to a plain value; reports an alias without an anchor or beyond the expansion limit as a fault. */
const toJsValue = (document: { toJS: () => unknown }, prefix: string, faults: SettingsFault[]): unknown => {
  try {
    return document.toJS()
  } catch (error) {
    faults.push({ path: prefix === '' ? 'document' : prefix, text: error instanceof Error ? error.message : String(error) })
    return undefined
  }
}

/**
 * Parses YAML text into rows and fills in defaults. References between rows are not checked here: the readers of the
 * log check them when they decide on an edit.
 *
 * @example
 * const rows = parseRows('kind: pool\nname: quotes\nupstreamKind: engine\nmodel: quote-7b\n')
 * @throws SettingsError with every fault of the text and its path
 */
export const parseRows = (text: string): Row[] => {
  const { candidates, faults } = readDocuments(text)
  const rows: Row[] = []
  const pathByKey = new Map<string, string>()
  for (const { path, value } of candidates) {
    const parsed = rowSchema.safeParse(value)
    if (!parsed.success) {
      faults.push(...toSchemaFaults(parsed.error, path))
      continue
    }
    const key = rowKeyOf(parsed.data)
    const earlierPath = pathByKey.get(key)
    if (earlierPath !== undefined) {
      faults.push({ path: formatPath(['name'], path), text: `${key} is defined twice, first at ${earlierPath || 'the top'}` })
    }
    pathByKey.set(key, path)
    rows.push(parsed.data)
  }
  if (candidates.length === 0 && faults.length === 0) faults.push({ path: 'document', text: 'the file holds no row' })
  if (faults.length > 0) throw new SettingsError(faults)
  return rows
}
