import type { Clock, TimestampMs } from '../core/index.js'
import type { Trait } from './requestTraits.js'

/** A request whose answer a worker has completed. */
export interface AnsweredRequest {
  parts: readonly Trait[]
  /** The trait of the whole request, where whole requests are watched; the request itself, with its body, is not kept. */
  requestTrait?: Trait
  sentAtMs: TimestampMs
}

export interface RecentAnswer extends AnsweredRequest {
  runId: string
  answeredAtMs: TimestampMs
}

/** An answer proves nothing until its worker has lived on for this time; by then the end of its connections is noticed and checked. */
export const SURVIVAL_MS = 400
/** The same where an agent reports the end of its upstream, which it may notice only by its next poll. */
export const REPORTED_SURVIVAL_MS = 1_000
/** Maximum number of answers that wait for it; the oldest ones are forgotten. */
export const RECENT_ANSWERS_MAX = 4_096

/** Answers whose workers have not lived on for long enough yet. */
export interface RecentAnswers {
  add (runId: string, answered: AnsweredRequest): void
  /** Removes and returns the answers whose workers have lived on. */
  takeProven (): RecentAnswer[]
  /** Removes and returns the answers of a run that has ended. */
  takeOf (runId: string): RecentAnswer[]
}

/**
 * Creates an empty list.
 *
 * @example
 * const recent = createRecentAnswers({ clock, survivalMs: SURVIVAL_MS })
 * recent.add('w1/1', { parts: ['part/m/5c1e'], sentAtMs })
 */
export const createRecentAnswers = ({ clock, survivalMs }: { clock: Clock, survivalMs: number }): RecentAnswers => {
  /** In the order of their times. */
  let answers: RecentAnswer[] = []

  return {
    add: (runId, answered) => {
      answers.push({ ...answered, runId, answeredAtMs: clock.nowMs() })
      if (answers.length > RECENT_ANSWERS_MAX) answers.shift()
    },
    takeProven: () => {
      const provenUntilMs = clock.nowMs() - survivalMs
      const firstRecent = answers.findIndex(({ answeredAtMs }) => answeredAtMs > provenUntilMs)
      return answers.splice(0, firstRecent < 0 ? answers.length : firstRecent)
    },
    takeOf: runId => {
      const taken = answers.filter(answer => answer.runId === runId)
      if (taken.length > 0) answers = answers.filter(answer => answer.runId !== runId)
      return taken
    }
  }
}
