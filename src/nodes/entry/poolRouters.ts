import { type Clock, createLog, type Random, ResultCode, type TimestampMs } from '../../core/index.js'
import { type PoolRow, UpstreamKind } from '../../configuration/index.js'
import type { PeerIdentity } from '../../links/index.js'
import { AttemptResult, type CacheEventsFrame, type ChosenAgent, type AgentLoadReport, type SubmittedRequest } from '../../requests/index.js'
import {
  CacheEventKind, type Choice, createRouter, FailureCause, type LoadReport, type RouterEffect, RouterEffectKind,
  type RouterMessage, RouterMessageKind, type UpstreamExplanation
} from '../../routing/index.js'

const log = createLog('routing')

/** Number of requests whose routing explanations are kept for `baobabdrift explain`. */
const EXPLANATIONS_MAX = 1_000

const CAUSE_OF_RESULT: Partial<Record<AttemptResult, FailureCause>> = {
  [AttemptResult.Refused]: FailureCause.Busy,
  [AttemptResult.UpstreamDied]: FailureCause.Error,
  [AttemptResult.Lost]: FailureCause.Lost,
  [AttemptResult.Cancelled]: FailureCause.Cancelled
}

interface LinkedAgent {
  peer: PeerIdentity
  isDraining: boolean
}

export interface PoolRoutersOptions {
  clock: Clock
  random: Random
  pool: (name: string) => PoolRow | undefined
  /** Whether the agents of a failure domain get no further requests. */
  isEvacuated: (failureDomain: string) => boolean
  onEjected: (agentId: string) => void
}

/** Chooses agents for requests, with one router core per pool that is updated from the links of this entry. */
export interface PoolRouters {
  addAgent (peer: PeerIdentity): void
  removeAgent (agentId: string): void
  setDraining (agentId: string): void
  recordReport (agentId: string, frame: AgentLoadReport): void
  recordCacheEvents (agentId: string, frame: CacheEventsFrame): void
  choose (request: SubmittedRequest, excludedAgentIds: readonly string[]): (ChosenAgent & { choice: Choice }) | ResultCode
  /** Explains where a request would go now, without choosing for it. */
  explainUpstreams (request: SubmittedRequest): { upstreams: readonly UpstreamExplanation[], code: ResultCode, explanation: string }
  recordDispatch (request: SubmittedRequest, agentId: string): void
  recordFirstBytes (request: SubmittedRequest, agentId: string): void
  /** Records later bytes of a stream; the gaps between them show the upstream's load before its next report. */
  recordBytes (request: SubmittedRequest, agentId: string): void
  recordEnd (request: SubmittedRequest, agentId: string, result: AttemptResult): void
  /** Replaces the router of a pool whose row has changed and adds the pool's agents to the new one. */
  onRowsChanged (): void
  tick (): void
  explain (requestId: string): string[]
  readonly agentCount: number
}

/** Cost of a request in the unit of its pool: tokens for engines, requests for services. */
const workOf = (request: SubmittedRequest, pool: PoolRow | undefined): number =>
  pool?.upstreamKind === UpstreamKind.Service ? 1 : Math.max(1, request.estimatedTokens)

const toLoadReport = (frame: AgentLoadReport, nowMs: TimestampMs): LoadReport => ({
  sequence: frame.sequence,
  madeAtMs: nowMs - frame.ageMs,
  queuedTokens: frame.queuedTokens,
  runningRequests: frame.runningRequests,
  waitingRequests: frame.waitingRequests,
  runningMax: frame.runningMax,
  tokensPerS: frame.tokensPerS,
  acceptedTokens: frame.acceptedTokens,
  finishedPerS: frame.finishedPerS,
  closedUntilMs: nowMs + frame.closedForMs,
  ...(frame.cacheEventSequence === undefined || frame.cacheBlocksMax === undefined
    ? {}
    : { prefixCache: { eventSequence: frame.cacheEventSequence, blocksMax: frame.cacheBlocksMax } })
})

/**
 * Creates the pool routers of one entry.
 *
 * @example
 * const routers = createPoolRouters({ clock, random, pool: table.pool, isEvacuated: table.isEvacuated, onEjected })
 * routers.addAgent(peer)
 * routers.choose(request, [])
 */
