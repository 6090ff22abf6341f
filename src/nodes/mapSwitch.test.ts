import { readFileSync } from 'node:fs'
import { afterEach, beforeEach, expect, it } from 'vitest'
import { createInitialMap, type GroupShape, hostedItems, itemCountOf } from '../expertMaps/index.js'
import { createRankGroup, startEngineStandIn, startWeightStoreStandIn } from '../standIns/index.js'
import { type LocalFleet, startLocalFleet } from './localFleet.js'

const RANKS = 4
const SHAPE: GroupShape = { ranks: RANKS, experts: 16, layers: 2, expertBytes: 4096 }
const LIMIT_MS = 40_000
const rows = readFileSync('examples/kpakpo/rows.yaml', 'utf8')
  .replace(/group: \{.*\}/, `group: ${JSON.stringify(SHAPE)}`)
  .replace('skewWeight: 1', 'skewWeight: 10')

let fleet: LocalFleet
beforeEach(async () => { fleet = await startLocalFleet() })
afterEach(() => fleet.stop())

it('balances a skewed group by switching maps without a step on mixed maps, also across a restart of a rank', async () => {
  // The experts of rank 0 are four times as popular as the others.
  const popular = new Set(hostedItems(createInitialMap(SHAPE), 0))
  const tokens = Array.from({ length: itemCountOf(SHAPE) }, (_, item) => popular.has(item) ? 400 : 100)
  const group = createRankGroup({ ranks: RANKS, tokensAt: () => tokens, tokensPerMs: 200 })
  const store = await startWeightStoreStandIn()
  fleet.onStop(store.close)
  await fleet.startEntry()
  const engines = await Promise.all(Array.from({ length: RANKS }, (_, rank) =>
    startEngineStandIn({ attach: app => group.attach(app, rank) })))
  engines.forEach(engine => fleet.onStop(engine.close))
  const startRank = (rank: number) => fleet.startAgent({
    pool: 'quote-workers',
    upstreamUrl: engines[rank]!.url,
    weightStoreUrl: store.url,
    group: { name: 'quotes-0', rank, reportIntervalMs: 300, planIntervalMs: 600 }
  })
  for (let rank = 0; rank < RANKS; rank++) await startRank(rank)
  await fleet.applyRows(rows)

  await fleet.until(() => group.completedSteps > 20, LIMIT_MS)
  const firstMap = group.lastMapHash
  await fleet.until(() => group.lastMapHash !== firstMap && group.skew() < 1.15, LIMIT_MS)
  await fleet.agents[1]!.stop()
  const stepsBefore = group.completedSteps
  await startRank(1)
  await fleet.until(() => group.completedSteps > stepsBefore + 20, LIMIT_MS)
  expect(group.mixedSteps).toBe(0)
}, 3 * LIMIT_MS)
