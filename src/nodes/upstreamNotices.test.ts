import { readFileSync } from 'node:fs'
import { setTimeout as wait } from 'node:timers/promises'
import { request } from 'undici'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { type ServiceStandIn, startServiceStandIn } from '../standIns/index.js'
import { type LocalFleet, startLocalFleet } from './localFleet.js'

const rows = readFileSync('examples/kpakpo/rows.yaml', 'utf8')
const LIMIT_PER_S = 1
const REQUESTS = 80
const REQUEST_INTERVAL_MS = 50
const WINDOW_MS = 4_000
/** Longer than the requests of a test take. */
const PAUSE_S = 30
/** Time in which a response reaches the agent. */
const SETTLE_MS = 200
const WINDOW_REQUESTS_MAX = 1.5 * LIMIT_PER_S * WINDOW_MS / 1_000 + 5

describe('what an upstream says about itself in its responses', () => {
  let fleet: LocalFleet
  let services: ServiceStandIn[]

  const statusAt = async (entryIndex: number) => {
    const response = await request(`http://${fleet.entries[entryIndex]!.callerAddress}/stock/ridge-cap`, { headers: { 'x-customer': 'ridgeline-hardware' } })
    await response.body.dump()
    return response.statusCode
  }

  beforeEach(async () => {
    fleet = await startLocalFleet()
    services = [await startServiceStandIn(), await startServiceStandIn()]
    for (const service of services) fleet.onStop(service.close)
    for (let at = 0; at < 2; at++) await fleet.startEntry()
    await fleet.applyRows(rows)
    for (const { url } of services) await fleet.startAgent({ pool: 'yard-app', upstreamUrl: url })
    await fleet.until(async () => {
      // An entry that has no configuration yet finds no route.
      const statuses = await Promise.all([statusAt(0), statusAt(1)])
      return statuses.every(status => status === 200) && services.every(({ lookupCount }) => lookupCount > 0)
    })
  })
  afterEach(() => fleet.stop())

  const sendAll = async () => {
    const statuses: number[] = []
    for (let at = 0; at < REQUESTS; at++) {
      statuses.push(await statusAt(at % 2))
      await wait(REQUEST_INTERVAL_MS)
    }
    return statuses
  }

  // Guards against entries that each send a limited upstream as much as any other upstream.
  it('limits the requests of all entries together, and the other upstreams serve the rest', async () => {
    services[0]!.faults.limitPerS = LIMIT_PER_S
    const arrivalsMs: number[] = services[0]!.lookupTimesMs
    const countBefore = arrivalsMs.length
    const statuses = await sendAll()
    const recent = arrivalsMs.slice(countBefore)
    const inWindow = recent.map(startMs => recent.filter(atMs => atMs >= startMs && atMs < startMs + WINDOW_MS).length)
    expect(Math.max(...inWindow)).toBeLessThanOrEqual(WINDOW_REQUESTS_MAX)
    expect(recent.length).toBeGreaterThan(1)
    expect(statuses.filter(status => status === 200)).toHaveLength(REQUESTS)
  })

  it.each<[string, Partial<ServiceStandIn['faults']>]>([
    ['an upstream that is leaving', { isLeaving: true }],
    ['an upstream that turns them away, for the time that it names', { retryAfterS: PAUSE_S }]
  ])('stops the requests to %s, and the other upstreams serve them', async (_name, faults) => {
    Object.assign(services[0]!.faults, faults)
    await fleet.until(async () => {
      const before = services[0]!.lookupCount
      await Promise.all([statusAt(0), statusAt(1)])
      return services[0]!.lookupCount > before
    })
    await wait(SETTLE_MS)
    const before = services[0]!.lookupCount
    const statuses = await sendAll()
    expect(services[0]!.lookupCount).toBe(before)
    expect(statuses.filter(status => status === 200)).toHaveLength(REQUESTS)
  })
})
