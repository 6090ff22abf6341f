import { Outcome } from '../../src/core/index.js'
import type { CallRecord, RunRecord, World } from './worldTypes.js'

/** Counts over one or many schedules. */
export interface Counts {
  calls: number
  doubleRuns: number
  falseNotRun: number
  wrongOrCutAnswers: number
  /** Calls that were reported as not run while another call of the same key ran between proof and report. */
  overtakenNotRun: number
  ran: number
  notRun: number
  unknown: number
  /** Calls whose entry crashed, so that the caller got no outcome. */
  broken: number
  /** Calls that never ended, although each must end by its deadline. */
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

/** Runs of a key beyond the first. */
const countDoubleRuns = (runs: readonly RunRecord[]): number =>
  runs.length - new Set(runs.map(({ scopedKey }) => scopedKey)).size

/**
 * A report as not run is false if the key had run when the proof was made, if there is no proof
 * and the key has run by the time of the report, or if the call's own dispatch runs at any time.
 */
const isFalseNotRun = (call: CallRecord, runs: readonly RunRecord[]): boolean =>
  call.outcome === Outcome.NotRun && runs.some(run => run.scopedKey === call.scopedKey &&
    (run.requestId === call.requestId || run.startedMs <= (call.proofMs ?? call.endedMs!)))

const isOvertaken = (call: CallRecord, runs: readonly RunRecord[]): boolean =>
  call.outcome === Outcome.NotRun && call.proofMs !== undefined &&
  runs.some(run => run.scopedKey === call.scopedKey && run.startedMs > call.proofMs! && run.startedMs <= call.endedMs!)

/** An answer that was passed on as complete must be exactly the answer of one run of the same request. */
const isWrongOrCut = (call: CallRecord, runs: readonly RunRecord[]): boolean =>
  call.outcome === Outcome.Ran && call.code === 0 && !runs.some(run =>
    run.scopedKey === call.scopedKey && run.body === call.body && run.answer === call.forwarded)

const OUTCOME_COUNTS: Record<Outcome, 'ran' | 'notRun' | 'unknown'> = {
  [Outcome.Ran]: 'ran', [Outcome.NotRun]: 'notRun', [Outcome.Unknown]: 'unknown'
}

/** Adds the result of one schedule to the counts. */
export const addChecks = (counts: Counts, { calls, runs, appendCount }: World): Counts => {
  counts.calls += calls.length
  counts.appends += appendCount
  counts.doubleRuns += countDoubleRuns(runs)
  for (const call of calls) {
    if (isFalseNotRun(call, runs)) counts.falseNotRun += 1
    if (call.endedMs === undefined) counts.endless += 1
    if (isOvertaken(call, runs)) counts.overtakenNotRun += 1
    if (isWrongOrCut(call, runs)) counts.wrongOrCutAnswers += 1
    counts[call.outcome === undefined ? 'broken' : OUTCOME_COUNTS[call.outcome]] += 1
  }
  return counts
}
