import { readFileSync } from 'node:fs'
import { createRandom, createSystemClock } from '../core/index.js'
import { createInitialMap, type GroupShape, hostedItems, itemCountOf } from '../expertMaps/index.js'
import { startLocalFleet, type LocalFleet } from '../nodes/localFleet.js'
import {
  createRankGroup, type EngineStandIn, type RankGroup, type ServiceStandIn, startEngineStandIn, startHostListStandIn, startServiceStandIn, startWeightStoreStandIn
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
const POOL_OF_ENGINE = ['quote-workers', 'quote-workers', 'assistant-models', 'assistant-models']
/** Agent of an assistant engine; a drained rank would stop its whole group. */
const DRAINED_AGENT = 2
/** The first two engines form a group that is small enough for one process. */
const GROUP_SHAPE: GroupShape = { ranks: 2, experts: 16, layers: 2, expertBytes: 4_096 }
const GROUP_INTERVALS = { reportIntervalMs: 300, planIntervalMs: 600 }
const SWITCH_LIMIT_MS = 15_000

export interface DemoOptions {
  seed: number
  print: (line: string) => void
}

interface DemoWorld {
  fleet: LocalFleet
  group: RankGroup
  engines: EngineStandIn[]
  services: ServiceStandIn[]
}

const startWorld = async (): Promise<DemoWorld> => {
  const fleet = await startLocalFleet()
  const hostList = await startHostListStandIn({ lagMs: 1_000 })
  const weightStore = await startWeightStoreStandIn()
  const popular = new Set(hostedItems(createInitialMap(GROUP_SHAPE), 0))
  const tokens = Array.from({ length: itemCountOf(GROUP_SHAPE) }, (_, item) => popular.has(item) ? 300 : 100)
  const group = createRankGroup({ ranks: GROUP_SHAPE.ranks, tokensAt: () => tokens })
  const engines = await Promise.all(POOL_OF_ENGINE.map((_pool, i) => startEngineStandIn({
    tokenIntervalMs: 10, ...(i < GROUP_SHAPE.ranks ? { attach: app => group.attach(app, i) } : {})
  })))
  const services = await Promise.all(Array.from({ length: 2 }, () => startServiceStandIn()))
  for (const server of [hostList, weightStore, ...engines, ...services]) fleet.onStop(server.close)
  for (let i = 0; i < ENTRIES; i++) await fleet.startEntry({ hostListUrl: hostList.url, addressLifetimeMs: 1_000 })
  for (const [i, engine] of engines.entries()) {
    const isRank = i < GROUP_SHAPE.ranks
    await fleet.startAgent({
      pool: POOL_OF_ENGINE[i]!,
      upstreamUrl: engine.url,
      weightStoreUrl: weightStore.url,
      ...(isRank ? { group: { name: 'quotes-0', rank: i, ...GROUP_INTERVALS } } : {})
    })
  }
  await fleet.startAgent({ pool: 'yard-app', upstreamUrl: services[0]!.url })
  await fleet.startAgent({ pool: 'booking-core', upstreamUrl: services[1]!.url })
  return { fleet, group, engines, services }
}

/** Rows of a deployment; the group is shrunk, and moves weigh little, so that one switch is certain. */
const readRows = (file: string): string => readFileSync(new URL(file, import.meta.url), 'utf8')
  .replace(/group: \{ ranks: 4.*\}/, `group: ${JSON.stringify(GROUP_SHAPE)}`)
  .replace('skewWeight: 1', 'skewWeight: 10')

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
    const start = sent.length
    running.push(sendAsAdvised(caller, item, start))
    // Every order is sent a second time at once through another entry, as an impatient caller would.
    if (kind === TrafficKind.Order) running.push(sendAsAdvised(caller, item, start + 1))
    await new Promise(resolve => setTimeout(resolve, TRAFFIC_SPACING_MS))
  }
  return { sent, done: Promise.all(running) }
}

const countBroken = (sent: readonly Sent[], services: readonly ServiceStandIn[], mixedMapSteps: number): BrokenPromises => {
  const runsOf = (orderId: string) => services.reduce((sum, { runsByOrder }) => sum + (runsByOrder.get(orderId) ?? 0), 0)
  const orders = sent.filter(({ orderId }) => orderId !== undefined)
  const wrong = sent.flatMap(({ results, orderId }) =>
    results.filter(({ isWhole, body }) => isWhole && orderId !== undefined && !body.includes(`"${orderId}"`)))
  return {
    doubleRuns: orders.filter(({ orderId }) => runsOf(orderId!) > 1).length,
    mixedMapSteps,
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
  const { fleet, group, services } = world
  const caller = createCallerClient({ clock, random })
  fleet.onStop(caller.close)
  try {
    for (const file of ROW_FILES) await fleet.applyRows(readRows(file))
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
    const agentDrained = fleet.agents[DRAINED_AGENT]!.drain()
    const second = await sendTraffic(caller, kinds.slice(third, 2 * third), traffic)
    say('stopping one entry gracefully')
    const entryDrained = fleet.entries[2]!.drain()
    const last = await sendTraffic(caller, kinds.slice(2 * third), traffic)
    await Promise.all([first.done, second.done, last.done])
    await Promise.all([agentDrained, entryDrained])
    say('all requests ended, agent and entry have stopped')
    await fleet.until(() => group.lastMapHash !== createInitialMap(GROUP_SHAPE).id.hash, SWITCH_LIMIT_MS)
    say(`the group switched its expert map, ${group.completedSteps} steps done, skew is ${group.skew().toFixed(2)}`)

    const sent = [...first.sent, ...second.sent, ...last.sent]
    const broken = countBroken(sent, services, group.mixedSteps)
    print('')
    print(formatTraffic(sent))
    print('')
    print(formatPromises(broken))
    return !isAnyBroken(broken)
  } finally {
    await fleet.stop()
  }
}
