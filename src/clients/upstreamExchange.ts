import { createLog, dispatch, type HandlerTable, ResultCode } from '../core/index.js'
import {
  type ConnectionPool, ConnectionUse, type ExchangeControl, type ExchangeEvent, ExchangeEventKind, ExchangeFault, type HeaderField,
  type OutgoingRequest, ReadPause, statesEnd, UnsendableRequestError
} from '../upstreams/index.js'
import type { UpstreamCall, UpstreamCallListener } from './types.js'
import { readUpstreamNotice } from './upstreamNotice.js'

const log = createLog('upstream')

/** One call to the upstream of an agent. */
export interface UpstreamExchange {
  /** Sends the request; does nothing if the call was cancelled before. */
  start (): void
  cancel (): void
}

export interface UpstreamExchangeOptions {
  pool: ConnectionPool
  /** `host:port` of the upstream. */
  address: string
  call: UpstreamCall
  listener: UpstreamCallListener
}

/** An event stream is complete only if this is its last event; within another line it is a text of the model. */
const EVENT_STREAM_END = /[\r\n]data: \[DONE\]\s*$/
const TAIL_BYTES = 32
const DEFAULT_CONTENT_TYPE = 'application/octet-stream'
/** Requests that state the length of their body even if they have none. */
const METHODS_WITH_BODY: ReadonlySet<string> = new Set(['POST', 'PUT', 'PATCH'])

const CODE_OF_FAULT: Record<ExchangeFault, ResultCode> = {
  [ExchangeFault.NotConnected]: ResultCode.UpstreamDied,
  [ExchangeFault.ConnectionLost]: ResultCode.UpstreamDied,
  [ExchangeFault.Truncated]: ResultCode.UpstreamDied,
  [ExchangeFault.UnframedEnd]: ResultCode.UpstreamDied,
  [ExchangeFault.MalformedResponse]: ResultCode.UpstreamDied,
  [ExchangeFault.ResponseTooLarge]: ResultCode.UpstreamRefused
}

const isSuccess = (status: number) => status >= 200 && status < 300

const toRequest = ({ method, path, headers, contentType, body }: UpstreamCall, address: string): OutgoingRequest => {
  const fields: HeaderField[] = [['host', address], ...Object.entries(headers)]
  if (contentType !== undefined) fields.push(['content-type', contentType])
  if (body.length > 0 || METHODS_WITH_BODY.has(method)) fields.push(['content-length', String(body.length)])
  return { method, path, headers: fields, body }
}

/** Returns the content type of a response, with one character for each byte. */
const contentTypeOf = (fields: readonly HeaderField[]): string => {
  const values = fields.filter(([name]) => name === 'content-type').map(([, value]) => value)
  return values.length === 0 ? DEFAULT_CONTENT_TYPE : values.join(',')
}

/**
 * Creates the exchange of one call, which reads the response only as fast as its listener takes it.
 *
 * @example
 * const { start, cancel } = createUpstreamExchange({ pool, address: '127.0.0.1:7301', call, listener })
 */
export const createUpstreamExchange = ({ pool, address, call, listener }: UpstreamExchangeOptions): UpstreamExchange => {
  let control: ExchangeControl | undefined
  let timer: NodeJS.Timeout | undefined
  let isEnded = false
  /** Whether the upstream, if it succeeds, must end the response with its last event. */
  let needsLastEvent = false
  let isFramed = false
  // The first line begins like any other.
  let tail = '\n'

  const end = (code: ResultCode, hasStarted = true) => {
    if (isEnded) return
    isEnded = true
    clearTimeout(timer)
    listener.onEnd(code, hasStarted)
  }

  /** Ends the call before its response has ended. */
  const abandon = (code: ResultCode, hasStarted = true) => {
    control?.()
    end(code, hasStarted)
  }

  const restartTimer = () => {
    clearTimeout(timer)
    timer = setTimeout(() => abandon(ResultCode.DeadlineExceeded), call.timeoutMs)
  }

  const readWhen = (ready: Promise<void>) => {
    control?.setPaused(ReadPause.Caller, true)
    clearTimeout(timer)
    ready.then(() => {
      if (isEnded) return
      restartTimer()
      control?.setPaused(ReadPause.Caller, false)
    }, () => abandon(ResultCode.UpstreamDied))
  }

  const hasLastEvent = () => call.isEventStream && EVENT_STREAM_END.test(tail)

  const endUnframed = () => {
    if (hasLastEvent()) return end(ResultCode.Ok)
    if (needsLastEvent) return end(ResultCode.UpstreamDied)
    clearTimeout(timer)
    listener.confirmEnd().then(isAlive => end(isAlive ? ResultCode.Ok : ResultCode.UpstreamDied), () => end(ResultCode.UpstreamDied))
  }

  const handlers: HandlerTable<ExchangeEvent, void> = {
    [ExchangeEventKind.Head]: ({ head: { status, headers } }) => {
      restartTimer()
      needsLastEvent = call.isEventStream && isSuccess(status)
      isFramed = statesEnd(headers)
      listener.onNotice?.(readUpstreamNotice(status, headers))
      listener.onHead(status, contentTypeOf(headers))
    },
    [ExchangeEventKind.Body]: ({ bytes }) => {
      restartTimer()
      listener.onBytes(bytes)
      const ready = listener.whenReady?.()
      if (ready !== undefined) readWhen(ready)
      if (call.isEventStream) tail = (tail + Buffer.from(bytes.subarray(-TAIL_BYTES)).toString('latin1')).slice(-TAIL_BYTES)
    },
    [ExchangeEventKind.Finished]: () => end(needsLastEvent && !hasLastEvent() ? ResultCode.UpstreamDied : ResultCode.Ok),
    [ExchangeEventKind.Failed]: ({ fault, hasLeft }) => {
      if (fault === ExchangeFault.UnframedEnd) return endUnframed()
      // The last event states the end of a stream that has no other.
      const isStated = fault === ExchangeFault.ConnectionLost && !isFramed && hasLastEvent()
      return end(isStated ? ResultCode.Ok : CODE_OF_FAULT[fault], hasLeft)
    }
  }

  const onEvent = (event: ExchangeEvent) => {
    if (isEnded) return
    try {
      dispatch(handlers, event)
    } catch (error) {
      log('a part of a response could not be handled: %s', error)
      abandon(ResultCode.UpstreamDied)
    }
  }

  return {
    start: () => {
      if (isEnded) return
      restartTimer()
      try {
        control = pool.send(toRequest(call, address), ConnectionUse.Reuse, onEvent)
      } catch (error) {
        log('a request could not be sent: %s', error)
        end(ResultCode.UpstreamDied, !(error instanceof UnsendableRequestError))
      }
    },
    cancel: () => abandon(ResultCode.UpstreamDied)
  }
}
