import type { Figure, Suite } from '../harness/index.js'
import { measureAppendRate } from './appendRate.js'
import type { Counts } from './checks.js'
import { runInWorkers } from './runInWorkers.js'

const SUITE = 'once'
const SCHEDULES = 100_000
/** The naive version fails so often that a fifth of the schedules shows it. */
const NAIVE_SCHEDULES = 20_000

/** 5% of 3,200 requests/s at full size. */
const KEYED_CALLS_PER_S = 160
const RATE_DURATION_MS = 120_000
const OVERLOAD_FACTOR = 10
const OVERLOAD_DURATION_MS = 20_000
const DAY_S = 86_400

/**
 * Appends per second of the fleet that are not bindings, at full size. Assumed: 12 pools with a
 * lease renewed every 2.5 s; two assignments for each of 308 hosts that fail or restart in a day;
 * a snapshot of two streams every 10 min; 570 edits a day.
 */
const OTHER_APPENDS_PER_S = 12 / 2.5 + 2 * 308 / DAY_S + 2 / 600 + 570 / DAY_S

/** Share of the calls that ended with an outcome; a crashed entry gives its caller none. */
const shareOfEnded = (counts: Counts, value: number) => value / (counts.ran + counts.notRun + counts.unknown)

/** Random fault schedules and the append rate of at-most-once calls. */
export const run: Suite = async ({ seed }) => {
  const rate = measureAppendRate({ seed, callsPerS: KEYED_CALLS_PER_S, durationMs: RATE_DURATION_MS })
  const overload = measureAppendRate({
    seed, callsPerS: OVERLOAD_FACTOR * KEYED_CALLS_PER_S, durationMs: OVERLOAD_DURATION_MS
  })
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
    figure('appends_per_s_per_shard_peak', 'appends/s', rate.shardPeakPerS, null, { max: 8 }),
    figure('bindings_per_append', 'bindings', rate.bindingsPerAppend, 1),
    figure('bind_reply_max_ms', 'ms', rate.replyMaxMs, null),
    figure('appends_per_s_fleet', 'appends/s', rate.fleetPeakPerS + OTHER_APPENDS_PER_S,
      KEYED_CALLS_PER_S + OTHER_APPENDS_PER_S, { max: 300 },
      `busiest second; mean of bindings ${rate.fleetMeanPerS.toFixed(1)}, others ${OTHER_APPENDS_PER_S.toFixed(2)}`),
    figure('appends_per_s_fleet_at_10x', 'appends/s', overload.fleetPeakPerS + OTHER_APPENDS_PER_S,
      OVERLOAD_FACTOR * KEYED_CALLS_PER_S + OTHER_APPENDS_PER_S, { max: 300 },
      `${overload.bindingsPerAppend.toFixed(1)} bindings per append, longest reply ${overload.replyMaxMs.toFixed(0)} ms`)
  ]
}
