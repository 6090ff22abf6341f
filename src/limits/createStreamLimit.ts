/**
 * Limit of the streams that a whole group runs at once. All ranks of a group share each pass, so one
 * stream too many makes every stream late; the limit follows the pauses that the fleet measures.
 */
export interface StreamLimit {
  /** Streams that the group may run at once. */
  readonly streams: number
  notePause (pauseMs: number, objectiveMs: number): void
  /** Pauses since the last call, for the report to the others. */
  takeWindow (): PauseWindow
  /** Adjusts the limit; expected every ADJUST_INTERVAL_MS. */
  adjust (fleet: PauseWindow, load: { runningStreams: number, workers: number }): void
}

export interface PauseWindow {
  pauseCount: number
  latePauseCount: number
}

export const ADJUST_INTERVAL_MS = 250
const STREAMS_PER_WORKER_FIRST = 2.5
const STREAMS_PER_WORKER_MIN = 0.75
const STREAMS_PER_WORKER_MAX = 8
/** Share of late pauses above which the limit falls, and below which it may rise. */
const LATE_SHARE_HIGH = 0.06
const LATE_SHARE_LOW = 0.02
const DECREASE_FACTOR = 0.92
const INCREASE_STREAMS_PER_WORKER = 0.05
/** The limit rises only while it binds. */
const BINDING_SHARE = 0.85
/** Fewer pauses say little about the share of late ones. */
const PAUSES_MIN = 8

/**
 * Creates the limit of one service.
 *
 * @example
 * const limit = createStreamLimit()
 * limit.notePause(95, 120)
 */
export const createStreamLimit = (): StreamLimit => {
  let streamsPerWorker = STREAMS_PER_WORKER_FIRST
  let workers = 1
  let window: PauseWindow = { pauseCount: 0, latePauseCount: 0 }

  return {
    get streams () { return Math.max(1, streamsPerWorker * workers) },
    notePause: (pauseMs, objectiveMs) => {
      window.pauseCount += 1
      if (pauseMs > objectiveMs) window.latePauseCount += 1
    },
    takeWindow: () => {
      const taken = window
      window = { pauseCount: 0, latePauseCount: 0 }
      return taken
    },
    adjust: ({ pauseCount, latePauseCount }, load) => {
      workers = Math.max(1, load.workers)
      if (pauseCount < PAUSES_MIN) return
      const lateShare = latePauseCount / pauseCount
      const isBinding = load.runningStreams >= BINDING_SHARE * streamsPerWorker * workers
      if (lateShare > LATE_SHARE_HIGH) streamsPerWorker *= DECREASE_FACTOR
      else if (lateShare < LATE_SHARE_LOW && isBinding) streamsPerWorker += INCREASE_STREAMS_PER_WORKER
      streamsPerWorker = Math.min(STREAMS_PER_WORKER_MAX, Math.max(STREAMS_PER_WORKER_MIN, streamsPerWorker))
    }
  }
}
