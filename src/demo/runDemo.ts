import { readFileSync } from 'node:fs'
import { createRandom, createSystemClock } from '../core/index.js'
import { startLocalFleet, type LocalFleet } from '../nodes/localFleet.js'
import {
  type EngineStandIn, type ServiceStandIn, startEngineStandIn, startHostListStandIn, startServiceStandIn, startWeightStoreStandIn
} from '../standIns/index.js'
import { createCallerClient, type CallerClient } from './callerClient.js'
import { type BrokenPromises, formatPromises, formatTraffic, isAnyBroken } from './summary.js'
import { createTraffic, type Sent, sendAsAdvised, TrafficKind } from './traffic.js'

const ENTRIES = 3
const MODEL_REQUESTS = 120
const LOOKUPS = 60
const ORDERS = 40
const TRAFFIC_SPACING_MS = 30
const ROW_FILES = ['../../../examples/kpakpo/rows.yaml', '../../../examples/fellesly/rows.yaml']
const CUSTOMER = 'ama-roofing'

export interface DemoOptions {
  seed: number
  print: (line: string) => void
}

interface DemoWorld {
  fleet: LocalFleet
  engines: EngineStandIn[]
  services: ServiceStandIn[]
}

const startWorld = async (): Promise<DemoWorld> => {
  const fleet = await startLocalFleet()
  const hostList = await startHostListStandIn({ lagMs: 1_000 })
  const weightStore = await startWeightStoreStandIn()
  const engines = await Promise.all(Array.from({ length: 4 }, () => startEngineStandIn({ tokenIntervalMs: 10 })))
  const services = await Promise.all(Array.from({ length: 2 }, () => startServiceStandIn()))
  for (const server of [hostList, weightStore, ...engines, ...services]) fleet.onStop(server.close)
  for (let i = 0; i < ENTRIES; i++) await fleet.startEntry({ hostListUrl: hostList.url, addressLifetimeMs: 1_000 })
  const pools = ['quote-workers', 'quote-workers', 'assistant-models', 'assistant-models']
  for (const [i, engine] of engines.entries()) {
    await fleet.startAgent({ pool: pools[i]!, upstreamUrl: engine.url, weightStoreUrl: weightStore.url })
  }
  await fleet.startAgent({ pool: 'yard-app', upstreamUrl: services[0]!.url })
  await fleet.startAgent({ pool: 'booking-core', upstreamUrl: services[1]!.url })
  return { fleet, engines, services }
}

const waitUntilServing = async ({ fleet }: DemoWorld, caller: CallerClient): Promise<void> => {
  const probes = [
    { method: 'GET' as const, path: '/stock/probe', customer: CUSTOMER },
    { method: 'GET' as const, path: '/shelters/probe', customer: CUSTOMER },
    { method: 'POST' as const, path: '/v1/completions', customer: CUSTOMER, body: { model: 'quote-model', prompt: 'probe', stream: true } },
    { method: 'POST' as const, path: '/v1/chat/completions', customer: CUSTOMER, body: { model: 'assistant', prompt: 'probe', stream: true } }
  ]
  for (const { callerAddress } of fleet.entries) {
    for (const probe of probes) await fleet.until(async () => (await caller.send(callerAddress, probe)).isWhole)
  }
}

/** Sends a mix of requests, each started a little after the last. */
const sendTraffic = async (caller: CallerClient, kinds: readonly TrafficKind[], traffic: ReturnType<typeof createTraffic>) => {
  const running: Promise<void>[] = []
  const sent: Sent[] = []
  for (const kind of kinds) {
    const item = traffic.create(kind)
    sent.push(item)
    running.push(sendAsAdvised(caller, item))
    // Every order is sent a second time at once through another entry, as an impatient caller would.
    if (kind === TrafficKind.Order) running.push(sendAsAdvised(caller, item))
    await new Promise(resolve => setTimeout(resolve, TRAFFIC_SPACING_MS))
  }
  return { sent, done: Promise.all(running) }
}

