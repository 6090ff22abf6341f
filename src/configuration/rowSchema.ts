import { z } from 'zod'
import {
  DEADLINE_MAX_MS, EngineRole, Priority, RepeatPolicy, REQUEST_BYTES_MAX, ROW_NAME_LENGTH_MAX, RowKind, UpstreamKind
} from './constants.js'

const name = z.string()
  .max(ROW_NAME_LENGTH_MAX)
  .regex(/^[a-z0-9]([a-z0-9-]*[a-z0-9])?$/, 'must be lower-case letters, digits and inner hyphens')
const positiveInt = z.number().int().positive()
const share = z.number().min(0).max(1)

export const customerLimitSchema = z.strictObject({
  requestsPerS: z.number().positive().describe('Fleet-wide request rate of one customer'),
  concurrentMax: positiveInt.describe('Fleet-wide concurrent requests of one customer'),
  burstRequests: positiveInt.describe('Requests that may arrive at once')
})

export const routeSchema = z.strictObject({
  kind: z.literal(RowKind.Route),
  name,
  match: z.strictObject({
    pathPrefix: z.string().startsWith('/').describe('Path prefix of the requests; the longest match wins'),
    models: z.array(z.string().min(1)).min(1).optional().describe('Model names; absent means any')
  }),
  pool: name.describe('Name of the pool that serves the route'),
  repeat: z.enum(RepeatPolicy),
  priority: z.enum(Priority).default(Priority.Standard),
  deadlineMs: positiveInt.max(DEADLINE_MAX_MS),
  requestBytesMax: positiveInt.max(REQUEST_BYTES_MAX).default(512 * 1024),
  customerLimit: customerLimitSchema,
  customerOverrides: z.record(z.string().min(1), customerLimitSchema).default({})
})

const groupSchema = z.strictObject({
  ranks: positiveInt.max(1024),
  experts: positiveInt.max(4096).describe('Experts in each layer'),
  layers: positiveInt.max(1024),
  expertBytes: positiveInt.describe('Weights of one expert in one layer')
})

export const poolSchema = z.strictObject({
  kind: z.literal(RowKind.Pool),
  name,
  upstreamKind: z.enum(UpstreamKind),
  checksFence: z.boolean().default(false).describe('Whether the engine refuses an order with a stale fencing token'),
  model: z.string().min(1).optional(),
  version: z.string().min(1).optional(),
  adapters: z.array(z.string().min(1)).default([]),
  roles: z.partialRecord(z.enum(EngineRole), z.number().int().nonnegative()).default({}),
  group: groupSchema.optional(),
  skewWeight: z.number().nonnegative().default(1),
  moveWeight: z.number().nonnegative().default(1),
  movesAtOnceMax: positiveInt.default(2),
  retryBudgetRatio: share.default(0.1),
  setAsideShareMax: share.default(0.3),
  onceWindowMs: positiveInt.max(86_400_000).default(600_000),
  subsetSize: positiveInt.default(12)
}).superRefine((pool, context) => {
  if (pool.upstreamKind !== UpstreamKind.Engine || pool.model !== undefined) return
  context.addIssue({ code: 'custom', path: ['model'], message: 'an engine pool needs a model' })
})

/** A failure domain whose upstreams get no further requests while this row is in effect. */
export const evacuationSchema = z.strictObject({
  kind: z.literal(RowKind.Evacuation),
  name: z.string().min(1).max(ROW_NAME_LENGTH_MAX)
})

/** Schema of the rows that operators write. */
export const rowSchema = z.discriminatedUnion('kind', [routeSchema, poolSchema])

/** Schema of the rows in the edits of the log. */
export const loggedRowSchema = z.discriminatedUnion('kind', [routeSchema, poolSchema, evacuationSchema])

export type CustomerLimit = z.infer<typeof customerLimitSchema>
export type RouteRow = z.infer<typeof routeSchema>
export type PoolRow = z.infer<typeof poolSchema>
export type EvacuationRow = z.infer<typeof evacuationSchema>
export type Row = z.infer<typeof rowSchema>
export type LoggedRow = z.infer<typeof loggedRowSchema>
