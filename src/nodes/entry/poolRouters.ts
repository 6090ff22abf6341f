import { type Clock, createLog, type Random, ResultCode, type TimestampMs } from '../../core/index.js'
import { type PoolRow, UpstreamKind } from '../../configuration/index.js'
import type { PeerIdentity } from '../../links/index.js'
import { AttemptResult, type CacheEventsFrame, type ChosenAgent, type AgentLoadReport, type SubmittedRequest } from '../../requests/index.js'
import {
  CacheEventKind, type Choice, createRouter, FailureCause, type LoadReport, type RouterEffect, RouterEffectKind,
  type RouterMessage, RouterMessageKind
} from '../../routing/index.js'

const log = createLog('routing')

/** Explanations kept for `baobabdrift explain`. */
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
  onEjected: (agentId: string) => void
}

/** Chooses agents for requests: one router core per pool, fed by the links of this entry. */
export interface PoolRouters {
  addAgent (peer: PeerIdentity): void
  removeAgent (agentId: string): void
  setDraining (agentId: string): void
  noteReport (agentId: string, frame: AgentLoadReport): void
  noteCacheEvents (agentId: string, frame: CacheEventsFrame): void
  choose (request: SubmittedRequest, excludedAgentIds: readonly string[]): (ChosenAgent & { choice: Choice }) | ResultCode
  noteDispatched (request: SubmittedRequest, agentId: string): void
  noteFirstBytes (request: SubmittedRequest, agentId: string): void
  /** Later bytes of a stream; their gaps show the load of the upstream before its next report. */
  noteBytes (request: SubmittedRequest, agentId: string): void
  noteEnded (request: SubmittedRequest, agentId: string, result: AttemptResult): void
  /** An edited pool gets a new router; its agents appear in it again. */
  onRowsChanged (): void
  tick (): void
  explain (requestId: string): string[]
  readonly agentCount: number
}

/** Work of a request in the unit of its pool: tokens for engines, requests for services. */
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
  ...(frame.cacheEventSequence === undefined || frame.cacheBlocksMax === undefined
    ? {}
    : { prefixCache: { eventSequence: frame.cacheEventSequence, blocksMax: frame.cacheBlocksMax } })
})

/**
 * Creates the routers of one entry.
 *
 * @example
 * const routers = createPoolRouters({ clock, random, pool: table.pool, onEjected })
 * routers.addAgent(peer)
 * routers.choose(request, [])
 */
export const createPoolRouters = ({ clock, random, pool, onEjected }: PoolRoutersOptions): PoolRouters => {
  const routers = new Map<string, { router: ReturnType<typeof createRouter>, setAsideShareMax: number }>()
  const agents = new Map<string, LinkedAgent>()
  const explanations = new Map<string, string[]>()

  const routerOf = (poolName: string) => {
    const existing = routers.get(poolName)
    if (existing !== undefined) return existing.router
    const setAsideShareMax = pool(poolName)?.setAsideShareMax ?? 0
    const created = createRouter({ clock, random, setAsideShareMax })
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

  const noteEffects = (effects: RouterEffect[]) => {
    for (const effect of effects) {
      if (effect.kind !== RouterEffectKind.Ejected) continue
      log('upstream %s is ejected: %s', effect.upstreamId, effect.reason)
      onEjected(effect.upstreamId)
    }
  }

  const runOf = ({ peer }: LinkedAgent) => ({ upstreamId: peer.nodeId, incarnation: peer.incarnation })

  const tell = (agentId: string, toMessage: (agent: LinkedAgent) => RouterMessage) => {
    const agent = agents.get(agentId)
    if (agent?.peer.pool !== undefined) noteEffects(routerOf(agent.peer.pool).handle(toMessage(agent)))
  }

  const appear = ({ peer, isDraining }: LinkedAgent) => {
    tell(peer.nodeId, agent => ({
      kind: RouterMessageKind.UpstreamAppeared, ...runOf(agent), failureDomain: peer.failureDomain
    }))
    if (isDraining) tell(peer.nodeId, agent => ({ kind: RouterMessageKind.UpstreamDraining, ...runOf(agent) }))
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
      appear(agent)
    },
    removeAgent: agentId => {
      tell(agentId, agent => ({ kind: RouterMessageKind.UpstreamLeft, ...runOf(agent) }))
      agents.delete(agentId)
    },
    setDraining: agentId => {
      const agent = agents.get(agentId)
      if (agent !== undefined) agent.isDraining = true
      tell(agentId, agent => ({ kind: RouterMessageKind.UpstreamDraining, ...runOf(agent) }))
    },
    noteReport: (agentId, frame) => {
      if (!frame.isUp) return
      tell(agentId, agent =>
        ({ kind: RouterMessageKind.LoadReported, ...runOf(agent), report: toLoadReport(frame, clock.nowMs()) }))
    },
    noteCacheEvents: (agentId, { events }) => {
      for (const { sequence, isStored, blocks } of events) {
        const kind = isStored ? CacheEventKind.Stored : CacheEventKind.Removed
        tell(agentId, agent => ({
          kind: RouterMessageKind.CacheChanged, ...runOf(agent), sequence, events: blocks.map(block => ({ kind, block }))
        }))
      }
    },
    choose,
    noteDispatched: (request, agentId) => tell(agentId, () => ({
      kind: RouterMessageKind.Dispatched,
      requestId: request.requestId,
      upstreamId: agentId,
      blocks: request.promptBlocks,
      tokens: workOf(request, pool(request.pool))
    })),
    noteFirstBytes: ({ requestId }, upstreamId) =>
      tell(upstreamId, () => ({ kind: RouterMessageKind.FirstTokenSeen, requestId, upstreamId })),
    noteBytes: ({ requestId }, upstreamId) =>
      tell(upstreamId, () => ({ kind: RouterMessageKind.TokenSeen, requestId, upstreamId })),
    noteEnded: ({ requestId }, upstreamId, result) => {
      const cause = CAUSE_OF_RESULT[result]
      tell(upstreamId, () => cause === undefined
        ? { kind: RouterMessageKind.Finished, requestId, upstreamId }
        : { kind: RouterMessageKind.Failed, requestId, upstreamId, cause })
    },
    onRowsChanged: () => {
      for (const [poolName, { setAsideShareMax }] of routers) {
        if (pool(poolName)?.setAsideShareMax === setAsideShareMax) continue
        routers.delete(poolName)
        for (const agent of agents.values()) if (agent.peer.pool === poolName) appear(agent)
      }
    },
    tick: () => {
      for (const { router } of routers.values()) noteEffects(router.handle({ kind: RouterMessageKind.Tick }))
    },
    explain: requestId => explanations.get(requestId) ?? [],
    get agentCount () { return agents.size }
  }
}
