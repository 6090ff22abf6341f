import { request } from 'undici'
import { z } from 'zod'
import { BaobabdriftError, ResultCode } from '../core/index.js'
import { ENTRIES_ASKED_AT_ONCE, ENTRY_TIMEOUT_MS } from './constants.js'

const peerSchema = z.looseObject({
  nodeId: z.string(),
  failureDomain: z.string(),
  callerAddress: z.string().optional(),
  pool: z.string().optional()
})

/** Answer of an entry at `/v1/status`; fields that this version does not know are kept for `--json`. */
export const statusSchema = z.looseObject({
  nodeId: z.string(),
  isDraining: z.boolean(),
  configurationOffset: z.number(),
  liveRequests: z.number(),
  linkedAgents: z.number(),
  ownedShards: z.number(),
  entries: z.array(peerSchema),
  agents: z.array(peerSchema),
  limits: z.unknown().optional()
})

/** Answer of an entry at `/v1/explain/:requestId`. */
export const explainSchema = z.looseObject({
  requestId: z.string(),
  lines: z.array(z.string()),
  /** Lines of the planner by pool. */
  expertMaps: z.record(z.string(), z.array(z.string())).optional()
})

export type EntryStatus = z.infer<typeof statusSchema>
export type EntryExplanation = z.infer<typeof explainSchema>

/** What one entry answered, or why it did not. */
export type EntryAnswer<T> =
  | { address: string, answer: T, fault?: undefined }
  | { address: string, answer?: undefined, fault: string }

const describeFault = (error: unknown): string => {
  if (error instanceof z.ZodError) return 'the answer is not understood'
  if (!(error instanceof Error)) return String(error)
  return error.message || ((error as NodeJS.ErrnoException).code ?? error.name)
}

const askEntry = async <T>(address: string, path: string, schema: z.ZodType<T>): Promise<EntryAnswer<T>> => {
  try {
    const { statusCode, body } = await request(`http://${address}${path}`, {
      headersTimeout: ENTRY_TIMEOUT_MS, bodyTimeout: ENTRY_TIMEOUT_MS, signal: AbortSignal.timeout(ENTRY_TIMEOUT_MS)
    })
    const content = await body.json()
    if (statusCode !== 200) return { address, fault: `status ${statusCode}` }
    return { address, answer: schema.parse(content) }
  } catch (error) {
    return { address, fault: describeFault(error) }
  }
}

/**
 * Asks entries over HTTP, a bounded number of them at the same time.
 *
 * @example
 * const answers = await askEntries(['127.0.0.1:8101'], '/v1/status', statusSchema)
 */
export const askEntries = async <T>(addresses: readonly string[], path: string, schema: z.ZodType<T>): Promise<EntryAnswer<T>[]> => {
  const answers: EntryAnswer<T>[] = []
  for (let i = 0; i < addresses.length; i += ENTRIES_ASKED_AT_ONCE) {
    const round = addresses.slice(i, i + ENTRIES_ASKED_AT_ONCE)
    answers.push(...await Promise.all(round.map(address => askEntry(address, path, schema))))
  }
  return answers
}

/** Asks the given entries and then those that they know, each address once. */
export const askFleetStatus = async (addresses: readonly string[]): Promise<EntryAnswer<EntryStatus>[]> => {
  const first = await askEntries([...new Set(addresses)], '/v1/status', statusSchema)
  const asked = new Set(first.map(({ address }) => address))
  const known = first.flatMap(({ answer }) => answer?.entries.flatMap(({ callerAddress }) => callerAddress ?? []) ?? [])
  const answeredIds = new Set(first.map(({ answer }) => answer?.nodeId))
  // An entry may be given under another name than the address that it announces.
  const further = (await askEntries([...new Set(known)].filter(address => !asked.has(address)), '/v1/status', statusSchema))
    .filter(({ answer }) => answer === undefined || !answeredIds.has(answer.nodeId))
  return [...first, ...further]
}

/** Throws if no entry answered. */
export const requireAnswer = (answers: readonly EntryAnswer<unknown>[]): void => {
  if (answers.some(({ answer }) => answer !== undefined)) return
  const faults = answers.map(({ address, fault }) => `${address}: ${fault}`).join('; ')
  throw new BaobabdriftError(ResultCode.UpstreamRefused, `no entry answered: ${faults}`)
}
