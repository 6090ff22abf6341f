import { createRandom } from '../../src/core/index.js'
import { createRetryBudget, RetryBudgetEffectKind, RetryBudgetMessageKind } from '../../src/limits/index.js'
import { createRouter, FailureCause, RouterEffectKind, RouterMessageKind } from '../../src/routing/index.js'
import { createEventQueue, type Figure } from '../harness/index.js'
import { ENTRY_COUNT } from './scenario.js'

const UPSTREAM_COUNT = 12
const REQUESTS_PER_S = 120
const FAULT_AT_MS = 10_000
const DURATION_MS = 70_000
const RETRIES_MAX = 3
const RETRY_BUDGET_RATIO = 0.1

/** Sends requests without a prompt while a third of the upstreams responds with errors. */
const runRetries = (seed: number, isNaive: boolean) => {
  const queue = createEventQueue()
  const random = createRandom(seed)
  const counts = { requests: 0, attempts: 0, served: 0 }
  const entries = Array.from({ length: ENTRY_COUNT }, () => ({
    router: createRouter({ clock: queue.clock, random: createRandom(random.int(1, 1e9)), setAsideShareMax: 0.3 }),
    budget: createRetryBudget()
  }))
  for (const { router } of entries) {
    for (let i = 0; i < UPSTREAM_COUNT; i++) {
      router.handle({ kind: RouterMessageKind.UpstreamAppeared, upstreamId: `u${i}`, incarnation: '1', failureDomain: `d${i % 3}` })
    }
  }
  const isFailing = (upstreamId: string) => queue.clock.nowMs() >= FAULT_AT_MS && Number(upstreamId.slice(1)) < UPSTREAM_COUNT / 3
  const isCounted = () => queue.clock.nowMs() >= FAULT_AT_MS

  const attempt = (entry: number, requestId: string, customer: string, triedIds: string[]) => {
    const { router, budget } = entries[entry]!
    const [effect] = router.handle({
      kind: RouterMessageKind.ChooseRequested, requestId, blocks: [], tokens: 1, deadlineMs: Number.MAX_SAFE_INTEGER, excludedIds: triedIds
    })
    const upstreamId = isNaive ? `u${random.int(0, UPSTREAM_COUNT - 1)}` : effect?.kind === RouterEffectKind.Chosen ? effect.upstreamId : undefined
    if (upstreamId === undefined) return
    if (isCounted()) counts.attempts += 1
    router.handle({ kind: RouterMessageKind.Dispatched, requestId, upstreamId, blocks: [], tokens: 1 })
    const isFailed = isFailing(upstreamId)
    queue.after(isFailed ? 5 : random.int(10, 40), () => {
      if (!isFailed) {
        if (isCounted()) counts.served += 1
        router.handle({ kind: RouterMessageKind.FirstTokenSeen, requestId, upstreamId })
        router.handle({ kind: RouterMessageKind.Finished, requestId, upstreamId })
        return
      }
      router.handle({ kind: RouterMessageKind.Failed, requestId, upstreamId, cause: FailureCause.Error })
      if (triedIds.length >= RETRIES_MAX) return
      const [budgetEffect] = budget.handle({ kind: RetryBudgetMessageKind.RetryRequested, requestId, customer, pool: 'quotes' })
      if (isNaive || budgetEffect?.kind === RetryBudgetEffectKind.RetryAllowed) attempt(entry, requestId, customer, [...triedIds, upstreamId])
    })
  }

  const arrive = () => {
    const entry = random.int(0, ENTRY_COUNT - 1)
    const customer = `customer-${random.int(0, 9)}`
    if (isCounted()) counts.requests += 1
    entries[entry]!.budget.handle({ kind: RetryBudgetMessageKind.RequestSeen, customer, pool: 'quotes', ratio: RETRY_BUDGET_RATIO })
    attempt(entry, `r${counts.requests}-${queue.clock.nowMs()}`, customer, [])
    if (queue.clock.nowMs() < DURATION_MS) queue.after(random.exponential(1_000 / REQUESTS_PER_S), arrive)
  }
  arrive()
  queue.every(500, () => {
    for (const { router } of entries) router.handle({ kind: RouterMessageKind.Tick })
    return queue.clock.nowMs() < DURATION_MS
  })
  queue.runUntil(DURATION_MS + 1_000)
  return { amplification: counts.attempts / counts.requests, servedShare: counts.served / counts.requests }
}

/** Measures the attempts per request once a third of the upstreams fails. */
export const measureRetries = (seed: number): Figure[] => {
  const budgeted = runRetries(seed, false)
  const naive = runRetries(seed, true)
  return [{
    suite: 'routing',
    figure: 'retry_amplification',
    unit: 'attempts',
    baseline: naive.amplification,
    value: budgeted.amplification,
    seed,
    target: { max: 1.1 },
    note: `served ${budgeted.servedShare.toFixed(4)}, naive ${naive.servedShare.toFixed(4)} with random upstreams and up to 3 retries`
  }]
}
