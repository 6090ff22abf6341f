import { stringify } from 'yaml'
import { type LoggedRow, RowChangeKind, rowKeyOf, type RowChange, type RowVersion } from '../configuration/index.js'

const INDENT = '    '

const indent = (text: string, prefix: string): string =>
  text.trimEnd().split('\n').map(line => `${prefix}${line}`).join('\n')

/** Formats a row as a YAML document that `apply` accepts, with its offset and edit id in a comment. */
export const formatVersion = ({ row, offset, editId, ...identity }: RowVersion): string =>
  row === null
    ? `# ${rowKeyOf(identity)} was deleted at offset ${offset}, edit ${editId}`
    : `# offset ${offset}, edit ${editId}\n${stringify(row).trimEnd()}`

/** Converts a row version to the JSON object that `--json` prints. */
export const toJsonVersion = ({ row, offset, editId, kind, name }: RowVersion): unknown =>
  ({ kind, name, offset, editId, row })

const valueAt = (row: LoggedRow | null, path: string): string => {
  // Map keys may contain dots, so each level uses the longest key that matches the start of the path.
  let value: unknown = row
  let rest = path
  while (rest !== '') {
    if (typeof value !== 'object' || value === null) return '(absent)'
    const key = Object.keys(value).filter(name => rest === name || rest.startsWith(`${name}.`)).sort((a, b) => b.length - a.length)[0]
    if (key === undefined) return '(absent)'
    value = (value as Record<string, unknown>)[key]
    rest = rest.slice(key.length + 1)
  }
  return value === undefined ? '(absent)' : JSON.stringify(value)
}

const formatters: Record<RowChangeKind, (change: RowChange) => string> = {
  [RowChangeKind.Added]: ({ after }) => indent(stringify(after), `${INDENT}+ `),
  [RowChangeKind.Removed]: ({ before }) => indent(stringify(before), `${INDENT}- `),
  [RowChangeKind.Changed]: ({ before, after, paths }) =>
    paths.map(path => `${INDENT}${path}: ${valueAt(before, path)} -> ${valueAt(after, path)}`).join('\n')
}

/**
 * Formats a change with the fields that differ.
 *
 * @example
 * formatChange(change) // changed route/quotes\n    deadlineMs: 15000 -> 12000
 */
export const formatChange = (change: RowChange): string =>
  `${change.change} ${rowKeyOf(change)}\n${formatters[change.change](change)}`

/** Formats a table with aligned columns. */
export const formatTable = (rows: readonly (readonly string[])[]): string => {
  const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map(row => row[column]?.length ?? 0)))
  return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd()).join('\n')
}
