import { createMetrics, createNoMetrics, createNoTracing, createTracing, type Metrics, type Tracing } from '../observe/index.js'
import type { NodeSettings } from './settings.js'

/** Metrics and tracing of a node. */
export interface Observability {
  metrics: Metrics
  tracing: Tracing
}

/** Creates metrics and tracing from the settings; without its section, either records nothing. */
export const createObservability = (serviceName: string, settings: NodeSettings): Observability => {
  const { nodeId, failureDomain, metrics, traces } = settings
  return {
    metrics: metrics === undefined ? createNoMetrics() : createMetrics({ ...metrics, nodeId, failureDomain }),
    tracing: traces === undefined ? createNoTracing() : createTracing({ ...traces, serviceName, nodeId })
  }
}
