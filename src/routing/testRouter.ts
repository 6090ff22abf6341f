import { createManualClock, createRandom } from '../core/index.js'
import { RouterEffectKind, RouterMessageKind } from './constants.js'
import { createRouter } from './createRouter.js'
import type { LoadReport, RouterMessage } from './types.js'

/** Report of an idle upstream; tests override what they are about. */
export const idleReport = (overrides: Partial<LoadReport> = {}): LoadReport => ({
  sequence: 1,
  madeAtMs: 0,
  queuedTokens: 0,
  runningRequests: 0,
  waitingRequests: 0,
  runningMax: 0,
  tokensPerS: 6_000,
  acceptedTokens: 0,
  finishedPerS: 0,
  ...overrides
})

/** A router on a manual clock with `upstreamCount` ramped-up upstreams, for tests. */
export const createTestRouter = (upstreamCount: number, { seed = 1, setAsideShareMax = 0.3 } = {}) => {
  const clock = createManualClock()
  const router = createRouter({ clock, random: createRandom(seed), setAsideShareMax })
  const post = (message: RouterMessage) => router.handle(message)
  const appear = (upstreamId: string, incarnation = '1') =>
    post({ kind: RouterMessageKind.UpstreamAppeared, upstreamId, incarnation, failureDomain: 'tema-a' })
  const report = (upstreamId: string, overrides: Partial<LoadReport> = {}, incarnation = '1') =>
    post({ kind: RouterMessageKind.LoadReported, upstreamId, incarnation, report: idleReport({ madeAtMs: clock.nowMs(), ...overrides }) })
  let counter = 0
  const choose = ({ blocks = [], tokens = 600, excludedIds = [] }: { blocks?: string[], tokens?: number, excludedIds?: string[] } = {}) => {
    const [effect] = post({
      kind: RouterMessageKind.ChooseRequested, requestId: `r${counter++}`, blocks, tokens, deadlineMs: clock.nowMs() + 10_000, excludedIds
    })
    return effect?.kind === RouterEffectKind.Chosen ? effect : undefined
  }
  const dispatchTo = (upstreamId: string, blocks: string[] = [], tokens = 600) => {
    const requestId = `r${counter++}`
    post({ kind: RouterMessageKind.Dispatched, requestId, upstreamId, blocks, tokens })
    return requestId
  }
  /** Share of choices that each upstream gets. */
  const countChoices = (count: number, options?: Parameters<typeof choose>[0]) => {
    const chosen: Record<string, number> = {}
    for (let i = 0; i < count; i++) {
      const upstreamId = choose(options)?.upstreamId ?? 'none'
      chosen[upstreamId] = (chosen[upstreamId] ?? 0) + 1
    }
    return chosen
  }
  for (let i = 0; i < upstreamCount; i++) appear(`u${i}`)
  clock.advance(60_000)
  for (let i = 0; i < upstreamCount; i++) report(`u${i}`)
  return { clock, post, appear, report, choose, dispatchTo, countChoices }
}
