import type { Figure } from '../harness/index.js'
import type { Child } from './childProcess.js'
import type { Deployment } from './deployment.js'
import { runClosedLoop, sendStream } from './load.js'

const SUITE = 'overhead'
/**
 * Close to the most that one entry can relay. At 400 concurrent streams its admission observes late first
 * tokens and refuses requests, which costs CPU time too.
 */
const LOAD = { concurrent: 200, durationMs: 2_500 }
/** Long streams show the cost per token, streams of one token the cost per request. */
const LONG_STREAM_TOKENS = 100
const SHORT_STREAM_TOKENS = 1

/** Runs one saturated round and returns the number of complete streams and the CPU time of each process. */
const runSaturated = async (url: string, tokens: number, processes: readonly Child[]) => {
  const beforeS = processes.map(child => child.cpuS())
  const samples = await runClosedLoop(LOAD, () => sendStream(url, tokens))
  const cpuS = processes.map((child, i) => child.cpuS() - beforeS[i]!)
  const completeCount = samples.filter(({ isComplete }) => isComplete).length
  const failures = [...new Set(samples.flatMap(({ isComplete, failure }) => isComplete ? [] : [failure]))]
  return { completeCount, incompleteCount: samples.length - completeCount, failures, cpuS, totalS: cpuS.reduce((sum, seconds) => sum + seconds, 0) }
}

const measure = async (
  { entryUrl, naiveUrl, entry, engineAgent, naiveRelay }: Deployment, seed: number, figure: string, unit: string, tokens: number
): Promise<Figure> => {
  const naive = await runSaturated(naiveUrl, tokens, [naiveRelay])
  const relayed = await runSaturated(entryUrl, tokens, [entry, engineAgent])
  const [entryS = 0, agentS = 0] = relayed.cpuS
  return {
    suite: SUITE,
    figure,
    unit,
    baseline: naive.completeCount * tokens / naive.totalS,
    value: relayed.completeCount * tokens / relayed.totalS,
    seed,
    note: `baseline: one process that pipes bytes; CPU of entry ${entryS.toFixed(2)} s, of agent ${agentS.toFixed(2)} s; ` +
      `${relayed.completeCount} whole streams, ${relayed.incompleteCount} refused or cut ${relayed.failures.join(', ')}`.trimEnd()
  }
}

/** Measures requests and tokens per second of CPU time of entry and agent together. */
export const measurePerCore = async (deployment: Deployment, seed: number): Promise<Figure[]> => [
  await measure(deployment, seed, 'requests_per_core_s', 'requests', SHORT_STREAM_TOKENS),
  await measure(deployment, seed, 'tokens_per_core_s', 'tokens', LONG_STREAM_TOKENS)
]
