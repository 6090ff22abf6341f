import { z } from 'zod'
import { type CustomerLimit, RepeatPolicy, type RouteRow } from '../../configuration/index.js'
import { type Clock, describeResult, fingerprint, ResultCode } from '../../core/index.js'
import type { SubmittedRequest } from '../../requests/index.js'
import type { UpstreamExplanation } from '../../routing/index.js'
import type { PoolRouters } from './poolRouters.js'
import { type PromptShape, readRequestShape } from './promptBlocks.js'
import { type QuarantineGate, SuspectPlacementKind } from './quarantineGate.js'
import type { RowTable } from './rowTable.js'

export const CUSTOMER_LENGTH_MAX = 128

/** Body of `POST /v1/route`: a request as a caller would send it. */
export const routeQuestionSchema = z.object({
  method: z.string().min(1).default('GET'),
  path: z.string().startsWith('/'),
  customer: z.string().min(1).max(CUSTOMER_LENGTH_MAX).optional(),
  body: z.string().default('')
})

export type RouteQuestion = z.infer<typeof routeQuestionSchema>

/** Body of the response: where the request would go now, and why. */
export interface RouteExplanation {
  nodeId: string
  /** Result with which the request would be refused; Ok if it would be sent. */
  code: ResultCode
  reason: string
  route?: string
  pool?: string
  /** Limits that apply to the request. */
  limits: { requestBytesMax?: number, deadlineMs?: number, customer?: CustomerLimit }
  upstreams: readonly UpstreamExplanation[]
  notes: string[]
}

export interface RouteExplainerOptions {
  clock: Clock
  nodeId: string
  table: Pick<RowTable, 'findRoute'>
  routers: Pick<PoolRouters, 'explainUpstreams'>
  quarantine: Pick<QuarantineGate, 'place'>
  isRefusing: () => boolean
}

/** Undefined if the request would be refused for its body. */
const tryReadShape = (path: string, body: Uint8Array): PromptShape | undefined => {
  try {
    return readRequestShape(path, body)
  } catch {
    return undefined
  }
}

const limitsOf = (route: RouteRow, customer: string | undefined): RouteExplanation['limits'] => {
  const limit = (customer === undefined ? undefined : route.customerOverrides[customer]) ?? route.customerLimit
  return { requestBytesMax: route.requestBytesMax, deadlineMs: route.deadlineMs, ...(limit === undefined ? {} : { customer: limit }) }
}

const SUSPECT_NOTES: Record<SuspectPlacementKind, string | undefined> = {
  [SuspectPlacementKind.Anywhere]: undefined,
  [SuspectPlacementKind.Alone]: 'it is suspected of crashing an upstream, so it runs alone, on one that all entries choose alike',
  [SuspectPlacementKind.Refused]: 'it is quarantined, or another run of it must end first'
}

/**
 * Creates the explainer of one entry. It sends nothing, and counts nothing against a limit; a limit that is shared among
 * entries is therefore named and not checked.
 *
 * @example
 * createRouteExplainer({ clock, nodeId, table, routers, quarantine, isRefusing })({ method: 'GET', path: '/stock', customer: 'ama', body: '' })
 */
export const createRouteExplainer = (
  { clock, nodeId, table, routers, quarantine, isRefusing }: RouteExplainerOptions
) => (question: RouteQuestion): RouteExplanation => {
  const { method, path, customer, body } = question
  const refuse = (code: ResultCode, rest: Partial<RouteExplanation> = {}): RouteExplanation =>
    ({ nodeId, code, reason: describeResult(code).text, limits: {}, upstreams: [], notes: [], ...rest })

  if (customer === undefined) return refuse(ResultCode.MissingCustomer)
  const bytes = Buffer.from(body)
  const pathOnly = path.split('?')[0]!
  const shape = tryReadShape(pathOnly, bytes)
  if (shape === undefined) return refuse(ResultCode.BadRequest)
  const route = table.findRoute(pathOnly, shape.model)
  if (route === undefined) return refuse(ResultCode.NoRoute)
  const found = { route: route.name, pool: route.pool, limits: limitsOf(route, customer) }
  if (bytes.length > route.requestBytesMax) return refuse(ResultCode.RequestTooLarge, found)
  if (isRefusing()) return refuse(ResultCode.Draining, found)

  const deadlineAtMs = clock.nowMs() + route.deadlineMs
  const request: SubmittedRequest = {
    requestId: `explain-${nodeId}`,
    route: route.name,
    pool: route.pool,
    customer,
    repeat: route.repeat,
    priority: route.priority,
    deadlineAtMs,
    fingerprint: fingerprint(Buffer.concat([Buffer.from(`${method} ${path}\n`), bytes])),
    promptBlocks: shape.blocks,
    model: shape.model,
    promptParts: shape.sharedParts,
    estimatedTokens: shape.estimatedTokens,
    request: { method, path, customer, priority: route.priority, isEventStream: shape.isEventStream, body: bytes }
  }
  const suspicion = quarantine.place(request)
  const { upstreams, code, explanation } = routers.explainUpstreams(request)
  const chosen = upstreams.find(({ isChosen }) => isChosen)
  const isLate = (chosen?.firstTokenMs ?? 0) > route.deadlineMs
  const notes = [
    SUSPECT_NOTES[suspicion.kind],
    route.repeat === RepeatPolicy.AtMostOnce ? 'a key that is already bound goes to the upstream that it is bound to' : undefined
  ].filter(note => note !== undefined)
  if (suspicion.kind === SuspectPlacementKind.Refused) return refuse(suspicion.code, { ...found, upstreams, notes })
  if (chosen === undefined) return refuse(code, { ...found, upstreams, notes: [...notes, explanation] })
  if (isLate) return refuse(ResultCode.DeadlineUnreachable, { ...found, upstreams, notes })
  return { nodeId, code: ResultCode.Ok, reason: explanation, ...found, upstreams, notes }
}
