import { createStreamLimit, type PauseWindow, type StreamLimit } from '../../limits/index.js'
import type { PeerReport } from '../../membership/index.js'
import { type EventLog, LogEvent } from '../../observe/index.js'

export interface StreamLimitsOptions {
  /** Usable workers of a service. */
  workersOf: (service: string) => number
  /** Requests under way in a service, from the whole fleet. */
  runningIn: (service: string) => number
  log: EventLog
}

/** The limits of streams of all engine services, which follow the pauses that the fleet measures. */
export interface StreamLimits {
  of (service: string): StreamLimit
  /** Streams that each service may run at once. */
  inForce (): Record<string, number>
  /** Own pauses of the last window by service, for the report to the others. */
  ownPauses (): Record<string, PauseWindow>
  /** Closes the window and adjusts every limit; expected every ADJUST_INTERVAL_MS. */
  adjust (reports: readonly PeerReport[]): void
}

const addUp = (windows: readonly PauseWindow[]): PauseWindow => ({
  pauseCount: windows.reduce((sum, { pauseCount }) => sum + pauseCount, 0),
  pauseSumMs: windows.reduce((sum, { pauseSumMs }) => sum + pauseSumMs, 0)
})

/**
 * Creates the limits of one entry.
 *
 * @example
 * createStreamLimits({ workersOf, runningIn, log }).of('writer').notePause(95, 120)
 */
export const createStreamLimits = ({ workersOf, runningIn, log }: StreamLimitsOptions): StreamLimits => {
  const limits = new Map<string, StreamLimit>()
  let own: Record<string, PauseWindow> = {}

  const adjustOne = (service: string, limit: StreamLimit, reports: readonly PeerReport[]) => {
    const window = limit.takeWindow()
    own[service] = window
    const fleet = addUp([window, ...reports.flatMap(({ pauses }) => pauses[service] ?? [])])
    const workers = workersOf(service)
    const running = runningIn(service)
    const before = limit.streamsFor(workers)
    limit.adjust(fleet, { runningStreams: running, workers })
    const streams = limit.streamsFor(workers)
    if (streams !== before) log(LogEvent.StreamLimitChanged, { service, before, streams, running, workers, ...fleet })
  }

  return {
    of: service => {
      const limit = limits.get(service) ?? createStreamLimit()
      limits.set(service, limit)
      return limit
    },
    inForce: () => Object.fromEntries([...limits].map(([service, limit]) => [service, limit.streamsFor(workersOf(service))])),
    ownPauses: () => own,
    adjust: reports => {
      own = {}
      for (const [service, limit] of limits) adjustOne(service, limit, reports)
    }
  }
}
