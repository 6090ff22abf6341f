/** An entry that forwards straight to workers, without encoding of its own. */
export * from './createForwardNode.js'
export { labelsOf, LATENCY_BUCKETS_MS, type LatencyHistogram } from './forwardCounters.js'
export * from './types.js'