export const createPoolRouters = ({ clock, random, pool, isEvacuated, onEjected }: PoolRoutersOptions): PoolRouters => {
  const routers = new Map<string, { router: ReturnType<typeof createRouter>, setAsideShareMax: number }>()
  const agents = new Map<string, LinkedAgent>()
  const explanations = new Map<string, string[]>()

  const routerOf = (poolName: string) => {
    const existing = routers.get(poolName)
    if (existing !== undefined) return existing.router
    const setAsideShareMax = pool(poolName)?.setAsideShareMax ?? 0
    const created = createRouter({ clock, random, setAsideShareMax, isEvacuated })
    routers.set(poolName, { router: created, setAsideShareMax })
    return created
  }

  const addExplanation = (requestId: string, text: string) => {
    const lines = explanations.get(requestId)
    if (lines !== undefined) {
      lines.push(text)
      return
    }
    explanations.set(requestId, [text])
    if (explanations.size <= EXPLANATIONS_MAX) return
    const [oldest] = explanations.keys()
    if (oldest !== undefined) explanations.delete(oldest)
  }

  const handleEffects = (effects: RouterEffect[]) => {
    for (const effect of effects) {
      if (effect.kind !== RouterEffectKind.Ejected) continue
      log('upstream %s was ejected: %s', effect.upstreamId, effect.reason)
      onEjected(effect.upstreamId)
    }
  }

  const upstreamRunOf = ({ peer }: LinkedAgent) => ({ upstreamId: peer.nodeId, incarnation: peer.incarnation })

  const sendToRouter = (agentId: string, toMessage: (agent: LinkedAgent) => RouterMessage) => {
    const agent = agents.get(agentId)
    if (agent?.peer.pool !== undefined) handleEffects(routerOf(agent.peer.pool).handle(toMessage(agent)))
  }

  const addToRouter = ({ peer, isDraining }: LinkedAgent) => {
    sendToRouter(peer.nodeId, agent => ({
      kind: RouterMessageKind.UpstreamAppeared, ...upstreamRunOf(agent), failureDomain: peer.failureDomain
    }))
    if (isDraining) sendToRouter(peer.nodeId, agent => ({ kind: RouterMessageKind.UpstreamDraining, ...upstreamRunOf(agent) }))
  }

  const explainUpstreams: PoolRouters['explainUpstreams'] = request => {
    const [effect] = routerOf(request.pool).handle({
      kind: RouterMessageKind.ExplainRequested,
      requestId: request.requestId,
      blocks: request.promptBlocks,
      tokens: workOf(request, pool(request.pool)),
      deadlineMs: request.deadlineAtMs,
      excludedIds: []
    })
    return effect?.kind === RouterEffectKind.Explained ? effect : { upstreams: [], code: ResultCode.NoUpstream, explanation: '' }
  }

  const choose: PoolRouters['choose'] = (request, excludedIds) => {
    const effects = routerOf(request.pool).handle({
      kind: RouterMessageKind.ChooseRequested,
      requestId: request.requestId,
      blocks: request.promptBlocks,
      tokens: workOf(request, pool(request.pool)),
      deadlineMs: request.deadlineAtMs,
      excludedIds
    })
    for (const effect of effects) {
      if (effect.kind === RouterEffectKind.NoneAvailable) {
        addExplanation(request.requestId, effect.explanation)
        return effect.code
      }
      if (effect.kind !== RouterEffectKind.Chosen) continue
      addExplanation(request.requestId, effect.explanation)
      const agent = agents.get(effect.upstreamId)
      if (agent === undefined) continue
      const { nodeId: agentId, incarnation, address } = agent.peer
      return { agentId, incarnation, address, choice: effect }
    }
    return ResultCode.NoUpstream
  }

  return {
    addAgent: peer => {
      if (peer.pool === undefined) return
      const known = agents.get(peer.nodeId)
      if (known?.peer.incarnation === peer.incarnation) return
      const agent = { peer, isDraining: false }
      agents.set(peer.nodeId, agent)
      addToRouter(agent)
    },
    removeAgent: agentId => {
      sendToRouter(agentId, agent => ({ kind: RouterMessageKind.UpstreamLeft, ...upstreamRunOf(agent) }))
      agents.delete(agentId)
    },
    setDraining: agentId => {
      const agent = agents.get(agentId)
      if (agent !== undefined) agent.isDraining = true
      sendToRouter(agentId, agent => ({ kind: RouterMessageKind.UpstreamDraining, ...upstreamRunOf(agent) }))
    },
    recordReport: (agentId, frame) => {
      if (!frame.isUp) return
      sendToRouter(agentId, agent =>
        ({ kind: RouterMessageKind.LoadReported, ...upstreamRunOf(agent), report: toLoadReport(frame, clock.nowMs()) }))
    },
    recordCacheEvents: (agentId, { events }) => {
      for (const { sequence, isStored, blocks } of events) {
        const kind = isStored ? CacheEventKind.Stored : CacheEventKind.Removed
        sendToRouter(agentId, agent => ({
          kind: RouterMessageKind.CacheChanged, ...upstreamRunOf(agent), sequence, events: blocks.map(block => ({ kind, block }))
        }))
      }
    },
    choose,
    explainUpstreams,
    recordDispatch: (request, agentId) => sendToRouter(agentId, () => ({
      kind: RouterMessageKind.Dispatched,
      requestId: request.requestId,
      upstreamId: agentId,
      blocks: request.promptBlocks,
      tokens: workOf(request, pool(request.pool))
    })),
    recordFirstBytes: ({ requestId }, upstreamId) =>
      sendToRouter(upstreamId, () => ({ kind: RouterMessageKind.FirstTokenSeen, requestId, upstreamId })),
    recordBytes: ({ requestId }, upstreamId) =>
      sendToRouter(upstreamId, () => ({ kind: RouterMessageKind.TokenSeen, requestId, upstreamId })),
    recordEnd: ({ requestId }, upstreamId, result) => {
      const cause = CAUSE_OF_RESULT[result]
      sendToRouter(upstreamId, () => cause === undefined
        ? { kind: RouterMessageKind.Finished, requestId, upstreamId }
        : { kind: RouterMessageKind.Failed, requestId, upstreamId, cause })
    },
    onRowsChanged: () => {
      for (const [poolName, { setAsideShareMax }] of routers) {
        if (pool(poolName)?.setAsideShareMax === setAsideShareMax) continue
        routers.delete(poolName)
        for (const agent of agents.values()) if (agent.peer.pool === poolName) addToRouter(agent)
      }
    },
    tick: () => {
      for (const { router } of routers.values()) handleEffects(router.handle({ kind: RouterMessageKind.Tick }))
    },
    explain: requestId => explanations.get(requestId) ?? [],
    get agentCount () { return agents.size }
  }
}
