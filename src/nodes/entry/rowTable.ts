import { type LoggedRow, type PoolRow, type RouteRow, type Row, RowKind, rowKeyOf, type RowVersion } from '../../configuration/index.js'
import { matchRoute } from '../../routing/index.js'

/** The configuration rows in effect at one node. A row is only replaced by one of a higher offset. */
export interface RowTable {
  apply (offset: number, versions: readonly RowVersion[]): void
  findRoute (path: string, model: string | undefined): RouteRow | undefined
  route (name: string): RouteRow | undefined
  pool (name: string): PoolRow | undefined
  pools (): PoolRow[]
  /** Offset of the edit that set a pool's row; 0 if there is none. */
  poolOffset (name: string): number
  /** Whether the upstreams of a failure domain get no further requests. */
  isEvacuated (failureDomain: string): boolean
  evacuatedDomains (): string[]
  readonly offset: number
  readonly rows: Row[]
}

/**
 * Creates an empty row table.
 *
 * @example
 * const table = createRowTable()
 * table.apply(12, versions)
 * table.findRoute('/v1/completions', 'quote-model')?.pool
 */
export const createRowTable = (): RowTable => {
  const versions = new Map<string, RowVersion>()
  let offset = 0
  /** Kept as an array that is rebuilt on change, because every request is matched against it. */
  let routes: RouteRow[] = []

  const rowsOf = <K extends RowKind>(kind: K): Extract<LoggedRow, { kind: K }>[] => {
    const rows: Extract<LoggedRow, { kind: K }>[] = []
    for (const { row } of versions.values()) if (row?.kind === kind) rows.push(row as Extract<LoggedRow, { kind: K }>)
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
    isEvacuated: name => (versions.get(rowKeyOf({ kind: RowKind.Evacuation, name }))?.row ?? null) !== null,
    evacuatedDomains: () => rowsOf(RowKind.Evacuation).map(({ name }) => name).sort(),
    get offset () { return offset },
    get rows () { return [...rowsOf(RowKind.Pool), ...routes] }
  }
}
