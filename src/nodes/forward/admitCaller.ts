import type { Backend, ConfigurationHolder } from '../../configuration/index.js'
import { type Clock, type Random, ResultCode, type TimestampMs } from '../../core/index.js'
import type { ForwardRequest } from '../../requests/index.js'
import type { PlannedStop } from './plannedStop.js'
import type { CallerRequest } from './types.js'

const pickBackend = (backends: readonly Backend[], random: Random): string => {
  const total = backends.reduce((sum, { weight }) => sum + weight, 0)
  let remaining = random.next() * total
  for (const { service, weight } of backends) {
    remaining -= weight
    if (remaining < 0) return service
  }
  return backends.at(-1)!.service
}

/** An admitted request whose body has not arrived yet. */
export type AdmittedRequest = Omit<ForwardRequest, 'body'>

export interface AdmissionOptions {
  configuration: ConfigurationHolder
  plannedStop: PlannedStop
  /** When a request that begins now will most likely have ended, by its route and its deadline. */
  expectedEndAtMs: (route: string, deadlineAtMs: TimestampMs) => TimestampMs
  clock: Clock
  random: Random
}

/**
 * Matches a request head to its route and tenant; returns the result code if the request is refused.
 *
 * @example
 * admitCaller(caller, { configuration, plannedStop, expectedEndAtMs, clock, random })
 */
export const admitCaller = (
  caller: CallerRequest, { configuration, plannedStop, expectedEndAtMs, clock, random }: AdmissionOptions
): AdmittedRequest | ResultCode => {
  if (configuration.current === undefined) return ResultCode.NotReady
  const pathname = caller.path.split('?', 1)[0] ?? '/'
  const route = configuration.findRoute(caller.host, pathname)
  if (route === undefined) return ResultCode.NoRoute
  const tenant = caller.apiKey === undefined ? undefined : configuration.findTenant(caller.apiKey)
  if (tenant === undefined && configuration.hasTenants && !route.isPublic) return ResultCode.UnknownApiKey
  const arrivedAtMs = clock.nowMs()
  const deadlineAtMs = arrivedAtMs + Math.min(route.timeoutMs, caller.remainingMs ?? route.timeoutMs)
  if (!plannedStop.mayTake({ deadlineAtMs, expectedEndAtMs: expectedEndAtMs(route.name, deadlineAtMs) })) return ResultCode.Draining
  return {
    requestId: caller.requestId,
    callerAttemptId: caller.callerAttemptId,
    route,
    service: pickBackend(route.backends, random),
    tenant: tenant?.name,
    priority: tenant?.priority ?? route.priority,
    arrivedAtMs,
    deadlineAtMs,
    method: caller.method,
    path: caller.path,
    headers: caller.headers,
    lastEventId: caller.lastEventId,
    model: caller.model,
    promptParts: caller.promptParts
  }
}
