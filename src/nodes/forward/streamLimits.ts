import { createStreamLimit, type EventGapWindow, type StreamLimit } from '../../limits/index.js'
import { type EventLog, LogEvent } from '../../observe/index.js'
import type { FleetReport } from '../../peers/index.js'

export interface StreamLimitsOptions {
  /** Usable workers of a service. */
  countUsableWorkers: (service: string) => number
  /** Requests in flight in a service, across the whole fleet. */
  runningIn: (service: string) => number
  log: EventLog
}

/** Limits of concurrent streams by engine service, which follow the gaps between stream events across the fleet. */
export interface StreamLimits {
  of (service: string): StreamLimit
  /** Concurrent streams that each service may run. */
  inForce (): Record<string, number>
  /** Gaps between stream events that this entry observed in the last window, by service, for its peer reports. */
  ownEventGaps (): Record<string, EventGapWindow>
  /** Closes the window and adjusts all limits; must be called every ADJUST_INTERVAL_MS. */
  adjust (reports: readonly FleetReport[]): void
}

const sumWindows = (windows: readonly EventGapWindow[]): EventGapWindow => ({
  pauseCount: windows.reduce((sum, { pauseCount }) => sum + pauseCount, 0),
  pauseSumMs: windows.reduce((sum, { pauseSumMs }) => sum + pauseSumMs, 0)
})

/**
 * Creates the stream limits of one entry.
 *
 * @example
 * createStreamLimits({ countUsableWorkers, runningIn, log }).of('writer').recordEventGap(95, 120)
 */
export const createStreamLimits = ({ countUsableWorkers, runningIn, log }: StreamLimitsOptions): StreamLimits => {
  const limits = new Map<string, StreamLimit>()
  let ownWindows: Record<string, EventGapWindow> = {}

  const adjustService = (service: string, limit: StreamLimit, reports: readonly FleetReport[]) => {
    const window = limit.takeWindow()
    ownWindows[service] = window
    const fleet = sumWindows([window, ...reports.flatMap(({ pauses }) => pauses[service] ?? [])])
    const workers = countUsableWorkers(service)
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
    inForce: () => Object.fromEntries([...limits].map(([service, limit]) => [service, limit.streamsFor(countUsableWorkers(service))])),
    ownEventGaps: () => ownWindows,
    adjust: reports => {
      ownWindows = {}
      for (const [service, limit] of limits) adjustService(service, limit, reports)
    }
  }
}
