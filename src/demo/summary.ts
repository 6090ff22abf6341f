import { build, type Histogram } from 'hdr-histogram-js'
import { type SentRequest, TrafficKind } from './traffic.js'

/** Violations of each guarantee that the demo checks; all must be 0. */
export interface GuaranteeViolations {
  duplicateExecutions: number
  mixedMapSteps: number
  truncatedStreams: number
  mismatchedResponses: number
  falseNotRun: number
  incompleteRequests: number
}

const histogramOf = (samples: readonly number[]): Histogram => {
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000, numberOfSignificantValueDigits: 3 })
  samples.forEach(sample => histogram.recordValue(Math.max(1, Math.round(sample))))
  return histogram
}

const percentiles = (samples: readonly number[]) => {
  if (samples.length === 0) return ['-', '-', '-']
  const histogram = histogramOf(samples)
  return [50, 95, 99].map(percent => String(histogram.getValueAtPercentile(percent)))
}

const rowOf = (kind: TrafficKind, sent: readonly SentRequest[]): string[] => {
  const requestsOfKind = sent.filter(item => item.kind === kind)
  const attempts = requestsOfKind.flatMap(({ results }) => results)
  const completed = requestsOfKind.filter(({ results }) => results.at(-1)?.isComplete)
  const count = (outcome: string) => attempts.filter(result => !result.isComplete && result.outcome === outcome).length
  const latencies = completed.map(({ results, callerRequest }) => {
    const last = results.at(-1)!
    return callerRequest.isEventStream === true ? last.firstByteMs : last.totalMs
  })
  return [kind, String(requestsOfKind.length), String(attempts.length), String(completed.length), String(count('not-run')), String(count('unknown')), ...percentiles(latencies)]
}

const HEADER = ['', 'requests', 'attempts', 'complete', 'not run', 'unknown', 'p50 ms', 'p95 ms', 'p99 ms']

const formatTable = (rows: readonly string[][]): string => {
  const widths = HEADER.map((_, column) => Math.max(...rows.map(row => row[column]!.length)))
  return rows
    .map(row => row.map((cell, column) => column === 0 ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!)).join('  '))
    .join('\n')
}

/** Formats a table of requests by kind. Latency is time to first byte for streams, total time otherwise. */
export const formatTraffic = (sent: readonly SentRequest[]): string =>
  formatTable([HEADER, ...Object.values(TrafficKind).map(kind => rowOf(kind, sent))])

/** Formats the violation counts, one line for each guarantee. */
export const formatViolations = (violations: GuaranteeViolations): string => {
  const lines: [string, number][] = [
    ['orders that ran twice', violations.duplicateExecutions],
    ['steps with mixed expert maps', violations.mixedMapSteps],
    ['streams truncated by a graceful stop', violations.truncatedStreams],
    ['responses that belong to another order', violations.mismatchedResponses],
    ['orders reported as not run that ran', violations.falseNotRun],
    ['requests without a complete response', violations.incompleteRequests]
  ]
  return lines.map(([text, count]) => `${text.padEnd(44)} ${count === 0 ? '0  ok' : `${count}  VIOLATED`}`).join('\n')
}

export const hasViolations = (violations: GuaranteeViolations): boolean => Object.values(violations).some(count => count > 0)
