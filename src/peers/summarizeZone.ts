import { laterPosition, type LogPosition } from '../core/index.js'
import type { EventGapWindow } from '../limits/index.js'
import { sumReportedTimes } from '../upstreamCapacity/index.js'
import type { FleetReport, LoadSummary } from './types.js'

/** What is kept of a report when a newer load arrives: absent times in the load mean that there are none any more. */
export const withoutUpstreamTimes = <Report extends LoadSummary>({ upstreamTimes: _upstreamTimes, ...report }: Report): Omit<Report, 'upstreamTimes'> => report

const sumRunning = (reports: readonly LoadSummary[]): Record<string, number> => {
  const sums: Record<string, number> = {}
  for (const { running } of reports) {
    for (const [workerId, count] of Object.entries(running)) sums[workerId] = (sums[workerId] ?? 0) + count
  }
  return sums
}

const sumPauses = (reports: readonly LoadSummary[]): Record<string, EventGapWindow> => {
  const sums: Record<string, EventGapWindow> = {}
  for (const { pauses } of reports) {
    for (const [service, { pauseCount, pauseSumMs }] of Object.entries(pauses)) {
      const sum = sums[service] ??= { pauseCount: 0, pauseSumMs: 0 }
      sum.pauseCount += pauseCount
      sum.pauseSumMs += pauseSumMs
    }
  }
  return sums
}

const highest = (records: readonly Record<string, number>[]): Record<string, number> => {
  const result: Record<string, number> = {}
  for (const record of records) {
    for (const [key, value] of Object.entries(record)) result[key] = Math.max(result[key] ?? -Infinity, value)
  }
  return result
}

const latest = (records: readonly Record<string, LogPosition>[]): Record<string, LogPosition> => {
  const result: Record<string, LogPosition> = {}
  for (const record of records) {
    for (const [topic, position] of Object.entries(record)) result[topic] = laterPosition(result[topic], position)
  }
  return result
}

/**
 * Sums the load of several entries.
 *
 * @example
 * sumLoads([{ running: { w1: 2 }, pauses: {} }, { running: { w1: 1 }, pauses: {} }]).running // { w1: 3 }
 */
export const sumLoads = (reports: readonly LoadSummary[]): LoadSummary => {
  const upstreamTimes = sumReportedTimes(reports.map(report => report.upstreamTimes))
  return { running: sumRunning(reports), pauses: sumPauses(reports), ...(upstreamTimes === undefined ? {} : { upstreamTimes }) }
}

/**
 * Merges the report of an entry with those of its peers: loads are summed, and of all other values the newest or highest
 * holds. An entry has added the crashes and the workers' limits that its peers report to its own, with the time at which
 * it learned of them.
 *
 * @example
 * mergeReports(self, peers).storePositions
 */
export const mergeReports = (self: FleetReport, peers: readonly FleetReport[]): FleetReport => {
  const reports = [self, ...peers]
  return {
    ...sumLoads(reports),
    configurationVersion: Math.max(...reports.map(({ configurationVersion }) => configurationVersion)),
    storePositions: latest(reports.map(({ storePositions }) => storePositions)),
    crashes: self.crashes,
    paces: highest(reports.map(({ paces }) => paces)),
    workerLimits: self.workerLimits
  }
}
