import type { FastifyReply } from 'fastify'
import type { BodyRefusal, RequestGuard } from '../../callerLimits/index.js'
import { type Clock, createByteBuffer, createLog, describeResult, ResultCode } from '../../core/index.js'
import { COMMENT_INTERVAL_MS, type ResponseHead, type SubmittedRequest } from '../../requests/index.js'
import type { RequestGateway, ResponseSink } from './types.js'

const log = createLog('callers')

export const RETRY_AFTER_S = 1
const CALLER_BUFFER_MAX_BYTES = 8 * 1024 * 1024
const OLD_HTTP_VERSION = '1.0'
/** An event of a stream ends with a blank line, whichever line ends its upstream uses. */
const EVENT_END = /(\n\r?\n|\r\r)$/
const EVENT_END_BYTES_MAX = 3

/** A request until its response has closed. */
export interface LiveRequest {
  guard: RequestGuard
  onGone: () => void
  /** Why its body was refused. */
  refusal: BodyRefusal | undefined
}

export interface ResponseSinkOptions {
  reply: FastifyReply
  submitted: SubmittedRequest
  live: LiveRequest
  clock: Clock
  gateway: RequestGateway
  errorBodyOf: (requestId: string, customer: string | undefined, code: ResultCode) => unknown
}

/**
 * Creates the sink that relays one response. The reply must be hijacked, so that chunks are written as they arrive.
 *
 * @example
 * gateway.submit(submitted, createResponseSink({ reply, submitted, live, clock, gateway, errorBodyOf }))
 */
export const createResponseSink = ({ reply, submitted, live, clock, gateway, errorBodyOf }: ResponseSinkOptions): ResponseSink => {
  const { raw } = reply
  // Responses of HTTP/1.0 have no chunks: the whole response is held, so that its length shows whether it is complete.
  const held = reply.request.raw.httpVersion === OLD_HTTP_VERSION ? createByteBuffer() : undefined
  let heldHead: ResponseHead | undefined
  const { requestId, customer } = submitted
  let isStarted = false
  let isEnded = false
  let lastWriteMs = clock.nowMs()
  /** Last bytes of the body. */
  let tail = ''

  /** Within an event nothing can be added: it would belong to a line of the upstream, or end an event that is not whole. */
  const isBetweenEvents = () => tail === '' || EVENT_END.test(tail)

  const recordTail = (bytes: Uint8Array) => {
    tail = (tail + Buffer.from(bytes.subarray(-EVENT_END_BYTES_MAX)).toString('latin1')).slice(-EVENT_END_BYTES_MAX)
  }

  // Comments keep proxies on the caller's side from closing an idle event stream.
  const commentTimer = submitted.request.isEventStream
    ? setInterval(() => {
      if (!isStarted || isEnded || !isBetweenEvents() || clock.nowMs() - lastWriteMs < COMMENT_INTERVAL_MS) return
      raw.write(': waiting\n\n')
    }, COMMENT_INTERVAL_MS)
    : undefined

  const finish = () => {
    isEnded = true
    clearInterval(commentTimer)
  }

  const { guard } = live
  live.onGone = () => {
    if (isEnded) return
    finish()
    gateway.cancel(requestId)
  }

  const failStarted = (code: ResultCode) => {
    if (submitted.request.isEventStream && isBetweenEvents()) {
      raw.end(`event: error\ndata: ${JSON.stringify(errorBodyOf(requestId, customer, code))}\n\n`)
      return
    }
    // The status is already sent, so only closing the connection can show that the body, or an event, is incomplete.
    raw.destroy()
  }

  const start = ({ status, contentType }: ResponseHead, framing: Record<string, number> = {}) => {
    raw.writeHead(status, {
      'content-type': contentType,
      'x-request-id': requestId,
      'x-result-code': ResultCode.Ok,
      // The status is that of the upstream, which may fail a request after it has run.
      'x-outcome': describeResult(ResultCode.Ok).outcome,
      ...(submitted.request.isEventStream ? { 'cache-control': 'no-cache' } : {}),
      ...framing
    })
    isStarted = true
  }

  return {
    onHead: head => {
      if (held === undefined) start(head)
      else heldHead = head
    },
    onBody: bytes => {
      lastWriteMs = clock.nowMs()
      if (submitted.request.isEventStream) recordTail(bytes)
      if (held === undefined) guard.write(bytes)
      else {
        held.add(bytes)
        guard.holdResponse(bytes.length)
      }
      // Limits the memory that a caller holds when it stops reading its response.
      if (raw.writableLength + (held?.length ?? 0) > CALLER_BUFFER_MAX_BYTES) raw.destroy()
    },
    onComplete: () => {
      const heldBytes = held?.length ?? 0
      if (heldHead !== undefined) start(heldHead, { 'content-length': heldBytes })
      guard.releaseBody()
      guard.releaseResponse(heldBytes)
      held?.takeParts().forEach(bytes => guard.write(bytes))
      finish()
      raw.end()
    },
    onFail: code => {
      if (isEnded) return
      finish()
      log('request %s failed with code %d', requestId, code)
      if (isStarted) {
        failStarted(code)
        return
      }
      const { httpStatus, retryable, outcome } = describeResult(code)
      if (retryable) raw.setHeader('retry-after', RETRY_AFTER_S)
      raw.writeHead(httpStatus, {
        'content-type': 'application/json',
        'x-request-id': requestId,
        'x-result-code': code,
        'x-outcome': outcome
      })
      raw.end(JSON.stringify(errorBodyOf(requestId, customer, code)))
    }
  }
}
