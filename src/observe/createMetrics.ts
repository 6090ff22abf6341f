import { StatsD } from 'hot-shots'
import { createLog } from '../core/index.js'
import { MetricKind, METRIC_TABLE, type MetricName } from './metricNames.js'

const log = createLog('metrics')

/** Records metrics; METRIC_TABLE defines the kind of each. */
export interface Metrics {
  record (name: MetricName, value: number, tags?: Record<string, string>): void
  close (): Promise<void>
}

export interface MetricsOptions {
  host: string
  port: number
  nodeId: string
  failureDomain: string
}

/** Creates a recorder that discards all metrics. */
export const createNoMetrics = (): Metrics => ({ record: () => {}, close: async () => {} })

/**
 * Sends metrics to a StatsD server over UDP.
 *
 * @example
 * const metrics = createMetrics({ host: '127.0.0.1', port: 8125, nodeId: 'entry-1', failureDomain: 'tema-a' })
 * metrics.record(MetricName.RequestsTotal, 1, { route: 'quotes' })
 */
export const createMetrics = ({ host, port, nodeId, failureDomain }: MetricsOptions): Metrics => {
  const client = new StatsD({
    host,
    port,
    prefix: 'baobabdrift.',
    globalTags: { node: nodeId, failureDomain },
    errorHandler: error => log('failed to send metrics: %s', error.message)
  })
  const recorders: Record<MetricKind, (name: string, value: number, tags: Record<string, string>) => void> = {
    [MetricKind.Counter]: (name, value, tags) => client.increment(name, value, tags),
    [MetricKind.Gauge]: (name, value, tags) => client.gauge(name, value, tags),
    [MetricKind.Timing]: (name, value, tags) => client.timing(name, value, tags)
  }
  return {
    record: (name, value, tags = {}) => recorders[METRIC_TABLE[name].kind](name, value, tags),
    close: () => new Promise(resolve => client.close(() => resolve()))
  }
}
