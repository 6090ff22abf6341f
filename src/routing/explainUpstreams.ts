import type { TimestampMs } from '../core/index.js'
import { isClosed } from './chooseUpstream.js'
import { UpstreamState } from './constants.js'
import type { Upstream } from './getDefaultUpstream.js'
import type { Prediction } from './predict.js'

/** Why an upstream would not get a request now. */
export enum UpstreamLeftOut {
  /** Its failure domain is evacuated. */
  Evacuated = 'evacuated',
  Draining = 'draining',
  /** Set aside as an outlier, while others serve. */
  Ejected = 'ejected',
  /** It has told its agent that it takes no request for now. */
  Closed = 'takes-no-request-for-now',
  /** Only a few upstreams are compared for each request, and this one is not among them. */
  NotCompared = 'not-compared',
  Slower = 'predicted-slower'
}

/** One upstream as the router sees it for a request. */
export interface UpstreamExplanation {
  upstreamId: string
  failureDomain: string
  /** Requests that run and wait at the upstream, as last reported; undefined without a report. */
  load: number | undefined
  /** Requests that it runs at once, as it reports; undefined if it names no maximum. */
  capacity: number | undefined
  /** Measured speed, in units of work per second; undefined until it is measured. */
  workPerS: number | undefined
  /** Predicted time to the first token; undefined if the upstream was not compared. */
  firstTokenMs: number | undefined
  /** Time until the upstream takes requests again, or is no longer set aside. */
  closedForMs: number
  isChosen: boolean
  leftOut?: UpstreamLeftOut
}

const findReason = (upstream: Upstream, isAvailable: boolean, isCompared: boolean, nowMs: TimestampMs): UpstreamLeftOut => {
  if (upstream.state === UpstreamState.Draining) return UpstreamLeftOut.Draining
  if (isClosed(upstream, nowMs)) return UpstreamLeftOut.Closed
  if (!isAvailable) return UpstreamLeftOut.Ejected
  return isCompared ? UpstreamLeftOut.Slower : UpstreamLeftOut.NotCompared
}

/**
 * Explains a comparison by all upstreams of the pool.
 *
 * @example
 * explainUpstreams(upstreams.values(), { available, predictions, isEvacuated, nowMs })[0]?.leftOut
 */
export const explainUpstreams = (
  upstreams: Iterable<Upstream>,
  { available, predictions, isEvacuated, nowMs }: { available: readonly Upstream[], predictions: readonly Prediction[], isEvacuated: (failureDomain: string) => boolean, nowMs: TimestampMs }
): UpstreamExplanation[] => [...upstreams].map(upstream => {
  const { upstreamId, failureDomain, report, ejectedUntilMs } = upstream
  const prediction = predictions.find(compared => compared.upstream === upstream)
  const isChosen = predictions[0]?.upstream === upstream
  return {
    upstreamId,
    failureDomain,
    load: report === undefined ? undefined : report.runningRequests + report.waitingRequests,
    capacity: report?.runningMax || undefined,
    workPerS: report?.tokensPerS || undefined,
    firstTokenMs: prediction?.firstTokenMs,
    closedForMs: Math.max(0, (report?.closedUntilMs ?? 0) - nowMs, upstream.state === UpstreamState.Ejected ? ejectedUntilMs - nowMs : 0),
    isChosen,
    ...(isChosen ? {} : { leftOut: isEvacuated(failureDomain) ? UpstreamLeftOut.Evacuated : findReason(upstream, available.includes(upstream), prediction !== undefined, nowMs) })
  }
})
