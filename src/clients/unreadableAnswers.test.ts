import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { LogUnavailableError } from '../core/index.js'
import { OrderKind } from '../orders/index.js'
import { createLogClient } from './createLogClient.js'
import { createOrderClient } from './createOrderClient.js'
import { createRankClient } from './createRankClient.js'

describe('answers with status 200 that lack what was asked for', () => {
  let server: Server
  let url: string
  let answer: string
  let close: () => Promise<void>

  beforeEach(async () => {
    close = async () => {}
    server = createServer((_request, response) => { response.writeHead(200, { 'content-type': 'application/json' }).end(answer) })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
  })
  afterEach(async () => {
    await close()
    server.close()
  })

  const createClient = <Client extends { close (): Promise<void> }>(create: (url: string) => Client): Client => {
    const client = create(url)
    close = client.close
    return client
  }

  // Guards against a reader that takes a missing end of the log for one that it has reached, or forgets where the log begins.
  it.each([
    '{}', 'null', '{"records":[]}', '{"records":[],"firstOffset":1}', '{"records":[],"firstOffset":1,"nextOffset":null}',
    '{"records":[{"timeMs":1,"body":{}}],"firstOffset":1,"nextOffset":2}'
  ])('are no page of the log: %s', async text => {
    answer = text
    await expect(createClient(createLogClient).read('once-0', 1)).rejects.toThrow(LogUnavailableError)
  })

  it('does not hold for a page', async () => {
    const page = { records: [{ offset: 1, timeMs: 5, body: { kind: 'x' } }, { offset: 2, timeMs: 6 }], firstOffset: 1, nextOffset: 3 }
    answer = JSON.stringify(page)
    expect(await createClient(createLogClient).read('once-0', 1)).toEqual(page)
  })

  // Guards against an owner of keys that takes a record for appended, at no offset.
  it.each(['{}', 'null', '{"offset":null}', '{"offset":0}'])('are no offset of an appended record: %s', async text => {
    answer = text
    await expect(createClient(createLogClient).append('once-0', {})).rejects.toThrow(LogUnavailableError)
  })

  // Guards against an order that counts as refused for its fencing token, so that its assignment is given up for good.
  it.each(['{}', 'null', '{"accepted":null}', '{"accepted":"yes"}'])('are no answer to an order: %s', async text => {
    answer = text
    await expect(createClient(createOrderClient).order(7, { kind: OrderKind.LoadModel, model: 'm' })).rejects.toThrow()
  })

  // Guards against a step that counts as done with a load of zero, and a rank that begins at no step.
  it.each([
    '{}', 'null', '{"step":4,"durationMs":9,"tokens":[1]}', '{"step":4,"durationMs":9,"isAbandoned":false}', '{"step":4,"tokens":[1],"isAbandoned":false}',
    '{"step":4,"durationMs":9,"tokens":[null],"isAbandoned":false}'
  ])('are no result of a step: %s', async text => {
    answer = text
    const client = createClient(createRankClient)
    await expect(client.runStep(4, 'hash')).rejects.toThrow()
  })
  it.each(['{}', 'null', '{"step":null}'])('are no next step: %s', async text => {
    answer = text
    await expect(createClient(createRankClient).nextStep()).rejects.toThrow()
  })

  it('does not hold for the answers of an engine', async () => {
    const result = { step: 4, durationMs: 9.5, tokens: [1.5, 0], isAbandoned: false }
    answer = JSON.stringify(result)
    const client = createClient(createRankClient)
    expect([await client.runStep(4, 'hash'), await client.nextStep()]).toEqual([result, 4])
  })
})
