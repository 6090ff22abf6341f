import { Priority } from '../../src/configuration/index.js'
import { createRandom } from '../../src/core/index.js'
import { AdmissionEffectKind, AdmissionMessageKind, createAdmission } from '../../src/limits/index.js'
import { CacheEventKind, type ChoiceCounts, createRouter, FailureCause, RouterEffectKind, RouterMessageKind } from '../../src/routing/index.js'
import type { BenchRequest } from './engineFake.js'
import { type Dispatcher, ENTRY_COUNT, type ScenarioContext } from './scenario.js'

const SNAPSHOT_DELAY_MS = 1_000

/** Baseline: every entry takes the upstreams in turn. */
export const createRoundRobin = ({ engines, random, send }: ScenarioContext): Dispatcher => {
  const next = Array.from({ length: ENTRY_COUNT }, () => random.int(0, engines.length - 1))
  return {
    arrive: (entry, request) => {
      next[entry] = (next[entry]! + 1) % engines.length
      send(entry, request, next[entry]!)
    }
  }
}

const findBest = ({ engines }: ScenarioContext, request: BenchRequest) => {
  let best = { engine: 0, totalMs: Number.POSITIVE_INFINITY, backlogTokens: 0 }
  engines.forEach((candidate, engine) => {
    const { totalMs, backlogTokens } = candidate.predictExactly(request)
    if (totalMs < best.totalMs) best = { engine, totalMs, backlogTokens }
  })
  return best
}

/** Bound: one dispatcher that knows the exact state of all engines and sends at once. */
export const createPerfectDispatcher = (context: ScenarioContext): Dispatcher => ({
  arrive: (entry, request) => { context.send(entry, request, findBest(context, request).engine) }
})

/** Bound: one global queue with exact knowledge; a request leaves it when its engine has almost no backlog. */
export const createGlobalQueue = (context: ScenarioContext): Dispatcher => {
  const waiting: Array<{ entry: number, request: BenchRequest }> = []
  const backlogMax = 512
  let isDraining = false
  const drain = () => {
    if (isDraining || waiting.length === 0) return
    isDraining = true
    const { entry, request } = waiting[0]!
    const { engine, backlogTokens } = findBest(context, request)
    if (backlogTokens <= backlogMax) {
      waiting.shift()
      context.send(entry, request, engine)
    }
    isDraining = false
  }
  context.engines.forEach(({ stats }) => stats.stepListeners.push(drain))
  return {
    arrive: (entry, request) => {
      waiting.push({ entry, request })
      drain()
    }
  }
}

/** Priority of a bench request: one in five interactive, one in five batch. */
const priorityOf = ({ requestId }: BenchRequest): Priority => {
  const part = Number(requestId.slice(1)) % 5
  return part === 0 ? Priority.Interactive : part === 1 ? Priority.Batch : Priority.Standard
}

/** The product's routers, one for each entry, with or without admission; they share nothing. */
export const createRouters = (
  { counts, withAdmission = false }: { counts?: ChoiceCounts, withAdmission?: boolean } = {}
) => ({ engines, queue, random, send, refuse }: ScenarioContext): Dispatcher => {
  const admissions = Array.from({ length: ENTRY_COUNT }, () => createAdmission({ clock: queue.clock, random: createRandom(random.int(1, 1e9)) }))
  const startedMs = new Map<string, number>()
  const admit = (entry: number, request: BenchRequest, prediction: { predictedFirstTokenMs: number, predictedWaitMs: number }): boolean => {
    if (!withAdmission) return true
    const { requestId, customer, promptTokens: tokens, deadlineMs } = request
    const [effect] = admissions[entry]!.handle({
      kind: AdmissionMessageKind.AdmitRequested, requestId, customer, priority: priorityOf(request), tokens, deadlineMs, ...prediction
    })
    return effect?.kind === AdmissionEffectKind.Admitted
  }
  const routers = Array.from({ length: ENTRY_COUNT }, () => createRouter({
    clock: queue.clock, random: createRandom(random.int(1, 1e9)), setAsideShareMax: 0.3, counts
  }))
  const idOf = (engine: number) => `u${engine}`
  const forUpstream = (engine: number) => ({ upstreamId: idOf(engine), incarnation: '1' })
  const numberOf = new Map(engines.map((_, i) => [idOf(i), i]))
  for (const router of routers) {
    engines.forEach((_, i) => router.handle({ kind: RouterMessageKind.UpstreamAppeared, ...forUpstream(i), failureDomain: `d${i % 3}` }))
  }
  const post = (entry: number, message: Parameters<typeof routers[0]['handle']>[0]) => {
    for (const effect of routers[entry]!.handle(message)) {
      if (effect.kind !== RouterEffectKind.CacheSnapshotWanted) continue
      const { upstreamId } = effect
      queue.after(SNAPSHOT_DELAY_MS, () => routers[entry]!.handle({
        kind: RouterMessageKind.CacheSnapshotReceived, upstreamId, incarnation: '1', ...engines[numberOf.get(upstreamId)!]!.listCache()
      }))
    }
  }
  const postAll = (message: Parameters<typeof routers[0]['handle']>[0]) => { routers.forEach((_, entry) => { post(entry, message) }) }

  return {
    arrive: (entry, request) => {
      const { requestId, blocks, promptTokens: tokens, deadlineMs } = request
      const [effect] = routers[entry]!.handle({ kind: RouterMessageKind.ChooseRequested, requestId, blocks, tokens, deadlineMs, excludedIds: [] })
      if (effect?.kind !== RouterEffectKind.Chosen) return refuse(request)
      const { upstreamId, predictedFirstTokenMs, predictedWaitMs } = effect
      if (!admit(entry, request, { predictedFirstTokenMs, predictedWaitMs })) return refuse(request)
      post(entry, { kind: RouterMessageKind.Dispatched, requestId, upstreamId, blocks, tokens })
      send(entry, request, numberOf.get(upstreamId)!)
    },
    report: (engine, report) => { postAll({ kind: RouterMessageKind.LoadReported, ...forUpstream(engine), report }) },
    cacheChanged: (engine, { sequence, changes }) => {
      const events = changes.map(({ stored, block }) => ({ kind: stored ? CacheEventKind.Stored : CacheEventKind.Removed, block }))
      postAll({ kind: RouterMessageKind.CacheChanged, ...forUpstream(engine), sequence, events })
    },
    firstToken: (entry, { requestId }, engine) => {
      startedMs.set(requestId, queue.clock.nowMs())
      post(entry, { kind: RouterMessageKind.FirstTokenSeen, requestId, upstreamId: idOf(engine) })
    },
    token: (entry, { requestId }, engine) => { post(entry, { kind: RouterMessageKind.TokenSeen, requestId, upstreamId: idOf(engine) }) },
    ended: (entry, { requestId }, engine, finished) => {
      const atMs = startedMs.get(requestId)
      startedMs.delete(requestId)
      admissions[entry]!.handle({ kind: AdmissionMessageKind.Ended, requestId, streamMs: atMs === undefined ? undefined : queue.clock.nowMs() - atMs })
      const base = { requestId, upstreamId: idOf(engine) }
      if (finished) post(entry, { kind: RouterMessageKind.Finished, ...base })
      else post(entry, { kind: RouterMessageKind.Failed, ...base, cause: FailureCause.Cancelled })
    },
    tick: () => { postAll({ kind: RouterMessageKind.Tick }) }
  }
}
