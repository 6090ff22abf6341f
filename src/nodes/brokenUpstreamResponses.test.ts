import { readFileSync } from 'node:fs'
import { connect } from 'node:net'
import { request } from 'undici'
import { v7 as createKey } from 'uuid'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { type RawScript, type RawServiceStandIn, startRawServiceStandIn } from '../standIns/index.js'
import { type LocalFleet, startLocalFleet } from './localFleet.js'

const rows = readFileSync('examples/kpakpo/rows.yaml', 'utf8')
/** Shorter than the deadlines of the routes, so that no response comes from there. */
const ANSWER_MAX_MS = 2_000
/** Time within which an agent gives up on an upstream that accepts connections and answers nothing. */
const SILENCE_MAX_MS = 8_000

const respond = (statusLine: string, contentType: string, body = 'answer'): RawScript => socket => {
  socket.write(Buffer.from(`${statusLine}\r\nContent-Type: ${contentType}\r\nContent-Length: ${body.length}\r\n\r\n${body}`, 'latin1'))
}
const inUtf8 = (text: string) => Buffer.from(text, 'utf8').toString('latin1')
const OK = 'HTTP/1.1 200 OK'

describe('responses of an upstream behind an agent', () => {
  let fleet: LocalFleet
  let service: RawServiceStandIn

  const send = async (path: string, options: { method?: 'POST', headers?: Record<string, string>, body?: string, answerMaxMs?: number } = {}) => {
    const { headers, statusCode, body } = await request(`http://${fleet.entries[0]!.callerAddress}${path}`, {
      method: options.method ?? 'GET',
      headers: { 'x-customer': 'ridgeline-hardware', 'content-type': 'application/json', ...options.headers },
      body: options.body ?? null,
      headersTimeout: options.answerMaxMs ?? ANSWER_MAX_MS
    })
    const text = await body.text().catch(() => 'broken off')
    return { status: statusCode, code: Number(headers['x-result-code']), outcome: headers['x-outcome'], type: headers['content-type'], text }
  }
  const look = () => send('/stock/ridge-cap')
  const order = (answerMaxMs?: number) =>
    send('/orders', { method: 'POST', headers: { 'idempotency-key': createKey() }, body: '{}', ...(answerMaxMs === undefined ? {} : { answerMaxMs }) })

  beforeEach(async () => {
    fleet = await startLocalFleet()
    service = await startRawServiceStandIn(respond(OK, 'text/plain'))
    fleet.onStop(service.close)
    await fleet.startEntry()
    await fleet.applyRows(rows)
    await fleet.startAgent({ pool: 'yard-app', upstreamUrl: service.url })
    await fleet.until(async () => (await look()).status === 200 && (await order()).status === 200)
  })
  afterEach(() => fleet.stop())

  // Guards against a caller that never gets an answer: its entry could not write the head.
  it.each([
    ['a control byte in a value', OK, 'text/plain; area=1\x12'],
    ['a status that is none', 'HTTP/1.1 099 X', 'text/plain'],
    ['a status of zeros', 'HTTP/1.1 000 X', 'text/plain'],
    ['a status just above all others', 'HTTP/1.1 600 X', 'text/plain'],
    ['a status above all others', 'HTTP/1.1 700 X', 'text/plain'],
    ['the largest status of three digits', 'HTTP/1.1 999 X', 'text/plain'],
    ['a status of four digits', 'HTTP/1.1 2000 X', 'text/plain'],
    ['a status of zeros after an interim response', 'HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 000 X', 'text/plain']
  ])('are failures if the head is broken: %s', async (_what, statusLine, contentType) => {
    service.script = respond(statusLine, contentType)
    for (const call of [look, order]) expect(await call()).toMatchObject({ status: 502, outcome: 'unknown' })
  })

  // Guards against a caller that repeats an order because of a status that the service chose after it had run the order.
  it('say that the call has run, whatever status the upstream chose', async () => {
    for (const status of [408, 421, 429, 503]) {
      service.script = respond(`HTTP/1.1 ${status} X`, 'text/plain')
      expect(await order()).toMatchObject({ status, outcome: 'ran', text: 'answer' })
    }
  })

  const UNFRAMED_HEAD = `${OK}\r\nContent-Type: text/plain\r\n\r\n`

  // Guards against a response that broke off and is passed on as complete: without framing, the connection of a crashed
  // upstream ends like that of a complete response.
  it('are complete without framing only if their upstream is up at their end', async () => {
    service.script = socket => { socket.end(`${UNFRAMED_HEAD}answer`) }
    for (const call of [look, order]) expect(await call()).toMatchObject({ status: 200, text: 'answer' })
    service.script = socket => { socket.write(`${UNFRAMED_HEAD}ans`, () => service.crash()) }
    expect(await order()).toMatchObject({ status: 502, outcome: 'unknown' })
  })

  // Guards against a response that broke off and is passed on as complete, because a process that was started again accepts
  // connections at the same address.
  it.each(['order', 'look'] as const)('are not complete without framing if their upstream has restarted at their end: %s', async name => {
    service.script = socket => { socket.write(`${UNFRAMED_HEAD}ans`, () => service.restart()) }
    expect(await { order, look }[name]()).toMatchObject({ status: 502, outcome: 'unknown' })
  })

  // Guards against a response that broke off and is passed on as complete, because something accepts connections for an
  // upstream that no longer answers.
  it('are not complete without framing if nobody answers for their upstream at their end', async () => {
    service.script = socket => {
      service.isLoadSilent = true
      socket.end(`${UNFRAMED_HEAD}ans`)
    }
    expect(await order(SILENCE_MAX_MS)).toMatchObject({ status: 502, outcome: 'unknown' })
  }, 2 * SILENCE_MAX_MS)

  it('have a length for a caller of HTTP/1.0, who cannot tell the end of a connection from that of a response', async () => {
    const [host = '', port] = fleet.entries[0]!.callerAddress.split(':')
    const text = await new Promise<string>((resolve, reject) => {
      let received = ''
      const caller = connect(Number(port), host)
      caller.on('data', bytes => { received += bytes.toString('latin1') })
      caller.on('close', () => resolve(received))
      caller.on('error', reject)
      caller.write('GET /stock/ridge-cap HTTP/1.0\r\nHost: x\r\nX-Customer: ridgeline-hardware\r\n\r\n')
    })
    expect(text).toMatch(/^HTTP\/1\.1 200 .*content-length: 6\r\n.*\r\n\r\nanswer$/is)
  })

  it('are passed on byte for byte if a value holds UTF-8', async () => {
    service.script = respond(OK, `text/plain; area=${inUtf8('Porsáŋgu')}`)
    for (const call of [look, order]) expect(await call()).toMatchObject({ status: 200, type: `text/plain; area=${inUtf8('Porsáŋgu')}`, text: 'answer' })
  })
})
