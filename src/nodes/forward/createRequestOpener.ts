import { describeResult } from '../../core/index.js'
import type { FleetRetryBudget } from '../../limits/index.js'
import { type EventLog, LogEvent } from '../../observe/index.js'
import { type AdmissionOptions, admitCaller } from './admitCaller.js'
import type { ForwardTask } from './forwardTask.js'
import type { CallerRequest, CallerSink } from './types.js'

/** A request whose head was admitted and whose body has not arrived yet. */
export interface OpenRequest {
  submit (body: Uint8Array): void
  /** Time until the deadline, when the request was admitted. */
  readonly remainingMs: number
}

export interface RequestOpenerOptions {
  admission: AdmissionOptions
  budget: FleetRetryBudget
  submit: ForwardTask['submit']
  log: EventLog
}

/** A caller that this entry cannot serve may try another one at once. */
const REFUSED_RETRY_MS = 200

/**
 * Returns the function that admits a request by its head, or refuses it through the sink and returns undefined.
 *
 * @example
 * createRequestOpener({ admission, budget, submit, log })(caller, sink)?.submit(body)
 */
export const createRequestOpener = (
  { admission, budget, submit, log }: RequestOpenerOptions
) => (caller: CallerRequest, sink: CallerSink): OpenRequest | undefined => {
  const { configuration } = admission
  const admitted = admitCaller(caller, admission)
  if (typeof admitted === 'number') {
    log(LogEvent.RequestRefused, {
      requestId: caller.requestId,
      callerAttemptId: caller.callerAttemptId,
      code: admitted,
      path: caller.path,
      configurationVersion: configuration.version
    })
    sink.onRefuse(admitted, describeResult(admitted).retryable ? REFUSED_RETRY_MS : undefined)
    return undefined
  }
  const { requestId, callerAttemptId, route, service, tenant } = admitted
  log(LogEvent.RequestAdmitted, {
    requestId, callerAttemptId, route: route.name, service, tenant, configurationVersion: configuration.version
  })
  return {
    remainingMs: admitted.deadlineAtMs - admitted.arrivedAtMs,
    submit: body => {
      budget.recordRequest(service)
      submit({ ...admitted, body }, sink)
    }
  }
}
