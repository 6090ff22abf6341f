import { Priority } from '../../src/configuration/index.js'
import { createRandom } from '../../src/core/index.js'
import { AdmissionEffectKind, AdmissionMessageKind, createAdmission } from '../../src/limits/index.js'
import { CacheEventKind, type ChoiceCounts, createRouter, FailureCause, RouterEffectKind, RouterMessageKind } from '../../src/routing/index.js'
import type { BenchRequest } from './engineFake.js'
import { type Dispatcher, ENTRY_COUNT, type ScenarioContext } from './scenario.js'

const SNAPSHOT_DELAY_MS = 1_000

/** Creates the baseline: every entry sends to the upstreams in turn. */
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

/** Creates a bound: one dispatcher that knows the exact state of all engines and sends immediately. */
export const createPerfectDispatcher = (context: ScenarioContext): Dispatcher => ({
  arrive: (entry, request) => { context.send(entry, request, findBest(context, request).engine) }
})

/**
 * Creates a bound: one global queue with exact knowledge, which holds a request until its best engine has a
 * small backlog.
 */
export const createGlobalQueue = (context: ScenarioContext): Dispatcher => {
  const waiting: Array<{ entry: number, request: BenchRequest }> = []
  const backlogMax = 512
  let isDispatching = false
  const dispatchFirst = () => {
    if (isDispatching || waiting.length === 0) return
    isDispatching = true
    const { entry, request } = waiting[0]!
    const { engine, backlogTokens } = findBest(context, request)
    if (backlogTokens <= backlogMax) {
      waiting.shift()
      context.send(entry, request, engine)
    }
    isDispatching = false
  }
  context.engines.forEach(({ stats }) => stats.stepListeners.push(dispatchFirst))
  return {
    arrive: (entry, request) => {
      waiting.push({ entry, request })
      dispatchFirst()
    }
  }
}

/** Priority of a bench request: one in five interactive, one in five batch, the others standard. */
const priorityOf = ({ requestId }: BenchRequest): Priority => {
  const remainder = Number(requestId.slice(1)) % 5
  return remainder === 0 ? Priority.Interactive : remainder === 1 ? Priority.Batch : Priority.Standard
}

/**
 * Creates the routers of the product, one for each entry and without shared state, with or without admission.
 */
export const createRouters = (
  { counts, withAdmission = false }: { counts?: ChoiceCounts, withAdmission?: boolean } = {}
) => ({ engines, queue, random, send, refuse }: ScenarioContext): Dispatcher => {
  const admissions = Array.from({ length: ENTRY_COUNT }, () => createAdmission({ clock: queue.clock, random: createRandom(random.int(1, 1e9)) }))
  const firstTokenMsById = new Map<string, number>()
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
  const upstreamIdOf = (engine: number) => `u${engine}`
  const upstreamFields = (engine: number) => ({ upstreamId: upstreamIdOf(engine), incarnation: '1' })
  const engineIndexById = new Map(engines.map((_, i) => [upstreamIdOf(i), i]))
  for (const router of routers) {
    engines.forEach((_, i) => router.handle({ kind: RouterMessageKind.UpstreamAppeared, ...upstreamFields(i), failureDomain: `d${i % 3}` }))
  }
  const handleOnRouter = (entry: number, message: Parameters<typeof routers[0]['handle']>[0]) => {
    for (const effect of routers[entry]!.handle(message)) {
      if (effect.kind !== RouterEffectKind.CacheSnapshotWanted) continue
      const { upstreamId } = effect
      queue.after(SNAPSHOT_DELAY_MS, () => routers[entry]!.handle({
        kind: RouterMessageKind.CacheSnapshotReceived, upstreamId, incarnation: '1', ...engines[engineIndexById.get(upstreamId)!]!.listCache()
      }))
    }
  }
  const handleOnAllRouters = (message: Parameters<typeof routers[0]['handle']>[0]) => { routers.forEach((_, entry) => { handleOnRouter(entry, message) }) }

  return {
    arrive: (entry, request) => {
      const { requestId, blocks, promptTokens: tokens, deadlineMs } = request
      const [effect] = routers[entry]!.handle({ kind: RouterMessageKind.ChooseRequested, requestId, blocks, tokens, deadlineMs, excludedIds: [] })
      if (effect?.kind !== RouterEffectKind.Chosen) return refuse(request)
      const { upstreamId, predictedFirstTokenMs, predictedWaitMs } = effect
      if (!admit(entry, request, { predictedFirstTokenMs, predictedWaitMs })) return refuse(request)
      handleOnRouter(entry, { kind: RouterMessageKind.Dispatched, requestId, upstreamId, blocks, tokens })
      send(entry, request, engineIndexById.get(upstreamId)!)
    },
    report: (engine, report) => { handleOnAllRouters({ kind: RouterMessageKind.LoadReported, ...upstreamFields(engine), report }) },
    cacheChanged: (engine, { sequence, changes }) => {
      const events = changes.map(({ stored, block }) => ({ kind: stored ? CacheEventKind.Stored : CacheEventKind.Removed, block }))
      handleOnAllRouters({ kind: RouterMessageKind.CacheChanged, ...upstreamFields(engine), sequence, events })
    },
    firstToken: (entry, { requestId }, engine) => {
      firstTokenMsById.set(requestId, queue.clock.nowMs())
      handleOnRouter(entry, { kind: RouterMessageKind.FirstTokenSeen, requestId, upstreamId: upstreamIdOf(engine) })
    },
    token: (entry, { requestId }, engine) => { handleOnRouter(entry, { kind: RouterMessageKind.TokenSeen, requestId, upstreamId: upstreamIdOf(engine) }) },
    ended: (entry, { requestId }, engine, finished) => {
      const firstTokenMs = firstTokenMsById.get(requestId)
      firstTokenMsById.delete(requestId)
      admissions[entry]!.handle({ kind: AdmissionMessageKind.Ended, requestId, streamMs: firstTokenMs === undefined ? undefined : queue.clock.nowMs() - firstTokenMs })
      const attemptFields = { requestId, upstreamId: upstreamIdOf(engine) }
      if (finished) handleOnRouter(entry, { kind: RouterMessageKind.Finished, ...attemptFields })
      else handleOnRouter(entry, { kind: RouterMessageKind.Failed, ...attemptFields, cause: FailureCause.Cancelled })
    },
    tick: () => { handleOnAllRouters({ kind: RouterMessageKind.Tick }) }
  }
}
