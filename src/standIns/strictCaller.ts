import { connect } from 'node:net'
import { parseWireResponse } from './wireResponse.js'

/** What a caller that reads strictly makes of the answer to its request. */
export enum AnswerVerdict {
  /** A success that has ended as its framing states, or with its connection where it has none. */
  Complete = 'complete',
  /** A success that has not ended, or no answer at all. */
  BrokenOff = 'broken-off',
  /** A status that is no success. */
  Refused = 'refused'
}

export interface StrictAnswer {
  verdict: AnswerVerdict
  status: number
  headers: Record<string, string>
  body: string
}

export interface StrictCall {
  /** `ip:port` of an entry. */
  address: string
  method?: string
  path: string
  headers?: Record<string, string>
  body?: Uint8Array
  /** Time before the caller begins to read. */
  readDelayMs?: number
  /** Time after which the answer counts as broken off. */
  timeoutMs: number
}

const isSuccess = (status: number) => status >= 200 && status < 300

/**
 * Sends one request and reads the bytes of its answer by hand, as a library may not tell its caller how an answer has ended.
 *
 * @example
 * const { verdict, body } = await callStrictly({ address: entry.frontAddress, path: '/look/x', timeoutMs: 2_000 })
 */
export const callStrictly = (
  { address, method = 'GET', path, headers = {}, body = new Uint8Array(), readDelayMs = 0, timeoutMs }: StrictCall
): Promise<StrictAnswer> => new Promise(resolve => {
  const [host = '', port] = address.split(':')
  const socket = connect({ host, port: Number(port), noDelay: true })
  let text = ''

  const finish = (hasEnded: boolean) => {
    clearTimeout(timer)
    socket.destroy()
    const { status, headers: received, body: receivedBody, isWhole, isUnframed } =
      parseWireResponse(text) ?? { status: 0, headers: {}, body: '', isWhole: false, isUnframed: false }
    const isComplete = isSuccess(status) && (isWhole || (isUnframed && hasEnded))
    const verdictOfBroken = status === 0 || isSuccess(status) ? AnswerVerdict.BrokenOff : AnswerVerdict.Refused
    resolve({ verdict: isComplete ? AnswerVerdict.Complete : verdictOfBroken, status, headers: received, body: receivedBody })
  }
  const timer = setTimeout(() => finish(false), timeoutMs)
  socket.on('data', bytes => {
    text += bytes.toString('latin1')
    if (parseWireResponse(text)?.isWhole === true) finish(true)
  })
  socket.on('error', () => finish(false))
  socket.on('end', () => finish(socket.remoteAddress !== undefined))
  socket.on('close', () => finish(false))
  socket.pause()
  setTimeout(() => socket.resume(), readDelayMs)

  const length = body.length === 0 && method === 'GET' ? {} : { 'content-length': String(body.length) }
  const lines = Object.entries({ host: 'site.example', ...headers, ...length }).map(([name, value]) => `${name}: ${value}\r\n`)
  socket.write(Buffer.from(`${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n`, 'latin1'))
  socket.write(body)
})
