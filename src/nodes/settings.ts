import { readFileSync } from 'node:fs'
import { parseDocument } from 'yaml'
import { z } from 'zod'
import { SettingsError, toSchemaFaults } from '../core/index.js'
import { PLAN_INTERVAL_MS, REPORT_INTERVAL_MS } from '../expertMaps/index.js'

const nodeName = z.string().min(1).max(63)
const socketAddress = z.string().regex(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, 'must be an IPv4 address with a port')
const url = z.url()

const fleetKeySchema = z.strictObject({
  keyId: z.string().min(1).max(63),
  secret: z.string().min(16, 'must have at least 16 characters')
})

const metricsSchema = z.strictObject({ host: z.string().min(1), port: z.number().int().positive() })
const tracesSchema = z.strictObject({ otlpUrl: url })

const nodeSchema = z.strictObject({
  nodeId: nodeName,
  failureDomain: nodeName,
  region: nodeName,
  linkAddress: socketAddress.describe('TCP address for links; entries gossip on the same UDP port'),
  fleetKeys: z.array(fleetKeySchema).min(1).describe('Accepted keys; the first one signs'),
  metrics: metricsSchema.optional(),
  traces: tracesSchema.optional()
})

const callerLimitsSchema = z.strictObject({
  memoryMb: z.number().int().min(160).optional().describe('Memory of the host, in MB'),
  descriptorsMax: z.number().int().min(256).optional().describe('Descriptors that the process may open'),
  callerMb: z.number().positive().optional().describe('Bytes held for all callers together, in MB, instead of a share of memoryMb'),
  callerConnectionsMax: z.number().int().positive().optional().describe('Connections of callers, instead of a share of descriptorsMax')
})

export const entrySettingsSchema = nodeSchema.extend({
  entries: z.array(socketAddress).default([]).describe('Link addresses of other entries to start from'),
  callerAddress: socketAddress.describe('Address that callers connect to'),
  logUrl: url,
  logRetentionMs: z.number().int().min(60_000).default(86_400_000).describe('How long the log keeps a record'),
  hostListUrl: url.optional(),
  addressLifetimeMs: z.number().int().min(1_000).max(3_600_000).default(30_000),
  drainSettleMs: z.number().int().nonnegative().default(10_000).describe('Time that the news of a drain takes to reach every entry'),
  drainLimitMs: z.number().int().positive().default(600_000),
  capacityRequests: z.number().int().positive().default(1_000).describe('Requests that this entry takes at once'),
  limits: callerLimitsSchema.default({}).describe('What callers may make this entry hold')
})

export const agentSettingsSchema = nodeSchema.extend({
  entries: z.array(socketAddress).min(1).describe('Link addresses of entries to register with'),
  advertisedAddress: socketAddress.optional().describe('Link address that entries dial, if address translation makes it differ from linkAddress'),
  pool: nodeName,
  upstreamUrl: z.url({ protocol: /^http$/ }).describe('http URL of the engine or service on this host'),
  weightStoreUrl: url.optional(),
  group: z.strictObject({
    name: nodeName,
    rank: z.number().int().nonnegative(),
    reportIntervalMs: z.number().int().min(100).default(REPORT_INTERVAL_MS),
    planIntervalMs: z.number().int().min(200).default(PLAN_INTERVAL_MS)
  }).optional().describe('Group of ranks that the engine belongs to'),
  keepAnswersMs: z.number().int().nonnegative().default(15_000).describe('How long a draining agent keeps finished responses'),
  drainLimitMs: z.number().int().positive().default(600_000)
})

export type NodeSettings = z.infer<typeof nodeSchema>
export type EntrySettings = z.infer<typeof entrySettingsSchema>
export type AgentSettings = z.infer<typeof agentSettingsSchema>

/**
 * Parses settings text against a schema.
 *
 * @example
 * const settings = parseSettings(entrySettingsSchema, text)
 * @throws SettingsError that lists all faults
 */
export const parseSettings = <T>(schema: z.ZodType<T>, text: string): T => {
  const document = parseDocument(text)
  if (document.errors.length > 0) {
    throw new SettingsError(document.errors.map(({ linePos, message }) =>
      ({ path: `line ${linePos?.[0].line ?? '?'}`, text: message.split('\n')[0] ?? 'invalid YAML' })))
  }
  const parsed = schema.safeParse(document.toJS() ?? {})
  if (!parsed.success) throw new SettingsError(toSchemaFaults(parsed.error))
  return parsed.data
}

/** Reads and parses a settings file; throws SettingsError also if the file can't be read. */
export const loadSettings = <T>(schema: z.ZodType<T>, path: string): T => {
  let text: string
  try {
    text = readFileSync(path, 'utf8')
  } catch (error) {
    throw new SettingsError([{ path: '(file)', text: `cannot read ${path}: ${(error as NodeJS.ErrnoException).code}` }])
  }
  return parseSettings(schema, text)
}
