import { readFileSync } from 'node:fs'
import { v7 as createKey } from 'uuid'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import {
  AnswerVerdict, callStrictly, ConnectionCut, type CutResponse, type RawServiceStandIn, readUpload, sendCutResponse, startRawServiceStandIn, UploadReading
} from '../standIns/index.js'
import { type LocalFleet, startLocalFleet } from './localFleet.js'

const UPLOAD_BYTES_MAX = 950_000
const rows = readFileSync('examples/kpakpo/rows.yaml', 'utf8').replace('name: orders\n', `name: orders\nrequestBytesMax: ${UPLOAD_BYTES_MAX}\n`)
/** Shorter than the deadline of the route, so that no response comes from there. */
const ANSWER_MAX_MS = 3_000
const UPLOADS_BYTES = [1, 900_000]
const DELAYS_MS = [0, 20]
const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n'
const HEAD_END = '\r\n\r\n'
const WHOLE: Omit<CutResponse, 'delayMs'> = { part: `${HEAD}Content-Length: 6\r\nConnection: close\r\n\r\nanswer`, cut: ConnectionCut.End }

describe('a response of an upstream behind an agent, while its request is written', () => {
  let fleet: LocalFleet
  let service: RawServiceStandIn
  let customers = 0

  const order = (uploadBytes: number) => callStrictly({
    address: fleet.entries[0]!.callerAddress,
    method: 'POST',
    path: '/orders',
    // A customer of its own for each call, as the limits of one are low.
    headers: { 'x-customer': `customer-${customers++}`, 'content-type': 'application/octet-stream', 'idempotency-key': createKey() },
    body: Buffer.alloc(uploadBytes),
    timeoutMs: ANSWER_MAX_MS
  })

  const respondWith = (response: CutResponse, reading: UploadReading, uploadBytes: number) => {
    service.script = (socket, _line, received = '') => {
      const bodyBytes = received.length - received.indexOf(HEAD_END) - HEAD_END.length
      readUpload(socket, reading, uploadBytes - bodyBytes, () => sendCutResponse(socket, response))
    }
  }

  beforeEach(async () => {
    fleet = await startLocalFleet()
    service = await startRawServiceStandIn(socket => { socket.write(WHOLE.part) })
    fleet.onStop(service.close)
    await fleet.startEntry()
    await fleet.applyRows(rows)
    await fleet.startAgent({ pool: 'yard-app', upstreamUrl: service.url })
    await fleet.until(async () => (await order(1)).status === 200)
  })
  afterEach(() => fleet.stop())

  const READINGS = Object.values(UploadReading)
  const LOSSES = [ConnectionCut.Reset, ConnectionCut.EndThenReset].flatMap(cut => READINGS.map(reading => [cut, reading] as const))

  // Guards against a part of a body that the caller gets as a whole one: a library takes a reset behind a head without framing
  // for the end of the body, and the run of the upstream lives.
  it.each(LOSSES)('is never complete if its connection ends with %s, and reading is %s', async (cut, reading) => {
    for (const uploadBytes of UPLOADS_BYTES) {
      for (const delayMs of DELAYS_MS) {
        respondWith({ cut, delayMs, part: `${HEAD}\r\nans` }, reading, uploadBytes)
        expect({ uploadBytes, delayMs, ...await order(uploadBytes) }).toMatchObject({ verdict: AnswerVerdict.Refused, status: 502, headers: { 'x-outcome': 'unknown' } })
      }
    }
  })

  it('is complete without framing if its connection ends after the request has been read', async () => {
    for (const uploadBytes of UPLOADS_BYTES) {
      for (const delayMs of DELAYS_MS) {
        respondWith({ cut: ConnectionCut.End, delayMs, part: `${HEAD}\r\nanswer` }, UploadReading.Finished, uploadBytes)
        expect(await order(uploadBytes)).toMatchObject({ verdict: AnswerVerdict.Complete, status: 200, body: 'answer' })
      }
    }
  })

  it.each(READINGS)('is complete with a length before the request is through, if reading is %s', async reading => {
    for (const uploadBytes of UPLOADS_BYTES) {
      respondWith({ ...WHOLE, delayMs: 20 }, reading, uploadBytes)
      expect(await order(uploadBytes)).toMatchObject({ verdict: AnswerVerdict.Complete, status: 200, body: 'answer' })
    }
  })
})
