import { type Clock, type Core, dispatch, type HandlerTable, type Random, ResultCode, type TimestampMs } from '../core/index.js'
import { type ChoiceCounts, compareUpstreams, DEFAULT_CHOICE_COUNTS, explainChoice, findAvailable, isClosed } from './chooseUpstream.js'
import {
  BLOCK_TOKENS, FailureCause, GAP_SMOOTHING, IN_FLIGHT_MAX, OVERHEAD_MAX_MS, RouterEffectKind, RouterMessageKind, SMOOTHING, SNAPSHOT_INTERVAL_MS,
  RECENT_DISPATCHES_MAX, UpstreamState, WORK_PER_S_DEFAULT
} from './constants.js'
import { explainUpstreams } from './explainUpstreams.js'
import { ejectOutlier, recordAttemptEnd, reinstateIfDue } from './ejection.js'
import { getDefaultUpstream, type Upstream } from './getDefaultUpstream.js'
import { decayedOverheadMs, predict } from './predict.js'
import type { RouterEffect, RouterMessage } from './types.js'

export interface RouterOptions {
  clock: Clock
  random: Random
  /** Largest share of the pool's upstreams that may be ejected at the same time; set in the pool's row. */
  setAsideShareMax: number
  /** Whether the upstreams of a failure domain get no further requests. */
  isEvacuated?: (failureDomain: string) => boolean
  /** Numbers of upstreams compared for a request; benchmarks vary them. */
  counts?: ChoiceCounts
}

export type { ChoiceCounts }

type MessageOf<Kind extends RouterMessageKind> = Extract<RouterMessage, { kind: Kind }>

/**
 * Weight of the newest sample in the moving average of an upstream's overhead. Samples come from this
 * entry's own requests only: a delay shared through the reports makes all entries shift load together.
 */
const OVERHEAD_SMOOTHING = 0.1

const isUpstreamFault: Record<FailureCause, boolean> = {
  [FailureCause.Error]: true,
  [FailureCause.Lost]: true,
  [FailureCause.Busy]: false,
  [FailureCause.Cancelled]: false
}

/**
 * Creates the router of one pool in one entry: it chooses the upstream for each request. It uses load
 * reports, cache events and its own dispatches, and does not coordinate with other entries.
 *
 * @example
 * const router = createRouter({ clock, random, setAsideShareMax: pool.setAsideShareMax })
 * router.handle({ kind: RouterMessageKind.UpstreamAppeared, upstreamId: 'u1', incarnation, failureDomain: 'tema-a' })
 * const [effect] = router.handle({ kind: RouterMessageKind.ChooseRequested, requestId: 'r1', blocks: [], tokens: 1, deadlineMs, excludedIds: [] })
 */
