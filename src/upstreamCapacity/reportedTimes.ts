import { LOAD_BANDS, REPORT_UNITS, REPORT_UNITS_MAX, TIME_CLASSES } from './constants.js'
import type { ReportedTimes, UpstreamRun } from './types.js'

/** Names one run of an upstream; one that is new under the same id has another name. */
export const runKeyOf = ({ workerId, startedAtUnixMs }: Pick<UpstreamRun, 'workerId' | 'startedAtUnixMs'>): string =>
  `${workerId}/${startedAtUnixMs.toString(36)}`

/** Encodes counts coarsely, without the zeros at their end; undefined if nothing is left of them. */
export const toReportedCounts = (counts: readonly number[]): number[] | undefined => {
  const units = counts.map(count => Math.min(REPORT_UNITS_MAX, Math.round(count * REPORT_UNITS)))
  const length = units.findLastIndex(count => count > 0) + 1
  return length === 0 ? undefined : units.slice(0, length)
}

/** Adds reported counts to others, in responses. */
export const addReportedCounts = (sum: number[], reported: readonly number[]): void => {
  reported.forEach((units, index) => { sum[index] = (sum[index] ?? 0) + units / REPORT_UNITS })
}

const isCount = (value: unknown) => Number.isInteger(value) && (value as number) >= 0 && (value as number) <= REPORT_UNITS_MAX

/** Whether a decoded value has the shape of reported times. */
export const isReportedTimes = (value: unknown): value is ReportedTimes =>
  typeof value === 'object' && value !== null && !Array.isArray(value) &&
  Object.values(value).every(counts => Array.isArray(counts) && counts.length <= LOAD_BANDS * TIME_CLASSES && counts.every(isCount))

/**
 * Sums what several entries report. Undefined, so that a datagram needs no byte for it, if none reports anything.
 *
 * @example
 * sumReportedTimes([{ 'w1/1': [0, 4] }, undefined, { 'w1/1': [0, 0, 4] }]) // { 'w1/1': [0, 4, 4] }
 */
export const sumReportedTimes = (reports: readonly (ReportedTimes | undefined)[]): ReportedTimes | undefined => {
  const sums: Record<string, number[]> = {}
  for (const report of reports) {
    for (const [run, counts] of Object.entries(report ?? {})) {
      const sum = sums[run] ??= []
      counts.forEach((units, index) => { sum[index] = Math.min(REPORT_UNITS_MAX, (sum[index] ?? 0) + units) })
    }
  }
  return Object.keys(sums).length === 0 ? undefined : sums
}
