import type { Clock, TimestampMs } from '../../core/index.js'
import { type Metrics, MetricName } from '../../observe/index.js'
import type { RequestPorts, SubmittedRequest } from '../../requests/index.js'
import type { PoolRouters } from './poolRouters.js'
import type { RequestSpans } from './requestSpans.js'

export interface RequestPortsOptions {
  clock: Clock
  routers: PoolRouters
  spans: RequestSpans
  metrics: Metrics
}

/** Connects the life of a request with routing, spans and metrics. */
export const createRequestPorts = ({ clock, routers, spans, metrics }: RequestPortsOptions): RequestPorts => {
  const arrivedMs = new Map<string, TimestampMs>()
  const ageMs = ({ requestId }: SubmittedRequest) => clock.nowMs() - (arrivedMs.get(requestId) ?? clock.nowMs())

  return {
    admit: request => {
      arrivedMs.set(request.requestId, clock.nowMs())
      spans.startRequest(request)
      return undefined
    },
    choose: (request, excludedAgentIds) => routers.choose(request, excludedAgentIds),
    takeRetry: () => true,
    isSuspect: () => false,
    onDispatched: (request, agent, attempt) => {
      routers.noteDispatched(request, agent.agentId)
      return spans.startAttempt(request, agent, attempt)
    },
    onResumed: (request, _agent, attempt) => spans.noteResume(request, attempt),
    onFirstBytes: (request, agent) => {
      routers.noteFirstBytes(request, agent.agentId)
      metrics.record(MetricName.FirstTokenMs, ageMs(request), { route: request.route })
    },
    onAttemptEnded: (request, agent, attempt, result) => {
      routers.noteEnded(request, agent.agentId, result)
      spans.endAttempt(request, attempt, result)
      metrics.record(MetricName.AttemptsTotal, 1, { route: request.route, result })
    },
    onRequestEnded: (request, code) => {
      metrics.record(MetricName.RequestsTotal, 1, { route: request.route, code: String(code) })
      metrics.record(MetricName.RequestDurationMs, ageMs(request), { route: request.route })
      arrivedMs.delete(request.requestId)
      spans.endRequest(request, code)
    }
  }
}