export const createRouter = (
  { clock, random, setAsideShareMax, isEvacuated = () => false, counts = DEFAULT_CHOICE_COUNTS }: RouterOptions
): Core<RouterMessage, RouterEffect> => {
  const upstreams = new Map<string, Upstream>()

  const findIncarnation = ({ upstreamId, incarnation }: { upstreamId: string, incarnation: string }): Upstream | undefined => {
    const upstream = upstreams.get(upstreamId)
    return upstream?.incarnation === incarnation ? upstream : undefined
  }

  const requestSnapshot = (upstream: Upstream): RouterEffect[] => {
    const nowMs = clock.nowMs()
    if (nowMs - upstream.snapshotRequestedMs < SNAPSHOT_INTERVAL_MS) return []
    upstream.snapshotRequestedMs = nowMs
    return [{ kind: RouterEffectKind.CacheSnapshotWanted, upstreamId: upstream.upstreamId }]
  }

  const onAppeared = ({ upstreamId, incarnation, failureDomain }: MessageOf<RouterMessageKind.UpstreamAppeared>): RouterEffect[] => {
    if (upstreams.get(upstreamId)?.incarnation === incarnation) return []
    // A new incarnation starts with an empty cache and queue, so the state of the old one is discarded.
    upstreams.set(upstreamId, getDefaultUpstream({ upstreamId, incarnation, failureDomain, nowMs: clock.nowMs() }))
    return []
  }

  const onLeft = (message: MessageOf<RouterMessageKind.UpstreamLeft>): RouterEffect[] => {
    if (findIncarnation(message) !== undefined) upstreams.delete(message.upstreamId)
    return []
  }

  const onDraining = (message: MessageOf<RouterMessageKind.UpstreamDraining>): RouterEffect[] => {
    const upstream = findIncarnation(message)
    if (upstream !== undefined) upstream.state = UpstreamState.Draining
    return []
  }

  const updateOtherInflow = (upstream: Upstream, madeAtMs: number, acceptedTokens: number) => {
    const previous = upstream.report
    const ownTokens = upstream.recentDispatches.reduce((sum, { atMs, tokens }) => atMs <= madeAtMs ? sum + tokens : sum, 0)
    upstream.recentDispatches = upstream.recentDispatches.filter(({ atMs }) => atMs > madeAtMs)
    if (previous === undefined || madeAtMs <= previous.madeAtMs) return
    const seconds = (madeAtMs - previous.madeAtMs) / 1_000
    const othersPerS = Math.max(0, acceptedTokens - previous.acceptedTokens - ownTokens) / seconds
    upstream.otherInflowPerS += SMOOTHING * (othersPerS - upstream.otherInflowPerS)
  }

  const onReport = (message: MessageOf<RouterMessageKind.LoadReported>): RouterEffect[] => {
    const upstream = findIncarnation(message)
    const { report } = message
    if (upstream === undefined) return []
    if (upstream.report !== undefined && report.sequence <= upstream.report.sequence) return []
    updateOtherInflow(upstream, report.madeAtMs, report.acceptedTokens)
    upstream.report = report
    if (report.prefixCache !== undefined) upstream.prefix.updateState(report.prefixCache, clock.nowMs())
    return []
  }

  const onCacheChanged = (message: MessageOf<RouterMessageKind.CacheChanged>): RouterEffect[] => {
    const upstream = findIncarnation(message)
    if (upstream === undefined) return []
    return upstream.prefix.applyEvents(message.sequence, message.events, clock.nowMs()) ? requestSnapshot(upstream) : []
  }

  const onSnapshot = (message: MessageOf<RouterMessageKind.CacheSnapshotReceived>): RouterEffect[] => {
    findIncarnation(message)?.prefix.replace(message.sequence, message.blocks)
    return []
  }

  const explainNone = (inService: readonly Upstream[], excludedIds: readonly string[], nowMs: TimestampMs) => {
    const closedCount = inService.filter(upstream => isClosed(upstream, nowMs)).length
    const evacuatedCount = upstreams.size - inService.length
    const isAllEvacuated = evacuatedCount > 0 && inService.length === 0
    const code = closedCount > 0 ? ResultCode.Overloaded : isAllEvacuated ? ResultCode.AllEvacuated : ResultCode.NoUpstream
    const explanation = `no upstream: ${upstreams.size} known, ${evacuatedCount} evacuated, ${excludedIds.length} excluded, ${closedCount} take no request for now`
    return { code, explanation }
  }

  const onChoose = (message: MessageOf<RouterMessageKind.ChooseRequested>): RouterEffect[] => {
    const { requestId, deadlineMs, excludedIds } = message
    const nowMs = clock.nowMs()
    const inService = [...upstreams.values()].filter(({ failureDomain }) => !isEvacuated(failureDomain))
    const available = findAvailable(inService, excludedIds, nowMs)
    if (available.length === 0) {
      const { code, explanation } = explainNone(inService, excludedIds, nowMs)
      return [{ kind: RouterEffectKind.NoneAvailable, requestId, code, explanation }]
    }
    const predictions = compareUpstreams(available, message, { counts, random, nowMs })
    const { upstream, firstTokenMs, uncachedTokens, tokensPerS } = predictions[0]!
    return [{
      kind: RouterEffectKind.Chosen,
      requestId,
      upstreamId: upstream.upstreamId,
      predictedFirstTokenMs: firstTokenMs,
      predictedWaitMs: firstTokenMs - uncachedTokens / tokensPerS * 1_000,
      meetsDeadline: nowMs + firstTokenMs <= deadlineMs,
      explanation: explainChoice(predictions, predictions.length, available.length)
    }]
  }

  const onExplain = (message: MessageOf<RouterMessageKind.ExplainRequested>): RouterEffect[] => {
    const nowMs = clock.nowMs()
    const inService = [...upstreams.values()].filter(({ failureDomain }) => !isEvacuated(failureDomain))
    const available = findAvailable(inService, message.excludedIds, nowMs)
    const predictions = available.length === 0 ? [] : compareUpstreams(available, message, { counts, random, nowMs })
    return [{
      kind: RouterEffectKind.Explained,
      upstreams: explainUpstreams(upstreams.values(), { available, predictions, isEvacuated, nowMs }),
      ...(available.length === 0
        ? explainNone(inService, message.excludedIds, nowMs)
        : { code: ResultCode.Ok, explanation: explainChoice(predictions, predictions.length, available.length) })
    }]
  }

  const onDispatched = (message: MessageOf<RouterMessageKind.Dispatched>): RouterEffect[] => {
    const upstream = upstreams.get(message.upstreamId)
    if (upstream === undefined || upstream.attempts.size >= IN_FLIGHT_MAX) return []
    const nowMs = clock.nowMs()
    const { uncachedTokens, firstTokenMs } = predict(upstream, message, { poolTokensPerS: WORK_PER_S_DEFAULT, nowMs })
    upstream.attempts.set(message.requestId, {
      dispatchedMs: nowMs, tokens: uncachedTokens, processingMs: firstTokenMs - decayedOverheadMs(upstream, nowMs), firstTokenSeen: false, lastTokenMs: 0
    })
    upstream.meanTokens += SMOOTHING * (uncachedTokens - upstream.meanTokens)
    upstream.recentDispatches.push({ atMs: nowMs, tokens: uncachedTokens })
    if (upstream.recentDispatches.length > RECENT_DISPATCHES_MAX) upstream.recentDispatches.shift()
    upstream.prefix.addPrompt(message.blocks.slice(0, Math.floor(message.tokens / BLOCK_TOKENS)))
    return []
  }

  const onFirstToken = ({ requestId, upstreamId }: MessageOf<RouterMessageKind.FirstTokenSeen>): RouterEffect[] => {
    const upstream = upstreams.get(upstreamId)
    const attempt = upstream?.attempts.get(requestId)
    if (upstream === undefined || attempt === undefined || attempt.firstTokenSeen) return []
    attempt.firstTokenSeen = true
    attempt.lastTokenMs = clock.nowMs()
    if (upstream.report === undefined) return []
    const nowMs = clock.nowMs()
    const sampleMs = nowMs - attempt.dispatchedMs - attempt.processingMs
    const decayedMs = decayedOverheadMs(upstream, nowMs)
    const nextMs = decayedMs + OVERHEAD_SMOOTHING * (sampleMs - decayedMs)
    upstream.overheadAtMs = nowMs
    upstream.overheadMs = Math.min(OVERHEAD_MAX_MS, Math.max(0, nextMs))
    return []
  }

  const onToken = ({ requestId, upstreamId }: MessageOf<RouterMessageKind.TokenSeen>): RouterEffect[] => {
    const upstream = upstreams.get(upstreamId)
    const attempt = upstream?.attempts.get(requestId)
    if (upstream === undefined || attempt === undefined || !attempt.firstTokenSeen) return []
    const nowMs = clock.nowMs()
    upstream.lastGapMs = nowMs - attempt.lastTokenMs
    upstream.lastGapAtMs = nowMs
    attempt.lastTokenMs = nowMs
    upstream.meanGapMs += GAP_SMOOTHING * (upstream.lastGapMs - upstream.meanGapMs)
    return []
  }

  const onFinished = ({ requestId, upstreamId }: MessageOf<RouterMessageKind.Finished>): RouterEffect[] => {
    const upstream = upstreams.get(upstreamId)
    if (upstream?.attempts.delete(requestId)) recordAttemptEnd(upstream, false, clock.nowMs())
    return []
  }

  const onFailed = ({ requestId, upstreamId, cause }: MessageOf<RouterMessageKind.Failed>): RouterEffect[] => {
    const upstream = upstreams.get(upstreamId)
    if (upstream === undefined || !upstream.attempts.delete(requestId) || !isUpstreamFault[cause]) return []
    recordAttemptEnd(upstream, true, clock.nowMs())
    const reason = ejectOutlier(upstream, { upstreams, setAsideShareMax, nowMs: clock.nowMs() })
    if (reason === undefined) return []
    return [{ kind: RouterEffectKind.Ejected, upstreamId, untilMs: upstream.ejectedUntilMs, reason }]
  }

  const onTick = (): RouterEffect[] => {
    const nowMs = clock.nowMs()
    return [...upstreams.values()].flatMap((upstream): RouterEffect[] => [
      ...upstream.prefix.expireGaps(nowMs) ? requestSnapshot(upstream) : [],
      ...reinstateIfDue(upstream, nowMs) ? [{ kind: RouterEffectKind.Reinstated as const, upstreamId: upstream.upstreamId }] : []
    ])
  }

  const handlers: HandlerTable<RouterMessage, RouterEffect[]> = {
    [RouterMessageKind.UpstreamAppeared]: onAppeared,
    [RouterMessageKind.UpstreamLeft]: onLeft,
    [RouterMessageKind.UpstreamDraining]: onDraining,
    [RouterMessageKind.LoadReported]: onReport,
    [RouterMessageKind.CacheChanged]: onCacheChanged,
    [RouterMessageKind.CacheSnapshotReceived]: onSnapshot,
    [RouterMessageKind.ChooseRequested]: onChoose,
    [RouterMessageKind.ExplainRequested]: onExplain,
    [RouterMessageKind.Dispatched]: onDispatched,
    [RouterMessageKind.FirstTokenSeen]: onFirstToken,
    [RouterMessageKind.TokenSeen]: onToken,
    [RouterMessageKind.Finished]: onFinished,
    [RouterMessageKind.Failed]: onFailed,
    [RouterMessageKind.Tick]: onTick
  }

  return { handle: message => dispatch(handlers, message) }
}
