import { readFileSync } from 'node:fs'
import { createRandom, createSystemClock } from '../core/index.js'
import { createInitialMap, type GroupShape, hostedItems, itemCountOf } from '../expertMaps/index.js'
import { startLocalFleet, type LocalFleet } from '../nodes/localFleet.js'
import {
  createRankGroup, type EngineStandIn, type RankGroup, type ServiceStandIn, startEngineStandIn, startHostListStandIn, startServiceStandIn, startWeightStoreStandIn
} from '../standIns/index.js'
import { createCallerClient, type CallerClient } from './callerClient.js'
import { type GuaranteeViolations, formatViolations, formatTraffic, hasViolations } from './summary.js'
import { createTraffic, type SentRequest, sendWithRetries, TrafficKind } from './traffic.js'

const ENTRIES = 3
const MODEL_REQUESTS = 120
const LOOKUPS = 60
const ORDERS = 40
const REQUEST_INTERVAL_MS = 30
const ROW_FILES = ['../../../examples/kpakpo/rows.yaml', '../../../examples/fellesly/rows.yaml']
const CUSTOMER = 'ama-roofing'
const ENGINE_POOLS = ['quote-workers', 'quote-workers', 'assistant-models', 'assistant-models']
/** Agent of an assistant engine; draining a rank's agent instead would stop the rank's whole group. */
const DRAINED_AGENT = 2
/** The first two engines form one rank group, small enough to run in a single process. */
const GROUP_SHAPE: GroupShape = { ranks: 2, experts: 16, layers: 2, expertBytes: 4_096 }
const GROUP_INTERVALS = { reportIntervalMs: 300, planIntervalMs: 600 }
const SWITCH_TIMEOUT_MS = 15_000

export interface DemoOptions {
  seed: number
  print: (line: string) => void
}

interface DemoCluster {
  fleet: LocalFleet
  group: RankGroup
  engines: EngineStandIn[]
  services: ServiceStandIn[]
}

const startCluster = async (): Promise<DemoCluster> => {
  const fleet = await startLocalFleet()
  const hostList = await startHostListStandIn({ lagMs: 1_000 })
  const weightStore = await startWeightStoreStandIn()
  const popularItems = new Set(hostedItems(createInitialMap(GROUP_SHAPE), 0))
  const tokens = Array.from({ length: itemCountOf(GROUP_SHAPE) }, (_, item) => popularItems.has(item) ? 300 : 100)
  const group = createRankGroup({ ranks: GROUP_SHAPE.ranks, tokensAt: () => tokens })
  const engines = await Promise.all(ENGINE_POOLS.map((_pool, i) => startEngineStandIn({
    tokenIntervalMs: 10, ...(i < GROUP_SHAPE.ranks ? { attach: app => group.attach(app, i) } : {})
  })))
  const services = await Promise.all(Array.from({ length: 2 }, () => startServiceStandIn()))
  for (const server of [hostList, weightStore, ...engines, ...services]) fleet.onStop(server.close)
  for (let i = 0; i < ENTRIES; i++) await fleet.startEntry({ hostListUrl: hostList.url, addressLifetimeMs: 1_000 })
  for (const [i, engine] of engines.entries()) {
    const isRank = i < GROUP_SHAPE.ranks
    await fleet.startAgent({
      pool: ENGINE_POOLS[i]!,
      upstreamUrl: engine.url,
      weightStoreUrl: weightStore.url,
      ...(isRank ? { group: { name: 'quotes-0', rank: i, ...GROUP_INTERVALS } } : {})
    })
  }
  await fleet.startAgent({ pool: 'yard-app', upstreamUrl: services[0]!.url })
  await fleet.startAgent({ pool: 'booking-core', upstreamUrl: services[1]!.url })
  return { fleet, group, engines, services }
}

/**
 * Reads the rows of a deployment. Scales the group down and gives skew more weight than moves, so that a map
 * switch is certain to happen.
 */
const readRows = (file: string): string => readFileSync(new URL(file, import.meta.url), 'utf8')
  .replace(/group: \{ ranks: 4.*\}/, `group: ${JSON.stringify(GROUP_SHAPE)}`)
  .replace('skewWeight: 1', 'skewWeight: 10')

const waitUntilServing = async ({ fleet }: DemoCluster, caller: CallerClient): Promise<void> => {
  const probes = [
    { method: 'GET' as const, path: '/stock/probe', customer: CUSTOMER },
    { method: 'GET' as const, path: '/shelters/probe', customer: CUSTOMER },
    { method: 'POST' as const, path: '/v1/completions', customer: CUSTOMER, body: { model: 'quote-model', prompt: 'probe', stream: true } },
    { method: 'POST' as const, path: '/v1/chat/completions', customer: CUSTOMER, body: { model: 'assistant', prompt: 'probe', stream: true } }
  ]
  for (const { callerAddress } of fleet.entries) {
    for (const probe of probes) await fleet.until(async () => (await caller.send(callerAddress, probe)).isComplete)
  }
}

