import type { CustomerLimit } from '../../src/configuration/index.js'
import { createRandom } from '../../src/core/index.js'
import { findLimitCoordinator } from '../../src/limits/index.js'
import { createEventQueue, type Figure } from '../harness/index.js'
import { createLimitFleet, entryIdOf } from './limitFleet.js'

const ENTRY_COUNT = 5
const DURATION_MS = 60_000
const WINDOW_MS = 10_000
const LIMIT_KEY = 'quotes/large-customer'
const OFFERED_RATIO = 10
const FAILURE_DETECTION_MS = 3_000
const LIMIT: CustomerLimit = { requestsPerS: 50, concurrentMax: 40, burstRequests: 25 }
const MEAN_REQUEST_MS = 400

export interface LimitScenario {
  /** Partitions entries 3 and 4 from the others during the middle third of the run. */
  isPartitioned: boolean
  /** Stops the coordinator after a third of the run. */
  losesCoordinator: boolean
  lossRatio: number
  /** Whether each entry enforces the entire limit on its own. */
  isNaive: boolean
}

export interface LimitResult {
  /** Highest number of admitted requests in any window divided by the number that the limit allows. */
  rateOvershoot: number
  concurrencyOvershoot: number
  /** Admitted requests after the first 10 s divided by those that the rate limit allows. */
  usedShare: number
}

/**
 * Sends the requests of one customer at ten times its limit to several entries, with a skew that moves
 * between them.
 */
export const runLimitScenario = (seed: number, { isPartitioned, losesCoordinator, lossRatio, isNaive }: LimitScenario): LimitResult => {
  const queue = createEventQueue()
  const random = createRandom(seed)
  const allIds = Array.from({ length: ENTRY_COUNT }, (_, entry) => entryIdOf(entry))
  const lostCoordinatorId = losesCoordinator ? findLimitCoordinator(LIMIT_KEY, allIds) : undefined
  const lostAtMs = DURATION_MS / 3
  const isPartitionActive = () => isPartitioned && queue.clock.nowMs() >= DURATION_MS / 3 && queue.clock.nowMs() < DURATION_MS * 2 / 3
  const sideOf = (id: string) => Number(id === 'entry-3' || id === 'entry-4')
  const isDown = (id: string) => id === lostCoordinatorId && queue.clock.nowMs() >= lostAtMs
  const membersOf = (ownId: string): string[] => {
    const detectedUntilMs = queue.clock.nowMs() - FAILURE_DETECTION_MS
    const isPartitionDetected = isPartitioned && detectedUntilMs >= DURATION_MS / 3 && queue.clock.nowMs() < DURATION_MS * 2 / 3
    return allIds.filter(id => !(id === lostCoordinatorId && detectedUntilMs >= lostAtMs) && !(isPartitionDetected && sideOf(id) !== sideOf(ownId)))
  }
  const fleet = createLimitFleet({
    queue,
    random,
    entryCount: ENTRY_COUNT,
    membersOf: isNaive ? ownId => [ownId] : membersOf,
    isDown,
    untilMs: DURATION_MS,
    faults: { delayMinMs: 1, delayMaxMs: 300, lossRatio, duplicateRatio: 0.05, isPartitioned: (from, to) => isPartitionActive() && sideOf(from) !== sideOf(to) }
  })
  const admittedMs: number[] = []
  let running = 0
  let runningMax = 0
  let requestCount = 0
  const arrive = () => {
    // Most requests go to one preferred entry, which changes every few seconds.
    const preferredEntry = Math.floor(queue.clock.nowMs() / 7_000) % ENTRY_COUNT
    const entryId = entryIdOf(random.next() < 0.6 ? preferredEntry : random.int(0, ENTRY_COUNT - 1))
    const requestId = `r${requestCount++}`
    if (!isDown(entryId) && fleet.admit(entryId, requestId, LIMIT_KEY, LIMIT)) {
      admittedMs.push(queue.clock.nowMs())
      running += 1
      runningMax = Math.max(runningMax, running)
      queue.after(random.int(MEAN_REQUEST_MS / 2, MEAN_REQUEST_MS * 3 / 2), () => {
        running -= 1
        fleet.end(entryId, requestId)
      })
    }
    if (queue.clock.nowMs() < DURATION_MS) queue.after(random.exponential(1_000 / (OFFERED_RATIO * LIMIT.requestsPerS)), arrive)
  }
  arrive()
  queue.runUntil(DURATION_MS)

  const allowed = LIMIT.requestsPerS * WINDOW_MS / 1_000 + LIMIT.burstRequests
  let windowMax = 0
  for (let first = 0, last = 0; last < admittedMs.length; last++) {
    while (admittedMs[last]! - admittedMs[first]! > WINDOW_MS) first += 1
    windowMax = Math.max(windowMax, last - first + 1)
  }
  const admittedAfterWarmUp = admittedMs.filter(atMs => atMs > 10_000).length
  return {
    rateOvershoot: windowMax / allowed,
    concurrencyOvershoot: runningMax / LIMIT.concurrentMax,
    usedShare: admittedAfterWarmUp / (LIMIT.requestsPerS * (DURATION_MS - 10_000) / 1_000)
  }
}

const overshoot = ({ rateOvershoot, concurrencyOvershoot }: LimitResult) => Math.max(rateOvershoot, concurrencyOvershoot)

/** Measures by how much a customer can exceed its fleet-wide limit. */
export const measureLimitOvershoot = (seed: number): Figure[] => {
  const base = { isPartitioned: false, losesCoordinator: false, lossRatio: 0.1, isNaive: false }
  const cases = [base, { ...base, losesCoordinator: true }, { ...base, lossRatio: 0.4 }]
  const results = cases.map(scenario => runLimitScenario(seed, scenario))
  const naive = runLimitScenario(seed, { ...base, isNaive: true })
  const partitioned = runLimitScenario(seed, { ...base, isPartitioned: true })
  const partitionedNaive = runLimitScenario(seed, { ...base, isPartitioned: true, isNaive: true })
  const common = { suite: 'routing', seed }
  return [
    {
      ...common,
      figure: 'customer_limit_overshoot',
      unit: 'ratio',
      baseline: overshoot(naive),
      value: Math.max(...results.map(overshoot)),
      target: { max: 1.1 },
      note: 'worst of rate and concurrency over 10% loss, coordinator lost, 40% loss; baseline: whole limit at each entry'
    },
    {
      ...common,
      figure: 'customer_limit_overshoot_partition',
      unit: 'ratio',
      baseline: overshoot(partitionedNaive),
      value: overshoot(partitioned),
      target: { max: 2 },
      note: 'two sides for 20 s; stated factor 2'
    },
    {
      ...common,
      figure: 'customer_limit_used',
      unit: 'share',
      baseline: naive.usedShare,
      value: results[0]!.usedShare,
      note: `of the rate limit at ten times the demand; coordinator lost ${results[1]!.usedShare.toFixed(2)}, 40% loss ${results[2]!.usedShare.toFixed(2)}`
    }
  ]
}
