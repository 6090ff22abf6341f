import {
  type PoolRow, Priority, RepeatPolicy, type RouteRow, poolSchema, routeSchema, RowKind, UpstreamKind
} from '../../src/configuration/index.js'

/** A pool row with defaults filled in. */
export const samplePool = (name: string, changes: Partial<PoolRow> = {}): PoolRow =>
  ({ ...poolSchema.parse({ kind: RowKind.Pool, name, upstreamKind: UpstreamKind.Service }), ...changes })

/** A route row with defaults filled in. */
export const sampleRoute = (name: string, pool: string, changes: Partial<RouteRow> = {}): RouteRow => ({
  ...routeSchema.parse({
    kind: RowKind.Route,
    name,
    match: { pathPrefix: `/${name}` },
    pool,
    repeat: RepeatPolicy.Idempotent,
    priority: Priority.Standard,
    deadlineMs: 10_000,
    customerLimit: { requestsPerS: 20, concurrentMax: 40, burstRequests: 10 }
  }),
  ...changes
})
