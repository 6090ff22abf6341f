import { readFileSync } from 'node:fs'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { request } from 'undici'
import { startEngineStandIn, startServiceStandIn } from '../standIns/index.js'
import { startLocalFleet, type LocalFleet } from './localFleet.js'

const rows = readFileSync('examples/kpakpo/rows.yaml', 'utf8')

let fleet: LocalFleet
beforeEach(async () => { fleet = await startLocalFleet() })
afterEach(() => fleet.stop())

const complete = async (entryAddress: string, prompt = 'ridge 12 m') => {
  const response = await request(`http://${entryAddress}/v1/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'x-customer': 'ama-roofing' },
    body: JSON.stringify({ model: 'quote-model', prompt, max_tokens: 5, stream: true })
  })
  return { status: response.statusCode, text: await response.body.text() }
}

describe('whole path', () => {
  it('streams a whole response from an engine through agent and entry', async () => {
    const engine = await startEngineStandIn({ tokenIntervalMs: 2 })
    fleet.onStop(engine.close)
    const entry = await fleet.startEntry()
    await fleet.startAgent({ pool: 'quote-workers', upstreamUrl: engine.url })
    await fleet.applyRows(rows)
    await fleet.until(async () => (await complete(entry.callerAddress)).status === 200)
    const { text } = await complete(entry.callerAddress)
    expect(text.match(/^data: /gm)).toHaveLength(6)
    expect(text.trimEnd().endsWith('data: [DONE]')).toBe(true)
  })

  it('starts a second entry from its peer while the log is out', async () => {
    const service = await startServiceStandIn()
    fleet.onStop(service.close)
    const first = await fleet.startEntry()
    await fleet.applyRows(rows)
    const stockStatus = async (address: string) =>
      (await request(`http://${address}/stock/ridge-cap`, { headers: { 'x-customer': 'ama-roofing' } })).statusCode
    await fleet.startAgent({ pool: 'yard-app', upstreamUrl: service.url })
    await fleet.until(async () => await stockStatus(first.callerAddress) === 200)
    fleet.log.faults.isOut = true
    const second = await fleet.startEntry()
    await fleet.startAgent({ pool: 'yard-app', upstreamUrl: service.url })
    await fleet.until(async () => await stockStatus(second.callerAddress) === 200)
  })
})
