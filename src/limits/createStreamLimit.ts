/**
 * Limit of the streams that a whole group runs at once. All ranks of a group share each pass, so one
 * stream too many makes every stream late; the limit follows the pauses that the fleet measures.
 */
export interface StreamLimit {
  /** Streams that a group of so many workers may run at once. */
  streamsFor (workers: number): number
  notePause (pauseMs: number, objectiveMs: number): void
  /** Pauses since the last call, for the report to the others. */
  takeWindow (): PauseWindow
  /** Adjusts the limit; expected every ADJUST_INTERVAL_MS. */
  adjust (fleet: PauseWindow, load: { runningStreams: number, workers: number }): void
}

export interface PauseWindow {
  pauseCount: number
  pauseSumMs: number
}

export const ADJUST_INTERVAL_MS = 200
const STREAMS_PER_WORKER_INITIAL = 4
const STREAMS_PER_WORKER_MIN = 0.75
const STREAMS_PER_WORKER_MAX = 8
/** A stream is late by its longest pause, so the mean must stay well below the objective. */
const MEAN_PAUSE_SHARE = 0.85
/** Largest fall in one step: the pauses of a window still come from the streams before it. */
const DECREASE_FACTOR_MIN = 0.8
const STREAMS_PER_WORKER_INCREASE = 0.3
/** The limit rises only while it binds. */
const LIMIT_REACHED_SHARE = 0.85
/** Fewer pauses say little about their mean. */
const PAUSES_MIN = 8

/**
 * Creates the limit of one service.
 *
 * @example
 * const limit = createStreamLimit()
 * limit.notePause(95, 120)
 */
export const createStreamLimit = (): StreamLimit => {
  let streamsPerWorker = STREAMS_PER_WORKER_INITIAL
  let objectiveMs = Infinity
  let window: PauseWindow = { pauseCount: 0, pauseSumMs: 0 }

  const adjustToMean = (meanMs: number, runningPerWorker: number) => {
    const targetMs = objectiveMs * MEAN_PAUSE_SHARE
    if (meanMs > targetMs) {
      const fittingStreams = runningPerWorker * Math.max(DECREASE_FACTOR_MIN, targetMs / meanMs)
      streamsPerWorker = Math.min(streamsPerWorker, fittingStreams)
    } else if (runningPerWorker >= LIMIT_REACHED_SHARE * streamsPerWorker) {
      streamsPerWorker += STREAMS_PER_WORKER_INCREASE * (1 - meanMs / targetMs)
    }
    streamsPerWorker = Math.min(STREAMS_PER_WORKER_MAX, Math.max(STREAMS_PER_WORKER_MIN, streamsPerWorker))
  }

  return {
    streamsFor: workers => Math.max(1, streamsPerWorker * workers),
    notePause: (pauseMs, routeObjectiveMs) => {
      objectiveMs = routeObjectiveMs
      window.pauseCount += 1
      window.pauseSumMs += pauseMs
    },
    takeWindow: () => {
      const taken = window
      window = { pauseCount: 0, pauseSumMs: 0 }
      return taken
    },
    adjust: ({ pauseCount, pauseSumMs }, { runningStreams, workers }) => {
      if (pauseCount >= PAUSES_MIN) adjustToMean(pauseSumMs / pauseCount, runningStreams / Math.max(1, workers))
    }
  }
}
