import { afterEach, expect, it } from 'vitest'
import { request } from 'undici'
import { createIncarnation, createRandom, createSystemClock } from '../core/index.js'
import { Priority, RepeatPolicy, type RouteRow, RowKind } from '../configuration/index.js'
import { startEngineStandIn } from '../standIns/index.js'
import { startAgentNode } from './agent/createAgentNode.js'
import { startEntryNode } from './entry/createEntryNode.js'
import { agentSettingsSchema, entrySettingsSchema } from './settings.js'

const cleanups: (() => Promise<unknown>)[] = []
afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup()
})

const fleetKeys = [{ keyId: 'k1', secret: 'a-secret-of-the-fleet' }]
const route: RouteRow = {
  kind: RowKind.Route,
  name: 'quotes',
  match: { pathPrefix: '/v1/completions' },
  pool: 'quote-workers',
  repeat: RepeatPolicy.Idempotent,
  priority: Priority.Interactive,
  deadlineMs: 5_000,
  requestBytesMax: 100_000,
  customerLimit: { requestsPerS: 10, concurrentMax: 10, burstRequests: 10 },
  customerOverrides: {}
}

it('streams a whole response from an engine through agent and entry', async () => {
  const clock = createSystemClock()
  const random = createRandom(1)
  const engine = await startEngineStandIn({ tokenIntervalMs: 2 })
  cleanups.push(engine.close)
  const entry = await startEntryNode({
    clock,
    incarnation: createIncarnation(random),
    findRoute: () => route,
    settings: entrySettingsSchema.parse({
      nodeId: 'entry-1',
      failureDomain: 'tema-a',
      region: 'greater-accra',
      linkAddress: '127.0.0.1:0',
      callerAddress: '127.0.0.1:0',
      entries: ['127.0.0.1:1'],
      fleetKeys,
      logUrl: 'http://127.0.0.1:1'
    })
  })
  cleanups.push(entry.stop)
  const agent = await startAgentNode({
    clock,
    incarnation: createIncarnation(random),
    settings: agentSettingsSchema.parse({
      nodeId: 'agent-1',
      failureDomain: 'tema-a',
      region: 'greater-accra',
      linkAddress: '127.0.0.1:0',
      entries: [entry.linkAddress],
      fleetKeys,
      pool: 'quote-workers',
      upstreamUrl: engine.url
    })
  })
  cleanups.push(agent.stop)

  let text = ''
  for (let attempt = 0; attempt < 50 && !text.includes('[DONE]'); attempt++) {
    const response = await request(`http://${entry.callerAddress}/v1/completions`, {
      method: 'POST',
      headers: { 'content-type': 'application/json', 'x-customer': 'ama-roofing' },
      body: JSON.stringify({ model: 'quote-model', prompt: 'ridge 12 m', max_tokens: 5, stream: true })
    })
    text = await response.body.text()
    if (response.statusCode !== 200) await new Promise(resolve => setTimeout(resolve, 100))
  }
  expect(text.match(/^data: /gm)).toHaveLength(6)
  expect(text.trimEnd().endsWith('data: [DONE]')).toBe(true)
})
