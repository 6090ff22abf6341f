import { readFileSync } from 'node:fs'
import { afterEach, beforeEach, expect, it } from 'vitest'
import { type EngineStandIn, startEngineStandIn } from '../standIns/index.js'
import { type LocalFleet, startLocalFleet } from './localFleet.js'

const rows = readFileSync('examples/kpakpo/rows.yaml', 'utf8')
const PLACEMENT_LIMIT_MS = 40_000

let fleet: LocalFleet
beforeEach(async () => { fleet = await startLocalFleet() })
afterEach(() => fleet.stop())

const startEngine = async (checksFence: boolean): Promise<EngineStandIn> => {
  const engine = await startEngineStandIn({ checksFence })
  fleet.onStop(engine.close)
  return engine
}

it('brings engines to the state in the pool row, also when it is edited after an outage of the log', async () => {
  const engines = [await startEngine(true), await startEngine(false)]
  await fleet.startEntry()
  await fleet.startEntry()
  for (const engine of engines) await fleet.startAgent({ pool: 'quote-workers', upstreamUrl: engine.url })
  await fleet.applyRows(rows)
  const runs = (version: string) => engines.every(({ state }) => state.version === version && state.adapters.length === 3)
  await fleet.until(() => runs('2026-11'), PLACEMENT_LIMIT_MS)

  fleet.log.faults.isUnavailable = true
  await new Promise(resolve => setTimeout(resolve, 1_000))
  fleet.log.faults.isUnavailable = false
  await fleet.applyRows(rows.replace('version: "2026-11"', 'version: "2026-12"'))
  await fleet.until(() => runs('2026-12'), PLACEMENT_LIMIT_MS)
  const tokens = engines.flatMap(({ orders }) => orders.map(({ fence }) => fence))
  expect(Math.min(...tokens)).toBeGreaterThan(0)
}, 2 * PLACEMENT_LIMIT_MS)
