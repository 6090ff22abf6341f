import { LEASE_RENEW_INTERVAL_MS } from '../../src/orders/index.js'
import type { Figure } from '../harness/index.js'
import { measureAppendRate } from './appendRate.js'

/** 5% of the 3,200 requests/s of a full-size fleet. */
const KEYED_CALLS_PER_S = 160
const RATE_DURATION_MS = 120_000
const OVERLOAD_FACTOR = 10
const OVERLOAD_DURATION_MS = 20_000
const DAY_S = 86_400

/**
 * Appends per second of a full-size fleet other than bindings: renewals of the one placement lease, two
 * assignments for each of an assumed 308 hosts that fail or restart per day, a snapshot of two streams
 * every 10 min, and 570 edits per day.
 */
const OTHER_APPENDS_PER_S = 1_000 / LEASE_RENEW_INTERVAL_MS + 2 * 308 / DAY_S + 2 / 600 + 570 / DAY_S

/**
 * Measures the fleet's appends at the full-size rate of keyed calls and at ten times that rate, in the
 * batches that the binding owner makes.
 */
export const measureAppendFigures = (suite: string, seed: number): Figure[] => {
  const rate = measureAppendRate({ seed, callsPerS: KEYED_CALLS_PER_S, durationMs: RATE_DURATION_MS })
  const overload = measureAppendRate({
    seed, callsPerS: OVERLOAD_FACTOR * KEYED_CALLS_PER_S, durationMs: OVERLOAD_DURATION_MS
  })
  const figure = (
    name: string, unit: string, value: number, baseline: number | null, target?: Figure['target'], note?: string
  ): Figure => ({ suite, figure: name, unit, baseline, value, seed, target, note })
  return [
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
