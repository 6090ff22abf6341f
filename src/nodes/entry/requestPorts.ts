import { type Clock, ResultCode, type TimestampMs } from '../../core/index.js'
import { type Metrics, MetricName } from '../../observe/index.js'
import type { ChosenAgent, RequestPorts, SubmittedRequest } from '../../requests/index.js'
import type { AdmissionGate } from './admissionGate.js'
import type { PoolRouters } from './poolRouters.js'
import { SuspectPlacementKind, type QuarantineGate, type SuspectPlacement } from './quarantineGate.js'
import type { RequestSpans } from './requestSpans.js'

export interface RequestPortsOptions {
  clock: Clock
  routers: PoolRouters
  admission: AdmissionGate
  quarantine: QuarantineGate
  spans: RequestSpans
  metrics: Metrics
  /** Finds a live agent, also outside the subset that this entry is linked to. */
  findAgent: (agentId: string) => ChosenAgent | undefined
}

/** Connects the request lifecycle to limits, quarantine, routing, tracing and metrics. */
export const createRequestPorts = ({
  clock, routers, admission, quarantine, spans, metrics, findAgent
}: RequestPortsOptions): RequestPorts => {
  const arrivedMs = new Map<string, TimestampMs>()
  const runningAlone = new Set<string>()
  const ageMs = ({ requestId }: SubmittedRequest) => clock.nowMs() - (arrivedMs.get(requestId) ?? clock.nowMs())

  const endRequest = (request: SubmittedRequest, code: ResultCode) => {
    admission.recordEnd(request)
    metrics.record(MetricName.RequestsTotal, 1, { route: request.route, code: String(code) })
    metrics.record(MetricName.RequestDurationMs, ageMs(request), { route: request.route })
    arrivedMs.delete(request.requestId)
    spans.endRequest(request, code)
  }

  const chooseAnywhere = (request: SubmittedRequest, excludedAgentIds: readonly string[]): ChosenAgent | ResultCode => {
    const agent = routers.choose(request, excludedAgentIds)
    if (typeof agent === 'number' || excludedAgentIds.length > 0) return agent
    return admission.admitByPrediction(request, agent.choice) ?? agent
  }

  const chooseAlone = (request: SubmittedRequest, agentId: string, excludedAgentIds: readonly string[]): ChosenAgent | ResultCode => {
    if (excludedAgentIds.includes(agentId)) return ResultCode.SuspectBusy
    const agent = findAgent(agentId)
    if (agent === undefined) return ResultCode.NoUpstream
    runningAlone.add(request.requestId)
    return agent
  }

  type Chooser<Kind extends SuspectPlacementKind> =
    (placement: Extract<SuspectPlacement, { kind: Kind }>, request: SubmittedRequest, excluded: readonly string[]) => ChosenAgent | ResultCode

  const choosers: { [Kind in SuspectPlacementKind]: Chooser<Kind> } = {
    [SuspectPlacementKind.Anywhere]: (_placement, request, excluded) => chooseAnywhere(request, excluded),
    [SuspectPlacementKind.Alone]: ({ agentId }, request, excluded) => chooseAlone(request, agentId, excluded),
    [SuspectPlacementKind.Refused]: ({ code }) => code
  }

  return {
    admit: request => {
      arrivedMs.set(request.requestId, clock.nowMs())
      spans.startRequest(request)
      const code = admission.admitCustomer(request)
      if (code !== undefined) endRequest(request, code)
      return code
    },
    choose: (request, excluded) => {
      runningAlone.delete(request.requestId)
      const placement = quarantine.place(request)
      return (choosers[placement.kind] as Chooser<SuspectPlacementKind>)(placement, request, excluded)
    },
    takeRetry: request => admission.takeRetry(request),
    isSuspect: ({ requestId }) => runningAlone.has(requestId),
    onDispatched: (request, agent, attempt) => {
      quarantine.recordDispatch(request, agent.agentId)
      routers.recordDispatch(request, agent.agentId)
      return spans.startAttempt(request, agent, attempt)
    },
    onResumed: (request, _agent, attempt) => spans.recordResume(request, attempt),
    onFirstBytes: (request, agent) => {
      routers.recordFirstBytes(request, agent.agentId)
      admission.recordFirstBytes(request)
      metrics.record(MetricName.FirstTokenMs, ageMs(request), { route: request.route })
    },
    onStreamBytes: (request, agent) => routers.recordBytes(request, agent.agentId),
    onAttemptEnded: (request, agent, attempt, result) => {
      quarantine.recordEnd(request, agent.agentId, result)
      routers.recordEnd(request, agent.agentId, result)
      spans.endAttempt(request, attempt, result)
      metrics.record(MetricName.AttemptsTotal, 1, { route: request.route, result })
    },
    onRequestEnded: (request, code) => {
      runningAlone.delete(request.requestId)
      endRequest(request, code)
    }
  }
}
