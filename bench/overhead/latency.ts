import { createRandom } from '../../src/core/index.js'
import { type Figure, percentile } from '../harness/index.js'
import type { Deployment } from './deployment.js'
import { runOpenLoop, sendOrder, sendStream, type StreamSample } from './load.js'

const SUITE = 'overhead'
const STREAM_ROUNDS = 6
/** Streams of 20 tokens at 10 ms each, which makes about 20 concurrent streams. */
const STREAM_LOAD = { perS: 100, durationMs: 1_500 }
const STREAM_TOKENS = 20
const ORDER_ROUNDS = 3
const ORDER_LOAD = { perS: 40, durationMs: 1_000 }
const ADDED_FIRST_TOKEN_P99_MAX_MS = 13
const ADDED_TOKEN_GAP_P99_MAX_MS = 1.3

/**
 * Runs the same load against two URLs in alternating rounds, so that both run under the same conditions of
 * the machine.
 */
const runAlternating = async <Sample>(
  seed: number, rounds: number, load: typeof STREAM_LOAD, urls: readonly [direct: string, relayed: string], send: (url: string) => Promise<Sample>
) => {
  const samples: [Sample[], Sample[]] = [[], []]
  for (let round = 0; round < rounds; round++) {
    // The order alternates, so that neither URL is always measured second.
    for (const side of round % 2 === 0 ? [0, 1] as const : [1, 0] as const) {
      samples[side].push(...await runOpenLoop(createRandom(seed * 1_000 + round), load, () => send(urls[side])))
    }
  }
  return { direct: samples[0], relayed: samples[1] }
}

const addedFigures = (seed: number, name: string, direct: readonly number[], relayed: readonly number[], p99Max: number): Figure[] =>
  [0.5, 0.99].map(share => {
    const baseline = percentile(direct, share)
    const relayedMs = percentile(relayed, share)
    return {
      suite: SUITE,
      figure: `${name}_p${share * 100}`,
      unit: 'ms',
      baseline,
      value: relayedMs - baseline,
      seed,
      ...(share === 0.99 ? { target: { max: p99Max } } : {}),
      note: `${relayedMs.toFixed(2)} ms relayed, ${relayed.length} samples`
    }
  })

const firstTokensOf = (samples: readonly StreamSample[]) => samples.map(({ firstTokenMs }) => firstTokenMs)
const gapsOf = (samples: readonly StreamSample[]) => samples.flatMap(({ gapsMs }) => gapsMs)

/**
 * Measures the latency that entry and agent add to event streams.
 *
 * @throws Error if a stream is incomplete
 */
export const measureStreams = async ({ engineUrl, entryUrl }: Deployment, seed: number): Promise<Figure[]> => {
  const { direct, relayed } = await runAlternating(seed, STREAM_ROUNDS, STREAM_LOAD, [engineUrl, entryUrl], url => sendStream(url, STREAM_TOKENS))
  const incompleteCount = [...direct, ...relayed].filter(({ isComplete }) => !isComplete).length
  if (incompleteCount > 0) throw new Error(`${incompleteCount} streams were incomplete`)
  return [
    ...addedFigures(seed, 'added_first_token_ms', firstTokensOf(direct), firstTokensOf(relayed), ADDED_FIRST_TOKEN_P99_MAX_MS),
    ...addedFigures(seed, 'added_token_gap_ms', gapsOf(direct), gapsOf(relayed), ADDED_TOKEN_GAP_P99_MAX_MS)
  ]
}

/** Measures the latency of at-most-once orders, next to direct calls of the service. */
export const measureOrders = async ({ serviceUrl, entryUrl }: Deployment, seed: number): Promise<Figure[]> => {
  const { direct, relayed } = await runAlternating(seed, ORDER_ROUNDS, ORDER_LOAD, [serviceUrl, entryUrl], sendOrder)
  return [0.5, 0.99].map(share => ({
    suite: SUITE,
    figure: `keyed_call_ms_p${share * 100}`,
    unit: 'ms',
    baseline: percentile(direct, share),
    value: percentile(relayed, share),
    seed,
    note: `${relayed.length} orders, each bound by an append to the log`
  }))
}
