import { hash32, type Random, type TimestampMs } from '../core/index.js'
import { HOLDER_CHOICES, RENDEZVOUS_CHOICES, IDLE_WAIT_MS, PLAIN_CHOICES, RANDOM_CHOICES, UpstreamState, WORK_PER_S_DEFAULT } from './constants.js'
import type { Upstream } from './getDefaultUpstream.js'
import { estimateQueue, predict, type Prediction } from './predict.js'
import type { ChooseRequest } from './types.js'

/** Numbers of candidates that are compared for a request with a prefix, by how they are selected. */
export interface ChoiceCounts {
  /** Upstreams drawn at random. */
  random: number
  /** Upstreams that hold the longest part of the prefix in their cache. */
  holders: number
  /** Upstreams with the highest rendezvous hash of the prefix. */
  rendezvous: number
}

export const DEFAULT_CHOICE_COUNTS: ChoiceCounts = {
  random: RANDOM_CHOICES, holders: HOLDER_CHOICES, rendezvous: RENDEZVOUS_CHOICES
}

/** Length of the prefix used as rendezvous hash key, in blocks; long enough to distinguish system prompts. */
const RENDEZVOUS_BLOCKS = 4

/** Whether an upstream has told its agent that it takes no request for now. */
export const isClosed = ({ report }: Upstream, nowMs: TimestampMs): boolean => (report?.closedUntilMs ?? 0) > nowMs

/** Returns the upstreams that may get a request. Ejected upstreams are used only if no other is available. */
export const findAvailable = (upstreams: Iterable<Upstream>, excludedIds: readonly string[], nowMs: TimestampMs): Upstream[] => {
  const serving: Upstream[] = []
  const ejected: Upstream[] = []
  for (const upstream of upstreams) {
    if (excludedIds.includes(upstream.upstreamId) || isClosed(upstream, nowMs)) continue
    if (upstream.state === UpstreamState.Serving) serving.push(upstream)
    if (upstream.state === UpstreamState.Ejected) ejected.push(upstream)
  }
  return serving.length > 0 ? serving : ejected
}

const selectBest = (upstreams: readonly Upstream[], count: number, scoreOf: (upstream: Upstream) => number): Upstream[] =>
  upstreams
    .map(upstream => ({ upstream, score: scoreOf(upstream) }))
    .filter(({ score }) => score > 0)
    .sort((a, b) => b.score - a.score)
    .slice(0, count)
    .map(({ upstream }) => upstream)

const selectCandidates = (available: readonly Upstream[], blocks: ChooseRequest['blocks'], counts: ChoiceCounts, random: Random, isIdle: (upstream: Upstream) => boolean) => {
  const candidates = new Set<Upstream>()
  if (blocks.length === 0) {
    // Drawn without replacement: in a pool of three, every third pair would otherwise be the same upstream twice.
    while (candidates.size < Math.min(PLAIN_CHOICES, available.length)) candidates.add(random.pick(available))
    return candidates
  }
  const rendezvousKey = blocks[Math.min(RENDEZVOUS_BLOCKS, blocks.length) - 1]!
  for (const upstream of selectBest(available, counts.holders, ({ prefix }) => prefix.matchBlocks(blocks))) candidates.add(upstream)
  for (const upstream of selectBest(available, counts.rendezvous, ({ upstreamId }) => 1 + hash32(`${rendezvousKey}/${upstreamId}`))) candidates.add(upstream)
  // A random upstream has to process the prefix and evicts other prefixes; this pays off only if it is idle.
  for (let i = 0; i < counts.random; i++) {
    const upstream = random.pick(available)
    if (isIdle(upstream)) candidates.add(upstream)
  }
  return candidates
}

const medianSpeed = (upstreams: readonly Upstream[]): number => {
  const speeds = upstreams.flatMap(({ report }) => report === undefined ? [] : [report.tokensPerS]).sort((a, b) => a - b)
  return speeds[speeds.length >> 1] || WORK_PER_S_DEFAULT
}

/**
 * Compares a few candidates and returns their predictions, best first. If all upstreams were compared,
 * every entry would choose the same one, as all entries see the same delayed reports.
 */
export const compareUpstreams = (
  available: readonly Upstream[],
  request: Pick<ChooseRequest, 'blocks' | 'tokens'>,
  { counts, random, nowMs }: { counts: ChoiceCounts, random: Random, nowMs: TimestampMs }
): Prediction[] => {
  const poolTokensPerS = medianSpeed(available)
  const isIdle = (upstream: Upstream) => {
    const tokensPerS = upstream.report?.tokensPerS || poolTokensPerS
    return estimateQueue(upstream, tokensPerS, nowMs).tokens / tokensPerS * 1_000 < IDLE_WAIT_MS
  }
  return [...selectCandidates(available, request.blocks, counts, random, isIdle)]
    .map(upstream => predict(upstream, request, { poolTokensPerS, nowMs }))
    .sort((a, b) => a.costMs - b.costMs)
}

/** Explains in one line why the first prediction was chosen. */
export const explainChoice = ([best, next]: readonly Prediction[], comparedCount: number, availableCount: number): string => {
  if (best === undefined) return 'no upstream is available'
  const { upstream, queuedTokens, uncachedTokens, tokensPerS, firstTokenMs, slotWaitMs: waitMs } = best
  const parts = [
    `${upstream.upstreamId}: first token in ${Math.round(firstTokenMs)} ms`,
    `(${Math.round(queuedTokens)} queued + ${Math.round(uncachedTokens)} uncached) / ${Math.round(tokensPerS)} per s`
  ]
  if (waitMs > 0) parts.push(`${Math.round(waitMs)} ms for a place`)
  if (upstream.failureRatio > 0.01) parts.push(`failure ratio ${upstream.failureRatio.toFixed(2)}`)
  if (next !== undefined) parts.push(`next ${next.upstream.upstreamId} ${Math.round(next.costMs)} ms`)
  return `${parts.join(', ')}; compared ${comparedCount} of ${availableCount}`
}
