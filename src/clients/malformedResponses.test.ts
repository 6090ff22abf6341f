import { createServer, type Server } from 'node:net'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { ResultCode } from '../core/index.js'
import { BROKEN_RESPONSES, renderResponse, type ScriptedResponse, SOUND_RESPONSES } from '../standIns/index.js'
import { createUpstreamClient } from './createUpstreamClient.js'
import type { UpstreamClient } from './types.js'

const BODY = 'answer'
const TIMEOUT_MS = 2_000
const broken = Object.entries(BROKEN_RESPONSES).flatMap(([part, responses]) => responses.map(response => [`${part}: ${response.what}`, response] as const))
const sound = SOUND_RESPONSES.map(response => [response.what, response] as const)

describe.each([['kept', false], ['closed', true]])('a response of an agent\'s upstream on a connection that is %s', (_what, isClosed) => {
  let server: Server
  let client: UpstreamClient
  let response: ScriptedResponse

  /** Sends a call to an upstream whose run lives on. */
  const run = (method: string) => new Promise<{ code: ResultCode, hasStarted: boolean, body: string }>(resolve => {
    let body = ''
    client.run({ method, path: '/stock', headers: {}, body: Buffer.from(method === 'GET' ? '' : '{}'), isEventStream: false, timeoutMs: TIMEOUT_MS }, {
      onHead: () => {},
      onBytes: bytes => { body += Buffer.from(bytes).toString('latin1') },
      onEnd: (code, hasStarted) => resolve({ code, hasStarted, body }),
      confirmEnd: async () => true
    })
  })

  beforeEach(async () => {
    server = createServer(socket => {
      socket.on('error', () => {})
      socket.on('data', () => {
        const bytes = Buffer.from(renderResponse(response, BODY, 'Content-Type: text/plain\r\n'), 'latin1')
        if (isClosed) socket.end(bytes)
        else socket.write(bytes)
      })
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    client = createUpstreamClient(`http://127.0.0.1:${(server.address() as AddressInfo).port}`)
  })
  afterEach(async () => {
    await client.close()
    server.close()
  })

  // Guards against a caller that gets a broken response as a complete one, with a body that is not the upstream's, or that
  // waits for its deadline.
  it.each(broken)('is never complete with a broken %s', async (_kind, scripted) => {
    response = scripted
    for (const method of ['GET', 'POST']) {
      const { code, hasStarted } = await run(method)
      expect([ResultCode.UpstreamDied, ResultCode.UpstreamRefused]).toContain(code)
      expect(hasStarted).toBe(true)
    }
  })

  it.each(sound)('is complete if it is only unusual: %s', async (_kind, scripted) => {
    response = scripted
    for (const method of ['GET', 'POST']) expect(await run(method)).toEqual({ code: ResultCode.Ok, hasStarted: true, body: BODY })
  })
})
