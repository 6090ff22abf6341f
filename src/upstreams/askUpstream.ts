import { type Clock, createByteBuffer } from '../core/index.js'
import { checkUpstream } from './checkUpstream.js'
import { createConnectionPool } from './connectionPool.js'
import { ASK_TIMEOUT_MS, CHECK_TIMEOUT_MS, ExchangeFault, UpstreamCheck } from './constants.js'
import type { HttpResponse } from './httpCall.js'
import { ConnectionUse, ExchangeEventKind, type HeaderField, type ResponseHeadRaw } from './types.js'

/** A question to an upstream about itself, and what its answer shows. */
export interface UpstreamQuestion {
  path: string
  headers: readonly HeaderField[]
  decode (response: HttpResponse): UpstreamCheck
}

export interface AskOptions {
  /** `ip:port` of the upstream. */
  address: string
  clock: Clock
  question: UpstreamQuestion
}

/** An answer about itself is short; what follows is not read. */
const ANSWER_BYTES_MAX = 16 * 1024

/** Returns what arrived of the response, once its end, or enough of it, is there; undefined without a head. */
const readAnswer = ({ address, clock, question: { path, headers } }: AskOptions): Promise<HttpResponse | undefined> => new Promise(resolve => {
  const pool = createConnectionPool({ address, clock, connectTimeoutMs: CHECK_TIMEOUT_MS })
  const body = createByteBuffer()
  let head: ResponseHeadRaw | undefined
  const finish = () => {
    clearTimeout(timer)
    pool.close()
    resolve(head === undefined ? undefined : { ...head, body: body.join() })
  }
  const timer = setTimeout(finish, ASK_TIMEOUT_MS)
  pool.send({ method: 'GET', path, headers: [['host', address], ...headers], body: new Uint8Array() }, ConnectionUse.Fresh, event => {
    if (event.kind === ExchangeEventKind.Head) head = event.head
    else if (event.kind === ExchangeEventKind.Body) {
      body.add(event.bytes)
      if (body.length > ANSWER_BYTES_MAX) finish()
    } else {
      // A part of an answer may lack what it says about the run.
      if (event.kind === ExchangeEventKind.Failed && event.fault !== ExchangeFault.UnframedEnd) head = undefined
      finish()
    }
  })
})

/** Without an answer, an upstream that accepts connections may have stopped, or be another one. */
const checkWithoutAnswer = (address: string): Promise<UpstreamCheck> =>
  new Promise(resolve => checkUpstream(address, check => resolve(check === UpstreamCheck.Up ? UpstreamCheck.Unknown : check)))

/**
 * Asks the process at an address about itself, on a connection of its own. Unlike `checkUpstream`, it needs an answer of that
 * process: a proxy, or the backlog of a stopped process, accepts connections as well.
 *
 * @example
 * await askUpstream({ address: '10.0.0.1:80', clock, question }) // UpstreamCheck.Up
 */
export const askUpstream = async (options: AskOptions): Promise<UpstreamCheck> => {
  const answer = await readAnswer(options)
  return answer === undefined ? checkWithoutAnswer(options.address) : options.question.decode(answer)
}
