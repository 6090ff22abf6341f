import { type PoolRow, type RouteRow, type Row, RowKind, rowKeyOf, type RowVersion } from '../../configuration/index.js'
import { matchRoute } from '../../routing/index.js'

/** The rows in effect at one node. A row is never replaced by one of a lower offset. */
export interface RowTable {
  apply (offset: number, versions: readonly RowVersion[]): void
  findRoute (path: string, model: string | undefined): RouteRow | undefined
  route (name: string): RouteRow | undefined
  pool (name: string): PoolRow | undefined
  pools (): PoolRow[]
  /** Offset of the edit that a pool's row comes from. */
  poolOffset (name: string): number
  readonly offset: number
  readonly rows: Row[]
}

/**
 * Creates an empty table.
 *
 * @example
 * const table = createRowTable()
 * table.apply(12, versions)
 * table.findRoute('/v1/completions', 'quote-model')?.pool
 */
export const createRowTable = (): RowTable => {
  const versions = new Map<string, RowVersion>()
  let offset = 0
  /** Rebuilt on change, because every request matches against it. */
  let routes: RouteRow[] = []

  const rowsOf = <K extends RowKind>(kind: K): Extract<Row, { kind: K }>[] => {
    const rows: Extract<Row, { kind: K }>[] = []
    for (const { row } of versions.values()) if (row?.kind === kind) rows.push(row as Extract<Row, { kind: K }>)
    return rows
  }

  const poolVersion = (name: string) => versions.get(rowKeyOf({ kind: RowKind.Pool, name }))

  return {
    apply: (appliedOffset, changed) => {
      offset = Math.max(offset, appliedOffset)
      for (const version of changed) {
        const key = rowKeyOf(version)
        if ((versions.get(key)?.offset ?? 0) < version.offset) versions.set(key, version)
      }
      routes = rowsOf(RowKind.Route)
    },
    findRoute: (path, model) =>
      matchRoute(routes, model === undefined ? { path } : { path, model }),
    route: name => routes.find(row => row.name === name),
    pool: name => {
      const row = poolVersion(name)?.row
      return row?.kind === RowKind.Pool ? row : undefined
    },
    pools: () => rowsOf(RowKind.Pool),
    poolOffset: name => poolVersion(name)?.offset ?? 0,
    get offset () { return offset },
    get rows () { return [...rowsOf(RowKind.Pool), ...routes] }
  }
}
