/**
 * Limits the concurrent streams of a whole group. All ranks of a group take part in each forward pass, so
 * one stream too many delays every stream. The limit adapts to the gaps between stream events that all
 * entries measure.
 */
export interface StreamLimit {
  /** Returns how many streams a group of this many workers may run at once. */
  streamsFor (workers: number): number
  recordEventGap (gapMs: number, gapTargetMs: number): void
  /** Returns the gaps since the last call, for the report to the other entries. */
  takeWindow (): EventGapWindow
  /** Adjusts the limit; expected every ADJUST_INTERVAL_MS. */
  adjust (fleet: EventGapWindow, load: { runningStreams: number, workers: number }): void
}

export interface EventGapWindow {
  pauseCount: number
  pauseSumMs: number
}

export const ADJUST_INTERVAL_MS = 200
const STREAMS_PER_WORKER_INITIAL = 4
const STREAMS_PER_WORKER_MIN = 0.75
const STREAMS_PER_WORKER_MAX = 8
/** A stream misses the gap target by its longest gap, so the mean must stay well below the target. */
const MEAN_GAP_SHARE = 0.85
/** Bounds the decrease in one step, as the gaps of a window are still caused by the streams before it. */
const DECREASE_FACTOR_MIN = 0.8
const STREAMS_PER_WORKER_INCREASE = 0.3
/** The limit rises only if at least this share of it is in use. */
const LIMIT_REACHED_SHARE = 0.85
/** Windows with fewer gaps are ignored, as their mean is not reliable. */
const GAPS_MIN = 8
/** Decrease of the running streams, relative to a reference, after which the effect on the gaps is judged. */
const JUDGED_DECREASE = 0.25
/**
 * The gaps must decrease by at least this share of the decrease of the streams. Otherwise something else lengthens the
 * passes, such as a slow rank, and refusing more callers gains nothing for those that are served.
 */
const GAP_RESPONSE_MIN = 0.3
/** Adjustments without a decrease after one that had no effect. */
const NO_EFFECT_ADJUSTMENTS = 15

/**
 * Creates the limit of one service.
 *
 * @example
 * const limit = createStreamLimit()
 * limit.recordEventGap(95, 120)
 */
export const createStreamLimit = (): StreamLimit => {
  let streamsPerWorker = STREAMS_PER_WORKER_INITIAL
  let gapTargetMs = Infinity
  let window: EventGapWindow = { pauseCount: 0, pauseSumMs: 0 }
  /** Load and gaps from which the effect of decreases is judged. */
  let reference: { runningPerWorker: number, meanMs: number } | undefined
  let adjustmentsWithoutDecrease = 0

  /** Whether the decreases since the reference have shortened the gaps; true while they are too small to tell. */
  const areDecreasesEffective = (meanMs: number, runningPerWorker: number): boolean => {
    reference ??= { runningPerWorker, meanMs }
    const loadDecrease = 1 - runningPerWorker / reference.runningPerWorker
    if (loadDecrease < JUDGED_DECREASE) return true
    const isEffective = 1 - meanMs / reference.meanMs >= GAP_RESPONSE_MIN * loadDecrease
    if (isEffective) reference = { runningPerWorker, meanMs }
    return isEffective
  }

  const decrease = (meanMs: number, meanTargetMs: number, runningPerWorker: number) => {
    if (adjustmentsWithoutDecrease > 0) {
      adjustmentsWithoutDecrease -= 1
      return
    }
    if (!areDecreasesEffective(meanMs, runningPerWorker)) {
      streamsPerWorker = Math.max(streamsPerWorker, reference!.runningPerWorker)
      reference = undefined
      adjustmentsWithoutDecrease = NO_EFFECT_ADJUSTMENTS
      return
    }
    const fittingStreams = runningPerWorker * Math.max(DECREASE_FACTOR_MIN, meanTargetMs / meanMs)
    streamsPerWorker = Math.min(streamsPerWorker, fittingStreams)
  }

  const increase = (meanMs: number, meanTargetMs: number, runningPerWorker: number) => {
    reference = undefined
    adjustmentsWithoutDecrease = 0
    if (runningPerWorker < LIMIT_REACHED_SHARE * streamsPerWorker) return
    streamsPerWorker += STREAMS_PER_WORKER_INCREASE * (1 - meanMs / meanTargetMs)
  }

  const adjustToMean = (meanMs: number, runningPerWorker: number) => {
    const meanTargetMs = gapTargetMs * MEAN_GAP_SHARE
    if (meanMs > meanTargetMs) decrease(meanMs, meanTargetMs, runningPerWorker)
    else increase(meanMs, meanTargetMs, runningPerWorker)
    streamsPerWorker = Math.min(STREAMS_PER_WORKER_MAX, Math.max(STREAMS_PER_WORKER_MIN, streamsPerWorker))
  }

  return {
    streamsFor: workers => Math.max(1, streamsPerWorker * workers),
    recordEventGap: (gapMs, routeGapTargetMs) => {
      gapTargetMs = routeGapTargetMs
      window.pauseCount += 1
      window.pauseSumMs += gapMs
    },
    takeWindow: () => {
      const taken = window
      window = { pauseCount: 0, pauseSumMs: 0 }
      return taken
    },
    adjust: ({ pauseCount, pauseSumMs }, { runningStreams, workers }) => {
      if (pauseCount >= GAPS_MIN) adjustToMean(pauseSumMs / pauseCount, runningStreams / Math.max(1, workers))
    }
  }
}