const countBroken = (sent: readonly Sent[], services: readonly ServiceStandIn[]): BrokenPromises => {
  const runsOf = (orderId: string) => services.reduce((sum, { runsByOrder }) => sum + (runsByOrder.get(orderId) ?? 0), 0)
  const orders = sent.filter(({ orderId }) => orderId !== undefined)
  const wrong = sent.flatMap(({ results, orderId }) =>
    results.filter(({ isWhole, body }) => isWhole && orderId !== undefined && !body.includes(`"${orderId}"`)))
  return {
    doubleRuns: orders.filter(({ orderId }) => runsOf(orderId!) > 1).length,
    mixedMapSteps: 0,
    cutStreams: sent.flatMap(({ results }) => results).filter(({ status, isWhole }) => status === 0 && !isWhole).length,
    wrongAnswers: wrong.length,
    falseNotRun: orders.filter(({ orderId, results }) =>
      results.every(({ outcome }) => outcome === 'not-run') && runsOf(orderId!) > 0).length,
    unfinished: sent.filter(({ results }) => !results.some(({ isWhole }) => isWhole)).length
  }
}

/**
 * Runs the main use case end to end on loopback and prints a table. Returns whether every promise held.
 *
 * @example
 * const isKept = await runDemo({ seed: 1, print: console.log })
 */
export const runDemo = async ({ seed, print }: DemoOptions): Promise<boolean> => {
  const clock = createSystemClock()
  const random = createRandom(seed)
  const startedMs = clock.nowMs()
  const say = (text: string) => print(`[${((clock.nowMs() - startedMs) / 1_000).toFixed(1).padStart(4)} s] ${text}`)

  say(`starting ${ENTRIES} entries, 6 agents and the stand-ins on loopback`)
  const world = await startWorld()
  const { fleet, services } = world
  const caller = createCallerClient({ clock, random })
  fleet.onStop(caller.close)
  try {
    for (const file of ROW_FILES) await fleet.applyRows(readFileSync(new URL(file, import.meta.url), 'utf8'))
    say('applied the routes and pools of both deployments through the log')
    await waitUntilServing(world, caller)
    const addresses = await caller.refreshAddresses(fleet.entries[0]!.callerAddress, CUSTOMER)
    say(`addresses for ${CUSTOMER}: ${addresses.join(', ')}`)

    const kinds = random.shuffle([
      ...Array<TrafficKind>(MODEL_REQUESTS).fill(TrafficKind.Model),
      ...Array<TrafficKind>(LOOKUPS).fill(TrafficKind.Lookup),
      ...Array<TrafficKind>(ORDERS).fill(TrafficKind.Order)
    ])
    const traffic = createTraffic(random)
    const third = Math.ceil(kinds.length / 3)
    say(`sending ${kinds.length} requests, orders twice through different entries`)
    const first = await sendTraffic(caller, kinds.slice(0, third), traffic)
    say('draining one agent')
    const agentDrained = fleet.agents[0]!.drain()
    const second = await sendTraffic(caller, kinds.slice(third, 2 * third), traffic)
    say('stopping one entry gracefully')
    const entryDrained = fleet.entries[2]!.drain()
    await caller.refreshAddresses(fleet.entries[0]!.callerAddress, CUSTOMER)
    const last = await sendTraffic(caller, kinds.slice(2 * third), traffic)
    await Promise.all([first.done, second.done, last.done])
    await Promise.all([agentDrained, entryDrained])
    say('all requests ended, agent and entry have stopped')

    const sent = [...first.sent, ...second.sent, ...last.sent]
    const broken = countBroken(sent, services)
    print('')
    print(formatTraffic(sent))
    print('')
    print(formatPromises(broken))
    return !isAnyBroken(broken)
  } finally {
    await fleet.stop()
  }
}
