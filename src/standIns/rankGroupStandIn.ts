import type { FastifyInstance } from 'fastify'
import type { RankMap, StepResult } from '../clients/index.js'

export interface RankGroupOptions {
  ranks: number
  /** Tokens of a forward pass for each item; may change from step to step. */
  tokensAt: (step: number) => readonly number[]
  /** Relative speed of a rank; below 1 the rank is slow. */
  speedOf?: (rank: number, step: number) => number
  tokensPerMs?: number
}

/** A group of ranks that run each forward pass together; each rank is reached through its own engine. */
export interface RankGroup {
  /** Registers the routes of a rank on its engine's server. */
  attach (app: FastifyInstance, rank: number): void
  readonly completedSteps: number
  /** Steps in which the ranks did not all use the same map. */
  readonly mixedSteps: number
  readonly lastMapHash: string
  /** Ratio of the slowest rank's compute time to the mean, averaged over the recent steps. */
  skew (): number
}

interface StartedStep {
  step: number
  mapHash: string
  durationMs: number
  tokens: number[]
  resolve: (result: StepResult) => void
}

const RECENT_STEPS = 50
const TOKENS_PER_MS_DEFAULT = 50

/**
 * Creates a stand-in for a rank group: a step ends when every rank has computed it, so the slowest rank determines
 * the step time.
 *
 * @example
 * const group = createRankGroup({ ranks: 4, tokensAt: () => tokens })
 * group.attach(app, 0)
 */
export const createRankGroup = ({
  ranks, tokensAt, speedOf = () => 1, tokensPerMs = TOKENS_PER_MS_DEFAULT
}: RankGroupOptions): RankGroup => {
  const maps = new Map<string, RankMap>()
  const startedSteps = new Map<number, StartedStep>()
  const recentSkews: number[] = []
  let completedSteps = 0
  let lastStep = 0
  let mixedSteps = 0
  let lastMapHash = ''

  const compute = (rank: number, step: number, mapHash: string) => {
    const tokensByItem = tokensAt(step)
    const tokens = (maps.get(mapHash)?.replicas ?? []).flatMap((replicas, item) => {
      const replica = replicas.find(host => host.rank === rank)
      return replica === undefined ? [] : [replica.share * (tokensByItem[item] ?? 0)]
    })
    const durationMs = tokens.reduce((sum, count) => sum + count, 0) / (tokensPerMs * speedOf(rank, step))
    return { tokens, durationMs }
  }

  const finishStep = () => {
    const entries = [...startedSteps.values()]
    startedSteps.clear()
    completedSteps += 1
    lastStep = entries[0]!.step
    lastMapHash = entries[0]!.mapHash
    const durations = entries.map(({ durationMs }) => durationMs)
    const slowestMs = Math.max(...durations)
    recentSkews.push(slowestMs / (durations.reduce((sum, ms) => sum + ms, 0) / durations.length || 1))
    if (recentSkews.length > RECENT_STEPS) recentSkews.shift()
    setTimeout(() => {
      for (const { step, durationMs, tokens, resolve } of entries) resolve({ step, durationMs, tokens, isAbandoned: false })
    }, slowestMs)
  }

  const startStep = (rank: number, step: number, mapHash: string): Promise<StepResult> => new Promise(resolve => {
    const abandoned = startedSteps.get(rank)
    abandoned?.resolve({ step: abandoned.step, durationMs: 0, tokens: [], isAbandoned: true })
    startedSteps.set(rank, { step, mapHash, resolve, ...compute(rank, step, mapHash) })
    if (startedSteps.size < ranks) return
    const entries = [...startedSteps.values()]
    if (entries.some(other => other.step !== step)) return
    if (entries.some(other => other.mapHash !== mapHash)) mixedSteps += 1
    finishStep()
  })

  return {
    attach: (app, rank) => {
      app.get('/rank/next-step', async () => ({ step: lastStep + 1 }))
      app.post<{ Body: RankMap }>('/rank/map', async ({ body }) => {
        maps.set(body.hash, body)
        return {}
      })
      app.post<{ Body: { step: number, mapHash: string } }>('/rank/step', ({ body }) => startStep(rank, body.step, body.mapHash))
      app.post('/rank/copy', async () => ({}))
      app.post('/rank/load', async () => ({}))
      app.post('/rank/drop', async () => ({}))
    },
    get completedSteps () { return completedSteps },
    get mixedSteps () { return mixedSteps },
    get lastMapHash () { return lastMapHash },
    skew: () => recentSkews.reduce((sum, skew) => sum + skew, 0) / (recentSkews.length || 1)
  }
}
