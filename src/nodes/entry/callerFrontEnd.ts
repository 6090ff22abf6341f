import fastify, { type FastifyReply, type FastifyRequest } from 'fastify'
import type { IncomingMessage } from 'node:http'
import type { AddressInfo } from 'node:net'
import {
  BodyRefusal, type BudgetLimits, type CallerGuard, type CloseReason, guardCallers, refuseAndClose
} from '../../callerLimits/index.js'
import { type Clock, createLog, describeResult, fingerprint, ResultCode } from '../../core/index.js'
import { REQUEST_BYTES_MAX, type RouteRow } from '../../configuration/index.js'
import type { SubmittedRequest } from '../../requests/index.js'
import { trackUnsent } from '../trackUnsent.js'
import { createResponseSink, type LiveRequest, RETRY_AFTER_S } from './createResponseSink.js'
import { CUSTOMER_LENGTH_MAX, type RouteExplanation, type RouteQuestion, routeQuestionSchema } from './explainRoute.js'
import { type PromptShape, readRequestShape } from './promptBlocks.js'
import type { AddressResponse, RequestGateway } from './types.js'

const log = createLog('callers')

/** A body of the largest size takes 960 s at 1 KB/s. */
const BODY_TIMEOUT_MS = 1_200_000
const HEADER_BYTES_MAX = 16 * 1024
const REFUSAL_CODES: Record<BodyRefusal, ResultCode> = {
  [BodyRefusal.TooLarge]: ResultCode.RequestTooLarge,
  [BodyRefusal.BudgetSpent]: ResultCode.CallerBudgetSpent,
  [BodyRefusal.Deadline]: ResultCode.BodyIncomplete
}

/** Returns undefined for a body that is no JSON. */
const parseJson = (body: unknown): unknown => {
  try {
    return JSON.parse(String(body))
  } catch {
    return undefined
  }
}

export interface CallerFrontEndOptions {
  host: string
  port: number
  clock: Clock
  callerLimits: BudgetLimits
  onCallerClosed: (reason: CloseReason) => void
  onBodyRefused: (refusal: BodyRefusal) => void
  gateway: RequestGateway
  nextRequestId: () => string
  findRoute: (path: string, model: string | undefined) => RouteRow | undefined
  addressesFor: (customer: string) => AddressResponse
  status: () => unknown
  /** Why the router chose the upstreams of a recent request, one line per attempt. */
  explain: (requestId: string) => string[]
  /** Where a request would go now, and why. */
  explainRoute: (question: RouteQuestion) => RouteExplanation
  /** Last decision of the expert map planner, by group. */
  expertMaps: () => Record<string, string[]>
}

export interface CallerFrontEnd {
  readonly port: number
  /** Connections with bytes of responses that have not been written. */
  readonly unsentCount: number
  readonly callers: CallerGuard
  close (): Promise<void>
}

/**
 * Starts the HTTP front end. It translates HTTP requests to submitted requests and their results to HTTP
 * responses; all decisions about a request are made behind the gateway.
 *
 * @example
 * const frontEnd = await startCallerFrontEnd({ host: '127.0.0.1', port: 8101, gateway, ... })
 */
