import { z } from 'zod'
import { BaobabdriftError, parseDecimal, ResultCode } from '../core/index.js'
import { isFramingValid, statesEnd } from '../upstreams/index.js'
import { framingFields } from './framingFields.js'
import { createJsonClient } from './httpJson.js'

/** Measurements of one rank for one step. */
export interface StepResult {
  step: number
  /** Compute time of the rank, without the time spent waiting for other ranks. */
  durationMs: number
  /** Number of tokens per hosted expert, in ascending order of item. */
  tokens: number[]
  /** Whether the step was aborted because another one was requested. */
  isAbandoned: boolean
}

/** An expert map in the engine's format: for each item, the ranks that host it and their shares. */
export interface RankMap {
  hash: string
  replicas: { rank: number, share: number }[][]
}

/** Client for the rank interface of an engine that runs in a group. */
export interface RankClient {
  /** Returns the step that the rank is ready to run next. */
  nextStep (): Promise<number>
  setMap (map: RankMap): Promise<void>
  /** Starts a step and resolves when all ranks have computed it. */
  runStep (step: number, mapHash: string): Promise<StepResult>
  copyFromPeer (item: number, fromRank: number): Promise<void>
  loadWeights (item: number): Promise<void>
  dropWeights (items: readonly number[]): Promise<void>
  close (): Promise<void>
}

const nextStepSchema = z.object({ step: z.number() })
const stepResultSchema = z.object({ step: z.number(), durationMs: z.number(), tokens: z.array(z.number()), isAbandoned: z.boolean() })

const MS_PER_S = 1_000
/** Delay after a refusal of the weight store that names no time. */
const RETRY_AFTER_DEFAULT_S = 1

/** A step ends only when the slowest rank has computed it, and a group that is on hold waits for seconds. */
const STEP_TIMEOUT_MS = 120_000

/**
 * Creates a client for the rank interface of an engine.
 *
 * @example
 * const rank = createRankClient('http://127.0.0.1:7301')
 * await rank.runStep(1, map.id.hash)
 */
export const createRankClient = (baseUrl: string): RankClient => {
  const json = createJsonClient(baseUrl, STEP_TIMEOUT_MS)
  return {
    nextStep: async () => nextStepSchema.parse(await json.call('GET', '/rank/next-step')).step,
    setMap: async map => { await json.call('POST', '/rank/map', map) },
    runStep: async (step, mapHash) => stepResultSchema.parse(await json.call('POST', '/rank/step', { step, mapHash })),
    copyFromPeer: async (item, fromRank) => { await json.call('POST', '/rank/copy', { item, fromRank }) },
    loadWeights: async item => { await json.call('POST', '/rank/load', { item }) },
    dropWeights: async items => { await json.call('POST', '/rank/drop', { items }) },
    close: () => json.close()
  }
}

/** The weight store rejected a request by its rate limit; `retryAfterMs` is the delay that it requested. */
export class WeightStoreBusyError extends BaobabdriftError {
  readonly retryAfterMs: number

  constructor (retryAfterMs: number) {
    super(ResultCode.Overloaded, `weight store is rate limited; retry after ${retryAfterMs} ms`)
    this.retryAfterMs = retryAfterMs
  }
}

/**
 * Fetches the weights of one expert from the weight store; throws WeightStoreBusyError if it is rate limited. A response that
 * only its connection ends is whole only if it has as many bytes as were asked for.
 */
export const fetchWeights = async (storeUrl: string, name: string, bytes: number): Promise<void> => {
  const response = await fetch(`${storeUrl}/weights/${encodeURIComponent(name)}?bytes=${bytes}`)
  const body = await response.arrayBuffer()
  if (response.status === 429) throw new WeightStoreBusyError((parseDecimal(response.headers.get('retry-after') ?? undefined) ?? RETRY_AFTER_DEFAULT_S) * MS_PER_S)
  if (!response.ok) throw new BaobabdriftError(ResultCode.UpstreamRefused, `weight store responded with status ${response.status}`)
  const fields = framingFields(name => response.headers.get(name))
  // The library passes on what it cannot decode.
  if (!isFramingValid(fields)) throw new BaobabdriftError(ResultCode.UpstreamRefused, 'the response of the weight store is malformed')
  if (!statesEnd(fields) && body.byteLength < bytes) throw new BaobabdriftError(ResultCode.AnswerLost, `weight store broke off after ${body.byteLength} of ${bytes} bytes`)
}
