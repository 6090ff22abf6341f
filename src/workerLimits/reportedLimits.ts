import type { ReportedCold, ReportedLimit } from './types.js'

const isObject = (value: unknown): value is Record<string, unknown> => typeof value === 'object' && value !== null

const isAtLeastZero = (value: unknown): value is number => typeof value === 'number' && Number.isFinite(value) && value >= 0

/**
 * Whether a value that another process has sent is a reported limit.
 *
 * @example
 * isReportedLimit({ workerId: 'w1', startedAtUnixMs: 5, limitPerS: 1.6, ageMs: 20 }) // true
 */
export const isReportedLimit = (value: unknown): value is ReportedLimit =>
  isObject(value) && typeof value.workerId === 'string' && Number.isFinite(value.startedAtUnixMs) &&
  (value.limitPerS === null || isAtLeastZero(value.limitPerS)) && isAtLeastZero(value.ageMs)

/**
 * Whether a value that another process has sent says that a worker is cold.
 *
 * @example
 * isReportedCold({ workerId: 'w1', startedAtUnixMs: 5, permitsPerS: 12 }) // true
 */
export const isReportedCold = (value: unknown): value is ReportedCold =>
  isObject(value) && typeof value.workerId === 'string' && Number.isFinite(value.startedAtUnixMs) && isAtLeastZero(value.permitsPerS)

/**
 * Whether two reports name the same limits, whatever their ages.
 *
 * @example
 * haveSameLimits(before.workerLimits, after.workerLimits)
 */
export const haveSameLimits = (one: readonly ReportedLimit[], other: readonly ReportedLimit[]): boolean => {
  const textOf = (limits: readonly ReportedLimit[]) =>
    limits.map(({ workerId, startedAtUnixMs, limitPerS }) => `${workerId}/${startedAtUnixMs}/${limitPerS}`).sort().join()
  return textOf(one) === textOf(other)
}
