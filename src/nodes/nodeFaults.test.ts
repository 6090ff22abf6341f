import { readFileSync } from 'node:fs'
import { connect } from 'node:net'
import { request } from 'undici'
import { v7 as createKey } from 'uuid'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { createRandom, createSystemClock, ResultCode } from '../core/index.js'
import { createCallerClient, type CallerClient } from '../demo/callerClient.js'
import { type EngineStandIn, type ServiceStandIn, startEngineStandIn, startRelayStandIn, startServiceStandIn } from '../standIns/index.js'
import type { AgentNode } from './agent/createAgentNode.js'
import { type LocalFleet, startLocalFleet } from './localFleet.js'

const CUSTOMER = 'ridgeline-hardware'
const TOKEN_INTERVAL_MS = 20
const rows = readFileSync('examples/kpakpo/rows.yaml', 'utf8')

let fleet: LocalFleet
let caller: CallerClient
beforeEach(async () => {
  fleet = await startLocalFleet()
  caller = createCallerClient({ clock: createSystemClock(), random: createRandom(1) })
  fleet.onStop(caller.close)
  await fleet.startEntry()
  await fleet.applyRows(rows)
})
afterEach(() => fleet.stop())

const entryAddress = () => fleet.entries[0]!.callerAddress
const streamBody = (tokens: number) => ({ model: 'quote-model', prompt: 'ridge 12 m', max_tokens: tokens, stream: true })
const complete = (tokens = 2) => caller.send(entryAddress(), {
  method: 'POST', path: '/v1/completions', customer: CUSTOMER, isEventStream: true, body: streamBody(tokens)
})
const lookUp = () => caller.send(entryAddress(), { method: 'GET', path: '/stock/ridge-cap', customer: CUSTOMER })
const order = (key = createKey()) => caller.send(entryAddress(), {
  method: 'POST', path: '/orders', customer: CUSTOMER, idempotencyKey: key, body: { orderId: key }
})
const countTokens = (body: string) => body.match(/"text"/g)?.length ?? 0

interface Upstream {
  engine: EngineStandIn
  agent: AgentNode
}

const startEngines = async (count: number): Promise<Upstream[]> => {
  const started: Upstream[] = []
  for (let i = 0; i < count; i++) {
    const engine = await startEngineStandIn({ tokenIntervalMs: TOKEN_INTERVAL_MS })
    fleet.onStop(engine.close)
    started.push({ engine, agent: await fleet.startAgent({ pool: 'quote-workers', upstreamUrl: engine.url }) })
  }
  await fleet.until(async () => (await complete()).isComplete && started.every(({ engine }) => engine.startedRuns > 0))
  return started
}

const startService = async (agentCount: number): Promise<ServiceStandIn> => {
  const service = await startServiceStandIn()
  fleet.onStop(service.close)
  for (let i = 0; i < agentCount; i++) await fleet.startAgent({ pool: 'yard-app', upstreamUrl: service.url })
  await fleet.until(async () => (await lookUp()).isComplete)
  return service
}

/** Starts a long stream and returns it with the engine that runs it. */
const startStream = async (started: readonly Upstream[], tokens: number) => {
  const response = complete(tokens)
  await fleet.until(() => started.some(({ engine }) => engine.runningCount > 0))
  return { response, running: started.find(({ engine }) => engine.runningCount > 0)! }
}

interface FaultCase {
  fault: string
  /** The failure that the test guards against. */
  guards: string
  check: () => Promise<void>
}