/** Sends a request of each given kind, starting one every `REQUEST_INTERVAL_MS`. */
const sendTraffic = async (caller: CallerClient, kinds: readonly TrafficKind[], traffic: ReturnType<typeof createTraffic>) => {
  const inFlight: Promise<void>[] = []
  const sent: SentRequest[] = []
  for (const kind of kinds) {
    const item = traffic.create(kind)
    sent.push(item)
    const firstAddressIndex = sent.length
    inFlight.push(sendWithRetries(caller, item, firstAddressIndex))
    // Sends each order a second time at once through another entry, as a caller that doesn't wait would do.
    if (kind === TrafficKind.Order) inFlight.push(sendWithRetries(caller, item, firstAddressIndex + 1))
    await new Promise(resolve => setTimeout(resolve, REQUEST_INTERVAL_MS))
  }
  return { sent, done: Promise.all(inFlight) }
}

const countViolations = (sent: readonly SentRequest[], services: readonly ServiceStandIn[], mixedMapSteps: number): GuaranteeViolations => {
  const executionsOf = (orderId: string) => services.reduce((sum, { runsByOrder }) => sum + (runsByOrder.get(orderId) ?? 0), 0)
  const orders = sent.filter(({ orderId }) => orderId !== undefined)
  const mismatched = sent.flatMap(({ results, orderId }) =>
    results.filter(({ isComplete, body }) => isComplete && orderId !== undefined && !body.includes(`"${orderId}"`)))
  return {
    duplicateExecutions: orders.filter(({ orderId }) => executionsOf(orderId!) > 1).length,
    mixedMapSteps,
    truncatedStreams: sent.flatMap(({ results }) => results).filter(({ status, isComplete }) => status === 0 && !isComplete).length,
    mismatchedResponses: mismatched.length,
    falseNotRun: orders.filter(({ orderId, results }) =>
      results.every(({ outcome }) => outcome === 'not-run') && executionsOf(orderId!) > 0).length,
    incompleteRequests: sent.filter(({ results }) => !results.some(({ isComplete }) => isComplete)).length
  }
}

/**
 * Runs the main use case end to end on loopback and prints the results. Returns whether every guarantee held.
 *
 * @example
 * const hasPassed = await runDemo({ seed: 1, print: console.log })
 */
export const runDemo = async ({ seed, print }: DemoOptions): Promise<boolean> => {
  const clock = createSystemClock()
  const random = createRandom(seed)
  const startedMs = clock.nowMs()
  const logProgress = (text: string) => print(`[${((clock.nowMs() - startedMs) / 1_000).toFixed(1).padStart(4)} s] ${text}`)

  logProgress(`starting ${ENTRIES} entries, 6 agents and the stand-ins on loopback`)
  const cluster = await startCluster()
  const { fleet, group, services } = cluster
  const caller = createCallerClient({ clock, random })
  fleet.onStop(caller.close)
  try {
    for (const file of ROW_FILES) await fleet.applyRows(readRows(file))
    logProgress('applied the routes and pools of both deployments through the log')
    await waitUntilServing(cluster, caller)
    const addresses = await caller.refreshAddresses(fleet.entries[0]!.callerAddress, CUSTOMER)
    logProgress(`addresses for ${CUSTOMER}: ${addresses.join(', ')}`)

    const kinds = random.shuffle([
      ...Array<TrafficKind>(MODEL_REQUESTS).fill(TrafficKind.Model),
      ...Array<TrafficKind>(LOOKUPS).fill(TrafficKind.Lookup),
      ...Array<TrafficKind>(ORDERS).fill(TrafficKind.Order)
    ])
    const traffic = createTraffic(random)
    const partSize = Math.ceil(kinds.length / 3)
    logProgress(`sending ${kinds.length} requests, orders twice through different entries`)
    const first = await sendTraffic(caller, kinds.slice(0, partSize), traffic)
    logProgress('draining one agent')
    const agentDrained = fleet.agents[DRAINED_AGENT]!.drain()
    const second = await sendTraffic(caller, kinds.slice(partSize, 2 * partSize), traffic)
    logProgress('stopping one entry gracefully')
    const entryDrained = fleet.entries[2]!.drain()
    const last = await sendTraffic(caller, kinds.slice(2 * partSize), traffic)
    await Promise.all([first.done, second.done, last.done])
    await Promise.all([agentDrained, entryDrained])
    logProgress('all requests have ended, agent and entry have stopped')
    await fleet.until(() => group.lastMapHash !== createInitialMap(GROUP_SHAPE).id.hash, SWITCH_TIMEOUT_MS)
    logProgress(`the group switched its expert map after ${group.completedSteps} completed steps, skew is ${group.skew().toFixed(2)}`)

    const sent = [...first.sent, ...second.sent, ...last.sent]
    const violations = countViolations(sent, services, group.mixedSteps)
    print('')
    print(formatTraffic(sent))
    print('')
    print(formatViolations(violations))
    return !hasViolations(violations)
  } finally {
    await fleet.stop()
  }
}
