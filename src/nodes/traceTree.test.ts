import { readFileSync } from 'node:fs'
import { request } from 'undici'
import { v7 as createKey } from 'uuid'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { SpanName } from '../observe/index.js'
import { type CollectedSpan, startCollectorStandIn, startEngineStandIn, startRelayStandIn, startServiceStandIn } from '../standIns/index.js'
import { type LocalFleet, startLocalFleet } from './localFleet.js'

const TRACE_ID = '0af7651916cd43dd8448eb211c80319c'
const CALLER_SPAN_ID = 'b7ad6b7169203331'
const TRACEPARENT = `00-${TRACE_ID}-${CALLER_SPAN_ID}-01`
const HEADERS = { 'content-type': 'application/json', 'x-customer': 'ridgeline-hardware' }

let fleet: LocalFleet
let collector: Awaited<ReturnType<typeof startCollectorStandIn>>
let traces: { otlpUrl: string }
beforeEach(async () => {
  fleet = await startLocalFleet()
  collector = await startCollectorStandIn()
  fleet.onStop(collector.close)
  traces = { otlpUrl: `${collector.url}/v1/traces` }
  await fleet.applyRows(readFileSync('examples/kpakpo/rows.yaml', 'utf8'))
})
afterEach(() => fleet.stop())

const complete = async (address: string, headers: Record<string, string> = {}, tokens = 3) => {
  const response = await request(`http://${address}/v1/completions`, {
    method: 'POST',
    headers: { ...HEADERS, ...headers },
    body: JSON.stringify({ model: 'quote-model', prompt: 'ridge 12 m', max_tokens: tokens, stream: true })
  })
  const text = await response.body.text()
  return response.statusCode === 200 && text.endsWith('data: [DONE]\n\n')
}

const order = async (address: string, headers: Record<string, string> = {}) => {
  const key = createKey()
  const response = await request(`http://${address}/orders`, {
    method: 'POST', headers: { ...HEADERS, 'idempotency-key': key, ...headers }, body: JSON.stringify({ orderId: key })
  })
  await response.body.dump()
  return response.statusCode === 201
}

const spansOf = (name: SpanName): CollectedSpan[] =>
  collector.spans.filter(span => span.traceId === TRACE_ID && span.name === name)

/** Waits until the collector has received this many spans of a name, and returns them. */
const waitForSpans = async (name: SpanName, count = 1): Promise<CollectedSpan[]> => {
  await fleet.until(() => spansOf(name).length >= count)
  return spansOf(name)
}

/** The parent of every span must be in the trace; a missing parent splits the tree. */
const expectCompleteTree = () => {
  const spans = collector.spans.filter(({ traceId }) => traceId === TRACE_ID)
  const ids = new Set([CALLER_SPAN_ID, ...spans.map(({ spanId }) => spanId)])
  expect(spans.filter(({ parentSpanId }) => !ids.has(parentSpanId ?? ''))).toEqual([])
}

describe('trace tree', () => {
  it('links every hop of a stream to the span of its caller', async () => {
    const engine = await startEngineStandIn({ tokenIntervalMs: 2 })
    fleet.onStop(engine.close)
    const entry = await fleet.startEntry({ traces })
    await fleet.startAgent({ pool: 'quote-workers', upstreamUrl: engine.url, traces })
    await fleet.until(() => complete(entry.callerAddress))
    expect(await complete(entry.callerAddress, { traceparent: TRACEPARENT })).toBe(true)
    const [entrySpan] = await waitForSpans(SpanName.Entry)
    const [attempt] = await waitForSpans(SpanName.Attempt)
    const [agentSpan] = await waitForSpans(SpanName.Agent)
    const [engineSpan] = await waitForSpans(SpanName.Engine)
    expect([entrySpan, attempt, agentSpan, engineSpan].map(span => span?.parentSpanId))
      .toEqual([CALLER_SPAN_ID, entrySpan?.spanId, attempt?.spanId, agentSpan?.spanId])
    expect(engine.lastTraceparent).toBe(`00-${TRACE_ID}-${engineSpan?.spanId}-01`)
  })

  it('shows a retry as a second attempt of the same request', async () => {
    const engines = [await startEngineStandIn({ tokenIntervalMs: 2 }), await startEngineStandIn({ tokenIntervalMs: 2 })]
    for (const { close } of engines) fleet.onStop(close)
    const entry = await fleet.startEntry({ traces })
    for (const { url } of engines) await fleet.startAgent({ pool: 'quote-workers', upstreamUrl: url, traces })
    await fleet.until(async () => await complete(entry.callerAddress) && engines.every(({ startedRuns }) => startedRuns > 0))
    // Both engines drop one run, so the first attempt and its retry fail whichever engine is chosen first.
    for (const { faults } of engines) faults.runsToDrop = 1
    expect(await complete(entry.callerAddress, { traceparent: TRACEPARENT })).toBe(false)
    const [entrySpan] = await waitForSpans(SpanName.Entry)
    expect((await waitForSpans(SpanName.Attempt, 2)).map(({ parentSpanId }) => parentSpanId)).toEqual([entrySpan?.spanId, entrySpan?.spanId])
    await waitForSpans(SpanName.Engine, 2)
    expectCompleteTree()
  })

  it('shows a resume over a new link as an event of the attempt', async () => {
    const engine = await startEngineStandIn({ tokenIntervalMs: 20 })
    fleet.onStop(engine.close)
    const relay = await startRelayStandIn()
    fleet.onStop(relay.close)
    const entry = await fleet.startEntry({ traces })
    const agent = await fleet.startAgent({ pool: 'quote-workers', upstreamUrl: engine.url, traces, advertisedAddress: relay.address })
    relay.setTarget(agent.linkAddress)
    await fleet.until(() => complete(entry.callerAddress))
    const streaming = complete(entry.callerAddress, { traceparent: TRACEPARENT }, 20)
    await fleet.until(() => engine.runningCount > 0)
    relay.silence()
    expect(await streaming).toBe(true)
    const [attempt] = await waitForSpans(SpanName.Attempt)
    expect(attempt?.events?.map(({ name }) => name)).toEqual(['resume'])
  })

  it('shows the binding of an order under the span of its request', async () => {
    const service = await startServiceStandIn()
    fleet.onStop(service.close)
    const entries = [await fleet.startEntry({ traces }), await fleet.startEntry({ traces })]
    await fleet.startAgent({ pool: 'yard-app', upstreamUrl: service.url, traces })
    for (const { callerAddress } of entries) await fleet.until(() => order(callerAddress))
    expect(await order(entries[0]!.callerAddress, { traceparent: TRACEPARENT })).toBe(true)
    const [entrySpan] = await waitForSpans(SpanName.Entry)
    const [owner] = await waitForSpans(SpanName.Owner)
    expect(owner?.parentSpanId).toBe(entrySpan?.spanId)
    await waitForSpans(SpanName.Agent)
    await waitForSpans(SpanName.Engine)
    expectCompleteTree()
  })
})