export const startCallerFrontEnd = async (options: CallerFrontEndOptions): Promise<CallerFrontEnd> => {
  const { clock, gateway } = options
  const app = fastify({
    forceCloseConnections: true,
    http: { maxHeaderSize: HEADER_BYTES_MAX }
  })
  const unsent = trackUnsent(app.server)
  app.removeAllContentTypeParsers()
  const callers = guardCallers({
    server: app.server,
    clock,
    limits: options.callerLimits,
    onClosed: (reason, { heldBytes, connections }) => {
      log('closed a connection of a caller: %s; %d bytes held on %d connections', reason, heldBytes, connections)
      options.onCallerClosed(reason)
    },
    onRefused: options.onBodyRefused
  })
  const live = new WeakMap<IncomingMessage, LiveRequest>()
  app.addHook('onRequest', (request, reply, done) => {
    const liveRequest: LiveRequest = { guard: callers.guard(request.raw, reply.raw, () => liveRequest.onGone()), onGone: () => {}, refusal: undefined }
    live.set(request.raw, liveRequest)
    done()
  })
  app.addContentTypeParser('*', (request, _payload, done) => {
    const liveRequest = live.get(request.raw)!
    liveRequest.guard.receiveBody({
      bytesMax: REQUEST_BYTES_MAX,
      remainingMs: BODY_TIMEOUT_MS,
      onBody: body => done(null, body),
      onRefuse: refusal => {
        liveRequest.refusal = refusal
        done(new Error(refusal))
      }
    })
  })

  const errorBodyOf = (requestId: string, customer: string | undefined, code: ResultCode) => {
    const { outcome, text, retryable } = describeResult(code)
    const addresses = retryable && customer !== undefined ? options.addressesFor(customer).addresses : undefined
    return { error: { code, outcome, message: text, requestId, ...(addresses === undefined ? {} : { addresses }) } }
  }

  const sendError = (reply: FastifyReply, requestId: string, customer: string | undefined, code: ResultCode) => {
    const { httpStatus, retryable, outcome } = describeResult(code)
    reply.code(httpStatus).header('x-result-code', code).header('x-outcome', outcome).header('x-request-id', requestId)
    if (retryable) reply.header('retry-after', RETRY_AFTER_S)
    return reply.send(errorBodyOf(requestId, customer, code))
  }

  const headerText = (request: FastifyRequest, name: string): string | undefined => {
    const value = request.headers[name]
    return typeof value === 'string' && value.length > 0 ? value : undefined
  }

  const handleRequest = async (request: FastifyRequest, reply: FastifyReply) => {
    const requestId = options.nextRequestId()
    const customer = headerText(request, 'x-customer')
    if (customer === undefined || customer.length > CUSTOMER_LENGTH_MAX) {
      return sendError(reply, requestId, undefined, ResultCode.MissingCustomer)
    }
    const path = request.url.split('?')[0] ?? '/'
    const body = Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0)
    let shape: PromptShape
    try {
      shape = readRequestShape(path, body)
    } catch {
      return sendError(reply, requestId, customer, ResultCode.BadRequest)
    }
    const route = options.findRoute(path, shape.model)
    if (route === undefined) return sendError(reply, requestId, customer, ResultCode.NoRoute)
    if (body.length > route.requestBytesMax) return sendError(reply, requestId, customer, ResultCode.RequestTooLarge)

    const contentType = headerText(request, 'content-type')
    const idempotencyKey = headerText(request, 'idempotency-key')
    const traceparent = headerText(request, 'traceparent')
    const submitted: SubmittedRequest = {
      requestId,
      route: route.name,
      pool: route.pool,
      customer,
      repeat: route.repeat,
      priority: route.priority,
      deadlineAtMs: clock.nowMs() + route.deadlineMs,
      fingerprint: fingerprint(Buffer.concat([Buffer.from(`${request.method} ${request.url}\n`), body])),
      promptBlocks: shape.blocks,
      model: shape.model,
      promptParts: shape.sharedParts,
      estimatedTokens: shape.estimatedTokens,
      ...(traceparent === undefined ? {} : { traceparent }),
      request: {
        method: request.method,
        path: request.url,
        customer,
        priority: route.priority,
        isEventStream: shape.isEventStream,
        body,
        ...(contentType === undefined ? {} : { contentType }),
        ...(idempotencyKey === undefined ? {} : { idempotencyKey })
      }
    }
    reply.hijack()
    gateway.submit(submitted, createResponseSink({ reply, submitted, live: live.get(request.raw)!, clock, gateway, errorBodyOf }))
  }

  /** Refuses a request whose body is not read to its end, and closes the connection. */
  const refuseBody = (request: FastifyRequest, reply: FastifyReply, refusal: BodyRefusal) => {
    const requestId = options.nextRequestId()
    const code = REFUSAL_CODES[refusal]
    const { httpStatus, retryable, outcome } = describeResult(code)
    reply.hijack()
    refuseAndClose(request.raw, reply.raw, httpStatus, {
      'content-type': 'application/json',
      'x-request-id': requestId,
      'x-result-code': code,
      'x-outcome': outcome,
      ...(retryable ? { 'retry-after': String(RETRY_AFTER_S) } : {})
    }, Buffer.from(JSON.stringify(errorBodyOf(requestId, headerText(request, 'x-customer'), code))))
  }

  app.setErrorHandler((error: { statusCode?: number }, request, reply) => {
    const refusal = live.get(request.raw)?.refusal
    if (refusal !== undefined) return refuseBody(request, reply, refusal)
    const code = error.statusCode === 413 ? ResultCode.RequestTooLarge : ResultCode.BadRequest
    return sendError(reply, options.nextRequestId(), headerText(request, 'x-customer'), code)
  })

  app.get('/v1/addresses', async (request, reply) => {
    const customer = headerText(request, 'x-customer')
    if (customer === undefined) return sendError(reply, options.nextRequestId(), undefined, ResultCode.MissingCustomer)
    return options.addressesFor(customer)
  })
  app.get('/v1/status', async () => options.status())
  app.get<{ Params: { requestId: string } }>('/v1/explain/:requestId', async request =>
    ({ requestId: request.params.requestId, lines: options.explain(request.params.requestId), expertMaps: options.expertMaps() }))
  app.post('/v1/route', async (request, reply) => {
    const question = routeQuestionSchema.safeParse(parseJson(request.body))
    return question.success ? options.explainRoute(question.data) : sendError(reply, options.nextRequestId(), undefined, ResultCode.BadRequest)
  })
  app.all('/*', handleRequest)

  await app.listen({ host: options.host, port: options.port })
  return {
    port: (app.server.address() as AddressInfo).port,
    get unsentCount () { return unsent.count },
    callers,
    close: async () => {
      app.server.closeIdleConnections()
      await app.close()
    }
  }
}
