import { rowKeyOf } from './configurationState.js'
import { RowChangeKind, RowKind } from './constants.js'
import type { LoggedRow, Row } from './rowSchema.js'
import type { RowChange } from './types.js'

const isMap = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value)

const differingPaths = (before: unknown, after: unknown, prefix: string): string[] => {
  if (!isMap(before) || !isMap(after)) return JSON.stringify(before) === JSON.stringify(after) ? [] : [prefix]
  const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort()
  return keys.flatMap(key => differingPaths(before[key], after[key], prefix === '' ? key : `${prefix}.${key}`))
}

const changeOf = (before: LoggedRow | undefined, after: LoggedRow | undefined): RowChange[] => {
  const row = after ?? before
  if (row === undefined) return []
  const base = { kind: row.kind, name: row.name, before: before ?? null, after: after ?? null, paths: [] }
  if (before === undefined) return [{ ...base, change: RowChangeKind.Added }]
  if (after === undefined) return [{ ...base, change: RowChangeKind.Removed }]
  const paths = differingPaths(before, after, '')
  return paths.length === 0 ? [] : [{ ...base, change: RowChangeKind.Changed, paths }]
}

/** Pools are added before the routes that name them and removed after them. */
const appendRank = ({ change, kind }: RowChange): number => {
  const isRemoval = change === RowChangeKind.Removed
  if (kind === RowKind.Pool) return isRemoval ? 3 : 0
  return isRemoval ? 2 : 1
}

/**
 * Lists the changes from one set of rows to another, ordered so that no edit refers to a missing pool when the edits
 * are appended one by one.
 *
 * @example
 * diffRows(current, wanted).map(({ change, name }) => `${change} ${name}`) // ['changed quotes']
 */
export const diffRows = (before: readonly Row[], after: readonly Row[]): RowChange[] => {
  const beforeByKey = new Map(before.map(row => [rowKeyOf(row), row]))
  const afterByKey = new Map(after.map(row => [rowKeyOf(row), row]))
  const keys = [...new Set([...beforeByKey.keys(), ...afterByKey.keys()])].sort()
  return keys
    .flatMap(key => changeOf(beforeByKey.get(key), afterByKey.get(key)))
    .sort((a, b) => appendRank(a) - appendRank(b))
}
