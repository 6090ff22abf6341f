import type { ConfigurationHolder } from '../../configuration/index.js'
import { describeResult, ResultCode } from '../../core/index.js'
import type { PlacementExplanation, PlacementRequest, WorkerPlacement } from '../../routing/index.js'

/** Where a request would go now, and why, by the services of its route. */
export interface ForwardExplanation {
  code: ResultCode
  reason: string
  route?: string
  configurationVersion?: number
  services: (PlacementExplanation & { weight: number })[]
}

/** The result of a request is the best one that a service of its route has. */
const CODES_BY_RANK = [ResultCode.Ok, ResultCode.Overloaded, ResultCode.AllEvacuated]

export interface ForwardExplainerOptions {
  configuration: Pick<ConfigurationHolder, 'current' | 'findRoute' | 'version'>
  placement: Pick<WorkerPlacement, 'explain'>
  toPlacementRequest: (service: string, triedWorkerIds: readonly string[], bodyBytes: number) => PlacementRequest
}

/**
 * Creates the explainer of one entry. It sends nothing, and asks for no permit.
 *
 * @example
 * createForwardExplainer({ configuration, placement, toPlacementRequest })('site.example', '/look/x').services[0]?.chosenWorkerId
 */
export const createForwardExplainer = (
  { configuration, placement, toPlacementRequest }: ForwardExplainerOptions
) => (host: string, path: string, bodyBytes = 0): ForwardExplanation => {
  const refuse = (code: ResultCode): ForwardExplanation => ({ code, reason: describeResult(code).text, services: [] })
  if (configuration.current === undefined) return refuse(ResultCode.NotReady)
  const route = configuration.findRoute(host, path.split('?')[0]!)
  if (route === undefined) return refuse(ResultCode.NoRoute)
  const services = route.backends.map(({ service, weight }) => ({ weight, ...placement.explain(toPlacementRequest(service, [], bodyBytes)) }))
  const code = CODES_BY_RANK.find(ranked => services.some(service => service.code === ranked)) ?? ResultCode.NoUpstream
  return { code, reason: describeResult(code).text, route: route.name, configurationVersion: configuration.version, services }
}
