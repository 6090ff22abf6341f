import { request } from 'undici'
import { z } from 'zod'
import { BaobabdriftError, ResultCode } from '../core/index.js'
import { CONCURRENT_ENTRY_QUERIES_MAX, ENTRY_TIMEOUT_MS } from './constants.js'

const peerSchema = z.looseObject({
  nodeId: z.string(),
  failureDomain: z.string(),
  callerAddress: z.string().optional(),
  pool: z.string().optional()
})

/** Response body of `/v1/status`. Fields that this version does not know are kept for `--json`. */
export const statusSchema = z.looseObject({
  nodeId: z.string(),
  isDraining: z.boolean(),
  configurationOffset: z.number(),
  /** Absent at entries of an earlier release. */
  evacuatedDomains: z.array(z.string()).default([]),
  liveRequests: z.number(),
  linkedAgents: z.number(),
  ownedShards: z.number(),
  entries: z.array(peerSchema),
  agents: z.array(peerSchema),
  limits: z.unknown().optional()
})

/** Response body of `/v1/explain/:requestId`. */
export const explainSchema = z.looseObject({
  requestId: z.string(),
  lines: z.array(z.string()),
  /** Explanation lines of the expert map planner, by pool. */
  expertMaps: z.record(z.string(), z.array(z.string())).optional()
})

const upstreamSchema = z.looseObject({
  upstreamId: z.string(),
  failureDomain: z.string(),
  load: z.number().optional(),
  capacity: z.number().optional(),
  workPerS: z.number().optional(),
  firstTokenMs: z.number().optional(),
  closedForMs: z.number(),
  isChosen: z.boolean(),
  leftOut: z.string().optional()
})

/** Response body of `POST /v1/route`. */
export const routeSchema = z.looseObject({
  nodeId: z.string(),
  code: z.number(),
  reason: z.string(),
  route: z.string().optional(),
  pool: z.string().optional(),
  limits: z.looseObject({
    requestBytesMax: z.number().optional(),
    deadlineMs: z.number().optional(),
    customer: z.looseObject({ requestsPerS: z.number().optional(), concurrentMax: z.number().optional(), burstRequests: z.number().optional() }).optional()
  }),
  upstreams: z.array(upstreamSchema),
  notes: z.array(z.string())
})

export type EntryRoute = z.infer<typeof routeSchema>
export type EntryStatus = z.infer<typeof statusSchema>
export type EntryExplanation = z.infer<typeof explainSchema>

/** Response body of one entry, or the reason why there is none. */
export type EntryResponse<T> =
  | { address: string, answer: T, fault?: undefined }
  | { address: string, answer?: undefined, fault: string }

const describeError = (error: unknown): string => {
  if (error instanceof z.ZodError) return 'the answer is not understood'
  if (!(error instanceof Error)) return String(error)
  return error.message || ((error as NodeJS.ErrnoException).code ?? error.name)
}

const queryEntry = async <T>(address: string, path: string, schema: z.ZodType<T>, posted?: unknown): Promise<EntryResponse<T>> => {
  try {
    const { statusCode, body } = await request(`http://${address}${path}`, {
      headersTimeout: ENTRY_TIMEOUT_MS,
      bodyTimeout: ENTRY_TIMEOUT_MS,
      signal: AbortSignal.timeout(ENTRY_TIMEOUT_MS),
      ...(posted === undefined ? {} : { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(posted) })
    })
    const content = await body.json()
    if (statusCode !== 200) return { address, fault: `status ${statusCode}` }
    return { address, answer: schema.parse(content) }
  } catch (error) {
    return { address, fault: describeError(error) }
  }
}

/**
 * Queries entries over HTTP with bounded concurrency; with a body to post, by POST.
 *
 * @example
 * const responses = await queryEntries(['127.0.0.1:8101'], '/v1/status', statusSchema)
 */
export const queryEntries = async <T>(addresses: readonly string[], path: string, schema: z.ZodType<T>, posted?: unknown): Promise<EntryResponse<T>[]> => {
  const responses: EntryResponse<T>[] = []
  for (let i = 0; i < addresses.length; i += CONCURRENT_ENTRY_QUERIES_MAX) {
    const batch = addresses.slice(i, i + CONCURRENT_ENTRY_QUERIES_MAX)
    responses.push(...await Promise.all(batch.map(address => queryEntry(address, path, schema, posted))))
  }
  return responses
}

/** Queries the status of the given entries and then of the entries that they know of, each address once. */
export const queryFleetStatus = async (addresses: readonly string[]): Promise<EntryResponse<EntryStatus>[]> => {
  const givenResponses = await queryEntries([...new Set(addresses)], '/v1/status', statusSchema)
  const queriedAddresses = new Set(givenResponses.map(({ address }) => address))
  const discoveredAddresses = givenResponses.flatMap(({ answer }) => answer?.entries.flatMap(({ callerAddress }) => callerAddress ?? []) ?? [])
  const respondedIds = new Set(givenResponses.map(({ answer }) => answer?.nodeId))
  // The operator may have given an entry under a different host name than the address that it announces.
  const discoveredResponses = (await queryEntries([...new Set(discoveredAddresses)].filter(address => !queriedAddresses.has(address)), '/v1/status', statusSchema))
    .filter(({ answer }) => answer === undefined || !respondedIds.has(answer.nodeId))
  return [...givenResponses, ...discoveredResponses]
}

/** Throws if no entry responded. */
export const requireAnyResponse = (responses: readonly EntryResponse<unknown>[]): void => {
  if (responses.some(({ answer }) => answer !== undefined)) return
  const faults = responses.map(({ address, fault }) => `${address}: ${fault}`).join('; ')
  throw new BaobabdriftError(ResultCode.UpstreamRefused, `no entry responded: ${faults}`)
}
