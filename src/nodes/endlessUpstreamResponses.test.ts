import { readFileSync } from 'node:fs'
import { request } from 'undici'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { type RawScript, type RawServiceStandIn, startRawServiceStandIn } from '../standIns/index.js'
import { type LocalFleet, startLocalFleet } from './localFleet.js'

const rows = readFileSync('examples/kpakpo/rows.yaml', 'utf8')
const FLOODS = 4
const SOUND_REQUESTS = 20
const PIECE_BYTES = 32_000
/** Later than the deadline of the route. */
const ANSWER_MAX_MS = 6_000

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n'
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`
const filled = (text: string) => text.repeat(Math.ceil(PIECE_BYTES / text.length))

/** Beginning of a response, and what follows without end. */
const ENDLESS: [what: string, start: string, piece: string][] = [
  ['a body in chunks of one byte', CHUNKED, filled('1\r\nx\r\n')],
  ['a body in large chunks', CHUNKED, `${PIECE_BYTES.toString(16)}\r\n${'x'.repeat(PIECE_BYTES)}\r\n`],
  ['a body without a length', `${HEAD}\r\n`, 'x'.repeat(PIECE_BYTES)],
  ['headers', HEAD, filled('X-Filler: 1\r\n')],
  ['a status line', 'HTTP/1.1 200 ', 'x'.repeat(PIECE_BYTES)],
  ['interim responses', '', filled('HTTP/1.1 102 Processing\r\n\r\n')],
  ['a chunk extension', `${CHUNKED}5;name=`, 'x'.repeat(PIECE_BYTES)],
  ['trailers', `${CHUNKED}0\r\n`, filled('X-Filler: 1\r\n')]
]

const serveEndlessly = (start: string, piece: string): RawScript => socket => {
  const write = () => {
    while (!socket.destroyed) if (!socket.write(piece, 'latin1')) return
  }
  socket.on('drain', write)
  socket.write(start)
  write()
}

const answer: RawScript = socket => { socket.write(`${HEAD}Content-Length: 6\r\n\r\nanswer`) }

describe('an agent beside responses of its upstream that have no end', () => {
  let fleet: LocalFleet
  let service: RawServiceStandIn

  const look = async (path: string) => {
    const { statusCode, headers, body } = await request(`http://${fleet.entries[0]!.callerAddress}${path}`, {
      headers: { 'x-customer': 'ridgeline-hardware' }, headersTimeout: ANSWER_MAX_MS, bodyTimeout: ANSWER_MAX_MS
    })
    return { status: statusCode, outcome: headers['x-outcome'], text: await body.text().catch(() => 'broken off') }
  }

  beforeEach(async () => {
    fleet = await startLocalFleet()
    service = await startRawServiceStandIn(answer)
    fleet.onStop(service.close)
    await fleet.startEntry()
    await fleet.applyRows(rows)
    await fleet.startAgent({ pool: 'yard-app', upstreamUrl: service.url })
    await fleet.until(async () => (await look('/stock/ridge-cap')).status === 200)
  })
  afterEach(() => fleet.stop())

  // Guards against an upstream that keeps the responses of others from their callers, or looks complete although it never ends.
  it.each(ENDLESS)('serves other requests whole or not at all, and ends the endless ones as failed: %s', async (_what, start, piece) => {
    service.script = (socket, line) => (line.includes('/flood') ? serveEndlessly(start, piece) : answer)(socket, line)
    const floods = Promise.all(Array.from({ length: FLOODS }, () => look('/stock/flood')))
    const answers = []
    for (let at = 0; at < SOUND_REQUESTS; at++) answers.push(await look('/stock/ridge-cap'))
    // The admission refuses requests while the upstream is slow.
    for (const { status, outcome, text } of answers) expect(status === 200 ? text : outcome).toBe(status === 200 ? 'answer' : 'not-run')
    expect(answers.filter(({ status }) => status === 200).length).toBeGreaterThan(0)
    for (const { status, text } of await floods) expect(status >= 500 || text === 'broken off').toBe(true)
    await fleet.until(async () => (await look('/stock/ridge-cap')).text === 'answer')
  })
})
