import type { Figure, Suite } from '../harness/index.js'
import { measureAppendFigures } from './appendFigures.js'
import type { Counts } from './checks.js'
import { runInWorkers } from './runInWorkers.js'

const SUITE = 'once'
const SCHEDULES = 100_000
/** The naive version fails so often that a fifth of the schedules is enough to count its failures. */
const NAIVE_SCHEDULES = 20_000

/** Value as a share of the calls that ended with an outcome; callers of a crashed entry get none. */
const shareOfEnded = (counts: Counts, value: number) => value / (counts.ran + counts.notRun + counts.unknown)

/** Runs random fault schedules and measures the append rate of at-most-once calls. */
export const run: Suite = async ({ seed }) => {
  const { counts, naive } = await runInWorkers({ seed, count: SCHEDULES, naiveCount: NAIVE_SCHEDULES })

  const figure = (
    name: string, unit: string, value: number, baseline: number | null, target?: Figure['target'], note?: string
  ): Figure => ({ suite: SUITE, figure: name, unit, baseline, value, seed, target, note })
  const zero = { max: 0 }

  return [
    figure('schedules', 'schedules', SCHEDULES, NAIVE_SCHEDULES, undefined,
      `${counts.calls} calls; counts of the baseline are of its own ${naive.calls} calls`),
    figure('double_runs', 'runs', counts.doubleRuns, naive.doubleRuns, zero),
    figure('false_not_run', 'calls', counts.falseNotRun, naive.falseNotRun, zero),
    figure('wrong_or_cut_answers', 'calls', counts.wrongOrCutAnswers, naive.wrongOrCutAnswers, zero),
    figure('endless_calls', 'calls', counts.endless, naive.endless, zero),
    figure('not_run_overtaken_by_resend', 'calls', counts.overtakenNotRun, naive.overtakenNotRun, undefined,
      'another call of the key ran between proof and report'),
    figure('unknown_share', 'share', shareOfEnded(counts, counts.unknown), shareOfEnded(naive, naive.unknown)),
    figure('not_run_share', 'share', shareOfEnded(counts, counts.notRun), shareOfEnded(naive, naive.notRun)),
    figure('resolved_share', 'share', shareOfEnded(counts, counts.ran), shareOfEnded(naive, naive.ran)),
    ...measureAppendFigures(SUITE, seed)
  ]
}
