import { BaobabdriftError, type Clock, createByteBuffer, ResultCode } from '../core/index.js'
import { type ConnectionPool, createConnectionPool } from './connectionPool.js'
import { ConnectionUse, ExchangeEventKind, type HeaderField } from './types.js'

export interface HttpResponse {
  status: number
  headers: readonly HeaderField[]
  body: Buffer
}

/** A call got no complete response within its timeout: its connection may have fallen silent. */
export class NoResponseError extends BaobabdriftError {
  constructor (timeoutMs: number) {
    super(ResultCode.DeadlineExceeded, `no response within ${timeoutMs} ms`)
  }
}

export interface HttpCall {
  /** Rejects if there is no complete response; with NoResponseError if there is none within the timeout. */
  answer: Promise<HttpResponse>
  /** Aborts the call and closes its connection; `answer` rejects. */
  abort (): void
}

export interface HttpCallRequest {
  method: 'GET' | 'POST'
  path: string
  headers?: readonly HeaderField[]
  body?: Uint8Array
  timeoutMs: number
  /** Any idle connection unless stated otherwise. */
  use?: ConnectionUse
}

/** Sends requests to one address and buffers each response completely. */
export interface HttpCaller {
  call (request: HttpCallRequest): HttpCall
}

/**
 * Creates a caller for one address.
 *
 * @example
 * const { status, body } = await createHttpCaller({ address, clock }).call({ method: 'GET', path: '/v1/report', timeoutMs: 500 }).answer
 */
export const createHttpCaller = (
  { address, clock, connectTimeoutMs }: { address: string, clock: Clock, connectTimeoutMs: number }
): HttpCaller => {
  const pool: ConnectionPool = createConnectionPool({ address, clock, connectTimeoutMs })

  const call = ({ method, path, headers = [], body = new Uint8Array(), timeoutMs, use = ConnectionUse.Reuse }: HttpCallRequest): HttpCall => {
    const length: HeaderField[] = method === 'POST' ? [['content-length', String(body.length)]] : []
    let abort = () => {}
    const answer = new Promise<HttpResponse>((resolve, reject) => {
      const received = createByteBuffer()
      let status = 0
      let responseHeaders: readonly HeaderField[] = []
      const cancel = pool.send({ method, path, headers: [['host', address], ...headers, ...length], body }, use, event => {
        if (event.kind === ExchangeEventKind.Head) {
          status = event.head.status
          responseHeaders = event.head.headers
        } else if (event.kind === ExchangeEventKind.Body) received.add(event.bytes)
        else {
          clearTimeout(timer)
          if (event.kind === ExchangeEventKind.Finished) resolve({ status, headers: responseHeaders, body: received.join() })
          else reject(new Error(event.fault))
        }
      })
      const stop = (reason: Error) => {
        clearTimeout(timer)
        cancel()
        reject(reason)
      }
      const timer = setTimeout(() => {
        // What silenced one connection may have silenced the others to the same address.
        pool.discardIdle()
        stop(new NoResponseError(timeoutMs))
      }, timeoutMs)
      abort = () => stop(new Error('aborted'))
    })
    return { answer, abort: () => abort() }
  }

  return { call }
}
