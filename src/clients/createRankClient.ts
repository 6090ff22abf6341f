import { BaobabdriftError, ResultCode } from '../core/index.js'
import { createJsonClient } from './httpJson.js'

/** What a rank measured in one step. */
export interface StepResult {
  step: number
  /** Time the rank computed, without waiting for other ranks. */
  durationMs: number
  /** Tokens by hosted expert, in ascending order of item. */
  tokens: number[]
  /** The step was abandoned because another one was asked for. */
  isAbandoned: boolean
}

/** A map as the engine receives it: for each item the ranks that host it with their shares. */
export interface RankMap {
  hash: string
  replicas: { rank: number, share: number }[][]
}

/** The rank interface of an engine that runs in a group. */
export interface RankClient {
  /** Step that the rank is ready to begin. */
  nextStep (): Promise<number>
  setMap (map: RankMap): Promise<void>
  /** Begins a step and resolves when all ranks have computed it. */
  runStep (step: number, mapHash: string): Promise<StepResult>
  copyFromPeer (item: number, fromRank: number): Promise<void>
  loadWeights (item: number): Promise<void>
  dropWeights (items: readonly number[]): Promise<void>
  close (): Promise<void>
}

/** A step ends only when the slowest rank has computed it, and a held group waits for seconds. */
const STEP_TIMEOUT_MS = 120_000

/**
 * Creates the client of an engine's rank interface.
 *
 * @example
 * const rank = createRankClient('http://127.0.0.1:7301')
 * await rank.runStep(1, map.id.hash)
 */
export const createRankClient = (baseUrl: string): RankClient => {
  const json = createJsonClient(baseUrl, STEP_TIMEOUT_MS)
  return {
    nextStep: async () => (await json.call<{ step: number }>('GET', '/rank/next-step')).step,
    setMap: async map => { await json.call('POST', '/rank/map', map) },
    runStep: (step, mapHash) => json.call('POST', '/rank/step', { step, mapHash }),
    copyFromPeer: async (item, fromRank) => { await json.call('POST', '/rank/copy', { item, fromRank }) },
    loadWeights: async item => { await json.call('POST', '/rank/load', { item }) },
    dropWeights: async items => { await json.call('POST', '/rank/drop', { items }) },
    close: () => json.close()
  }
}

/** The store refused for its rate limit; `retryAfterMs` is the time it named. */
export class WeightStoreBusyError extends BaobabdriftError {
  readonly retryAfterMs: number

  constructor (retryAfterMs: number) {
    super(ResultCode.Overloaded, `the weight store asks to wait ${retryAfterMs} ms`)
    this.retryAfterMs = retryAfterMs
  }
}

/** Fetches the weights of one expert from the weight store; throws WeightStoreBusyError on its rate limit. */
export const fetchWeights = async (storeUrl: string, name: string, bytes: number): Promise<void> => {
  const response = await fetch(`${storeUrl}/weights/${encodeURIComponent(name)}?bytes=${bytes}`)
  await response.arrayBuffer()
  if (response.status === 429) throw new WeightStoreBusyError(Number(response.headers.get('retry-after') ?? 1) * 1_000)
  if (!response.ok) throw new BaobabdriftError(ResultCode.UpstreamRefused, `weight store answered ${response.status}`)
}
