import { createServer, type Server } from 'node:net'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { BROKEN_RESPONSES, renderResponse, type ScriptedResponse, SOUND_RESPONSES } from '../standIns/index.js'
import { fetchWeights } from './createRankClient.js'
import { createUpstreamClient } from './createUpstreamClient.js'

const LOAD = JSON.stringify({ sequence: 7, madeAtMs: 1.5, queuedTokens: 0, runningRequests: 2, tokensPerS: 10 })
const broken = Object.entries(BROKEN_RESPONSES).flatMap(([part, responses]) => responses.map(response => [`${part}: ${response.what}`, response] as const))

describe('a question of an agent', () => {
  let server: Server
  let url: string
  let response: ScriptedResponse

  beforeEach(async () => {
    server = createServer(socket => {
      socket.on('error', () => {})
      socket.on('data', () => socket.end(Buffer.from(renderResponse(response, LOAD, 'Content-Type: application/json\r\n'), 'latin1')))
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
  })
  afterEach(() => { server.close() })

  it('is answered by a sound response', async () => {
    response = SOUND_RESPONSES[0]!
    const client = createUpstreamClient(url)
    expect(await client.load()).toMatchObject(JSON.parse(LOAD))
    await client.close()
    await expect(fetchWeights(url, 'group-0', LOAD.length)).resolves.toBeUndefined()
  })

  // Guards against a load, or another answer in JSON, that nobody has given.
  it.each(broken)('for the load gets no answer from a broken %s', async (_what, scripted) => {
    response = scripted
    const client = createUpstreamClient(url)
    await expect(client.load()).rejects.toThrow()
    await client.close()
  })

  // Guards against an expert that counts as loaded, with weights that are not those of the store.
  it.each(broken)('for weights gets none from a broken %s', async (_what, scripted) => {
    response = scripted
    await expect(fetchWeights(url, 'group-0', LOAD.length)).rejects.toThrow()
  })
})
