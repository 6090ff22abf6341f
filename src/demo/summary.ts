import { build, type Histogram } from 'hdr-histogram-js'
import { type Sent, TrafficKind } from './traffic.js'

/** Promises that the demo checks; each must be 0. */
export interface BrokenPromises {
  doubleRuns: number
  mixedMapSteps: number
  cutStreams: number
  wrongAnswers: number
  falseNotRun: number
  unfinished: number
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

const rowOf = (kind: TrafficKind, sent: readonly Sent[]): string[] => {
  const own = sent.filter(item => item.kind === kind)
  const attempts = own.flatMap(({ results }) => results)
  const whole = own.filter(({ results }) => results.at(-1)?.isWhole)
  const count = (outcome: string) => attempts.filter(result => !result.isWhole && result.outcome === outcome).length
  const latencies = whole.map(({ results, callerRequest }) => {
    const last = results.at(-1)!
    return callerRequest.isEventStream === true ? last.firstByteMs : last.totalMs
  })
  return [kind, String(own.length), String(attempts.length), String(whole.length), String(count('not-run')), String(count('unknown')), ...percentiles(latencies)]
}

const HEADER = ['', 'requests', 'attempts', 'whole', 'not run', 'unknown', 'p50 ms', 'p95 ms', 'p99 ms']

const formatTable = (rows: readonly string[][]): string => {
  const widths = HEADER.map((_, column) => Math.max(...rows.map(row => row[column]!.length)))
  return rows
    .map(row => row.map((cell, column) => column === 0 ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!)).join('  '))
    .join('\n')
}

/** Formats what was sent; latency is first byte for streams and the whole answer otherwise. */
export const formatTraffic = (sent: readonly Sent[]): string =>
  formatTable([HEADER, ...Object.values(TrafficKind).map(kind => rowOf(kind, sent))])

/** Formats the promises, one line each. */
export const formatPromises = (broken: BrokenPromises): string => {
  const lines: [string, number][] = [
    ['orders that ran twice', broken.doubleRuns],
    ['steps with mixed expert maps', broken.mixedMapSteps],
    ['streams cut by a graceful stop', broken.cutStreams],
    ['answers that were not the caller\'s own', broken.wrongAnswers],
    ['orders reported as not run that ran', broken.falseNotRun],
    ['requests without a whole answer', broken.unfinished]
  ]
  return lines.map(([text, count]) => `${text.padEnd(44)} ${count === 0 ? '0  ok' : `${count}  BROKEN`}`).join('\n')
}

export const isAnyBroken = (broken: BrokenPromises): boolean => Object.values(broken).some(count => count > 0)
