import { Outcome } from '../../src/core/index.js'
import type { CallRecord, RunRecord, World } from './worldTypes.js'

/** Calls, violations and outcomes, counted over one or more schedules. */
export interface Counts {
  calls: number
  doubleRuns: number
  falseNotRun: number
  wrongOrCutAnswers: number
  /** Calls reported as not run although another call of the key ran between the proof (a void) and the report. */
  overtakenNotRun: number
  ran: number
  notRun: number
  unknown: number
  /** Calls whose entry crashed, so that the caller got no outcome. */
  broken: number
  /** Calls that did not end, although each must end by its deadline. */
  endless: number
  appends: number
}

export const getDefaultCounts = (): Counts => ({
  calls: 0,
  doubleRuns: 0,
  falseNotRun: 0,
  wrongOrCutAnswers: 0,
  overtakenNotRun: 0,
  ran: 0,
  notRun: 0,
  unknown: 0,
  broken: 0,
  endless: 0,
  appends: 0
})

/** Counts the runs of each key beyond the first. */
const countDoubleRuns = (runs: readonly RunRecord[]): number =>
  runs.length - new Set(runs.map(({ scopedKey }) => scopedKey)).size

/**
 * Whether a call was wrongly reported as not run: its own dispatch ran at any time, or the key had run
 * by the time of the void that proves the report, or by the time of the report if there was no void.
 */
const isFalseNotRun = (call: CallRecord, runs: readonly RunRecord[]): boolean =>
  call.outcome === Outcome.NotRun && runs.some(run => run.scopedKey === call.scopedKey &&
    (run.requestId === call.requestId || run.startedMs <= (call.voidedMs ?? call.endedMs!)))

const ranAfterVoid = (call: CallRecord, runs: readonly RunRecord[]): boolean =>
  call.outcome === Outcome.NotRun && call.voidedMs !== undefined &&
  runs.some(run => run.scopedKey === call.scopedKey && run.startedMs > call.voidedMs! && run.startedMs <= call.endedMs!)

/** Whether a response forwarded as complete differs from the response of every run of the same request. */
const isWrongOrIncomplete = (call: CallRecord, runs: readonly RunRecord[]): boolean =>
  call.outcome === Outcome.Ran && call.code === 0 && !runs.some(run =>
    run.scopedKey === call.scopedKey && run.body === call.body && run.answer === call.forwardedBody)

const OUTCOME_COUNTS: Record<Outcome, 'ran' | 'notRun' | 'unknown'> = {
  [Outcome.Ran]: 'ran', [Outcome.NotRun]: 'notRun', [Outcome.Unknown]: 'unknown'
}

/** Checks the calls and runs of one schedule and adds the result to the counts. */
export const addChecks = (counts: Counts, { calls, runs, appendCount }: World): Counts => {
  counts.calls += calls.length
  counts.appends += appendCount
  counts.doubleRuns += countDoubleRuns(runs)
  for (const call of calls) {
    if (isFalseNotRun(call, runs)) counts.falseNotRun += 1
    if (call.endedMs === undefined) counts.endless += 1
    if (ranAfterVoid(call, runs)) counts.overtakenNotRun += 1
    if (isWrongOrIncomplete(call, runs)) counts.wrongOrCutAnswers += 1
    counts[call.outcome === undefined ? 'broken' : OUTCOME_COUNTS[call.outcome]] += 1
  }
  return counts
}
