/** An entry that forwards requests directly to workers; the codec for messages is passed in. */
export * from './createForwardNode.js'
export type { ForwardNode, ForwardNodeOptions } from './forwardNodeTypes.js'
export type { OpenRequest } from './createRequestOpener.js'
export * from './createWholeResponseSink.js'
export { labelsOf, LATENCY_BUCKETS_MS, type LatencyHistogram } from './forwardCounters.js'
export * from './types.js'
