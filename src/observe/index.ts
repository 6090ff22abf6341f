/** Metrics, traces and structured logs of the programs. */
export * from './createMetrics.js'
export * from './createTracing.js'
export * from './metricNames.js'
export * from './createEventLog.js'
export * from './logTaskFailure.js'