const cases: FaultCase[] = [
  {
    fault: 'a link that stops delivering data without being closed',
    guards: 'a stream that hangs or loses tokens when a middlebox drops the state of its connection',
    check: async () => {
      const relay = await startRelayStandIn()
      fleet.onStop(relay.close)
      const engine = await startEngineStandIn({ tokenIntervalMs: TOKEN_INTERVAL_MS })
      fleet.onStop(engine.close)
      const agent = await fleet.startAgent({ pool: 'quote-workers', upstreamUrl: engine.url, advertisedAddress: relay.address })
      relay.setTarget(agent.linkAddress)
      await fleet.until(async () => (await complete()).isComplete)
      const connectionsBefore = relay.connectionCount
      const { response } = await startStream([{ engine, agent }], 30)
      relay.silence()
      const { isComplete, body } = await response
      expect([isComplete, countTokens(body)]).toEqual([true, 30])
      expect(relay.connectionCount).toBeGreaterThan(connectionsBefore)
    }
  },
  {
    fault: 'an agent that is killed in mid-stream',
    guards: 'a truncated stream that looks complete',
    check: async () => {
      const started = await startEngines(1)
      const { body } = await request(`http://${entryAddress()}/v1/completions`, {
        method: 'POST', headers: { 'content-type': 'application/json', 'x-customer': CUSTOMER }, body: JSON.stringify(streamBody(200))
      })
      const pieces = body[Symbol.asyncIterator]()
      // Only after the first token has arrived is the stream in its middle.
      let text = String((await pieces.next()).value)
      await started.find(({ engine }) => engine.runningCount > 0)!.agent.stop()
      for (let piece = await pieces.next(); piece.done !== true; piece = await pieces.next()) text += String(piece.value)
      expect(text).toContain('event: error')
      expect(text).not.toContain('[DONE]')
    }
  },
  {
    fault: 'an agent that is killed while it runs lookups',
    guards: 'an idempotent request that fails although another upstream is up',
    check: async () => {
      const service = await startService(2)
      service.faults.delayMs = 300
      const lookupsBefore = service.lookupCount
      const lookups = Array.from({ length: 8 }, lookUp)
      await fleet.until(() => service.lookupCount === lookupsBefore + lookups.length)
      await fleet.agents[0]!.stop()
      const results = await Promise.all(lookups)
      expect(results.map(({ status }) => status)).toEqual(Array(lookups.length).fill(200))
      expect(service.lookupCount).toBeGreaterThan(lookupsBefore + lookups.length)
    }
  },
  {
    fault: 'a caller that disconnects',
    guards: 'an engine that keeps generating tokens for a caller that has disconnected',
    check: async () => {
      const [{ engine }] = await startEngines(1) as [Upstream]
      const abort = new AbortController()
      const response = await request(`http://${entryAddress()}/v1/completions`, {
        method: 'POST',
        headers: { 'content-type': 'application/json', 'x-customer': CUSTOMER },
        body: JSON.stringify(streamBody(5_000)),
        signal: abort.signal
      })
      response.body.on('error', () => {})
      expect(engine.runningCount).toBe(1)
      abort.abort()
      await fleet.until(() => engine.runningCount === 0)
    }
  },
  {
    fault: 'a temporary outage of the log',
    guards: 'plain requests that depend on the log, orders that are reported as not run, and orders that still fail after the outage',
    check: async () => {
      const service = await startService(1)
      await fleet.until(async () => (await order()).status === 201)
      fleet.log.faults.isUnavailable = true
      const [lookup, refused] = await Promise.all([lookUp(), order()])
      expect(lookup.isComplete).toBe(true)
      expect([refused.code, refused.outcome]).toEqual([ResultCode.LogUnavailable, 'unknown'])
      fleet.log.faults.isUnavailable = false
      const key = createKey()
      await fleet.until(async () => (await order(key)).status === 201)
      expect(service.runsByOrder.get(key)).toBe(1)
    }
  },
  {
    fault: 'an entry that drains',
    guards: 'a shutdown that interrupts an open stream or fails a caller that still uses the address',
    check: async () => {
      const { response } = await startStream(await startEngines(1), 60)
      const stopped = fleet.entries[0]!.drain()
      await new Promise(resolve => setTimeout(resolve, 500))
      expect((await complete()).isComplete).toBe(true)
      const { isComplete, body } = await response
      expect([isComplete, countTokens(body)]).toEqual([true, 60])
      await stopped
    }
  },
  {
    fault: 'an agent that drains',
    guards: 'new work on a draining upstream, and a drain that truncates the running stream',
    check: async () => {
      const started = await startEngines(2)
      const { response, running } = await startStream(started, 100)
      const stopped = running.agent.drain()
      const runsBefore = running.engine.startedRuns
      for (let i = 0; i < 10; i++) expect((await complete()).isComplete).toBe(true)
      expect(running.engine.startedRuns).toBe(runsBefore)
      const { isComplete, body } = await response
      expect([isComplete, countTokens(body)]).toEqual([true, 100])
      await stopped
    }
  },
  {
    fault: 'an engine that ends its response before the last event',
    guards: 'a truncated stream that is reported as complete',
    check: async () => {
      const [{ engine }] = await startEngines(1) as [Upstream]
      engine.faults.truncatesAfterTokens = 3
      const { isComplete, body } = await complete(10)
      expect([isComplete, countTokens(body)]).toEqual([false, 3])
      expect(body).toContain('event: error')
    }
  },
  {
    fault: 'random bytes on the link ports',
    guards: 'an unauthenticated client that can stop a process or disturb its streams',
    check: async () => {
      const started = await startEngines(1)
      const { response, running } = await startStream(started, 50)
      const random = createRandom(7)
      for (const address of [running.agent.linkAddress, fleet.entries[0]!.linkAddress]) {
        for (let i = 0; i < 20; i++) {
          const [host = '', port] = address.split(':')
          const socket = connect({ host, port: Number(port) })
          socket.on('error', () => {})
          socket.write(Buffer.from(Array.from({ length: random.int(1, 64) }, () => random.int(0, 255))))
          fleet.onStop(() => socket.destroy())
        }
      }
      const { isComplete, body } = await response
      expect([isComplete, countTokens(body)]).toEqual([true, 50])
      expect((await complete()).isComplete).toBe(true)
    }
  }
]

describe('faults on real sockets', () => {
  for (const { fault, guards, check } of cases) it(`${fault}: guards against ${guards}`, check)
})
