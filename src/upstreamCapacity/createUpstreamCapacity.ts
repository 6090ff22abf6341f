import type { Clock, Random, TimestampMs } from '../core/index.js'
import {
  ESTIMATE_AGE_MAX_MS, HOPEFUL_TRIAL_INTERVAL_MS, HOPEFUL_WEIGHT, LOAD_BANDS, SUSPECT_WEIGHT, TIME_CLASSES, TRIAL_INTERVAL_MS, USUAL_CLASS
} from './constants.js'
import { createTypicalTime, type TypicalTime } from './createTypicalTime.js'
import { type BandState, estimateService, getDefaultBand, isSlow, type RunEvidence } from './estimateService.js'
import { addReportedCounts, runKeyOf, toReportedCounts } from './reportedTimes.js'
import { addResponse, bandOf, decayCounts, getDefaultTimeCounts, slowWeightOf, type TimeCounts, timeClassOf, weighAll } from './timeCounts.js'
import type { CapacityEstimate, EstimateChange, ReportedTimes, ResponseSample, UpstreamRun } from './types.js'

export interface UpstreamCapacityOptions {
  clock: Clock
  random: Random
  /** Upstreams of all services that are known. */
  upstreams: () => readonly UpstreamRun[]
  /** What the other entries report. */
  peerTimes: () => readonly (ReportedTimes | undefined)[]
  /** Requests in flight at an upstream from all entries. */
  runningAt: (workerId: string) => number
}

/** Learned capacity of upstreams in one entry. */
export interface UpstreamCapacity {
  record (sample: ResponseSample): void
  /** Estimates of upstreams of one service by worker id; undefined if they do not differ. */
  estimatesOf (upstreams: readonly UpstreamRun[]): ReadonlyMap<string, CapacityEstimate> | undefined
  /** Response times of upstreams that may differ, for the reports to the other entries; undefined if there are none. */
  report (): ReportedTimes | undefined
  /** Compares the estimates with those of the last call; expected every few hundred ms. */
  tick (): EstimateChange[]
  /** Estimates of all upstreams of services whose upstreams differ. */
  all (): (UpstreamRun & CapacityEstimate)[]
}

/** What this entry knows of one run. */
interface RunState {
  own: TimeCounts
  overall: BandState
  bands: BandState[]
}

interface CachedEstimates { atMs: TimestampMs, keys: string, estimates: Map<string, Omit<CapacityEstimate, 'isTrialDue'>> | undefined }

const isKnownSlowIn = ({ overall, bands }: RunState): boolean => isSlow(overall) || bands.some(isSlow)

/**
 * Creates the learned capacity of one entry. It counts responses by how many requests were in flight and by how much
 * longer than usual they took, adds what the other entries report, and compares the upstreams of a service.
 *
 * @example
 * const capacity = createUpstreamCapacity({ clock, random, upstreams, peerTimes, runningAt })
 * capacity.record({ run, tookMs: 210, inFlight: 1, hasFailed: false })
 * capacity.estimatesOf(workers.usable('booking'))?.get('w1')
 */
export const createUpstreamCapacity = ({ clock, random, upstreams, peerTimes, runningAt }: UpstreamCapacityOptions): UpstreamCapacity => {
  const typicalTimes = new Map<string, Map<string, TypicalTime>>()
  const states = new Map<string, RunState>()
  const cache = new Map<string, CachedEstimates>()
  let fleet: { atMs: TimestampMs, times: Map<string, number[]> } | undefined
  let previous = new Map<string, EstimateChange>()

  /** Typical time of one kind of request of a service, or of all of them. */
  const typicalOf = (service: string, kind = ''): TypicalTime => {
    const kinds = typicalTimes.get(service) ?? new Map<string, TypicalTime>()
    typicalTimes.set(service, kinds)
    const typical = kinds.get(kind) ?? createTypicalTime()
    kinds.set(kind, typical)
    return typical
  }

  const stateOf = (runKey: string): RunState => {
    const state = states.get(runKey) ?? {
      own: getDefaultTimeCounts(clock.nowMs()), overall: getDefaultBand(), bands: Array.from({ length: LOAD_BANDS }, getDefaultBand)
    }
    states.set(runKey, state)
    return state
  }

  /** Sums of what the other entries report, by run. */
  const fleetTimes = (): Map<string, number[]> => {
    const nowMs = clock.nowMs()
    if (fleet !== undefined && nowMs - fleet.atMs < ESTIMATE_AGE_MAX_MS) return fleet.times
    const times = new Map<string, number[]>()
    for (const report of peerTimes()) {
      for (const [runKey, counts] of Object.entries(report ?? {})) {
        const total = times.get(runKey) ?? Array<number>(LOAD_BANDS * TIME_CLASSES).fill(0)
        times.set(runKey, total)
        addReportedCounts(total, counts)
      }
    }
    fleet = { atMs: nowMs, times }
    return times
  }

  const evidenceOf = (run: UpstreamRun): RunEvidence => {
    const runKey = runKeyOf(run)
    const { own, overall, bands } = stateOf(runKey)
    decayCounts(own, clock.nowMs())
    const peers = fleetTimes().get(runKey)
    return { run, overall, bands, counts: peers === undefined ? own.counts : own.counts.map((count, index) => count + peers[index]!) }
  }

  /** Without a slow response anywhere there is nothing to compare. */
  const mayDiffer = (runs: readonly UpstreamRun[]): boolean => {
    const times = fleetTimes()
    return runs.some(run => {
      const runKey = runKeyOf(run)
      const state = states.get(runKey)
      return times.has(runKey) || (state !== undefined && (slowWeightOf(state.own.counts) > 0 || isKnownSlowIn(state)))
    })
  }

  const computeEstimates = (runs: readonly UpstreamRun[]) => runs.length > 1 && mayDiffer(runs) ? estimateService(runs.map(evidenceOf), clock.nowMs()) : undefined

  const cachedEstimates = (runs: readonly UpstreamRun[]): CachedEstimates['estimates'] => {
    const service = runs[0]?.service
    if (service === undefined) return undefined
    const nowMs = clock.nowMs()
    const keys = runs.map(runKeyOf).join()
    const cached = cache.get(service)
    if (cached !== undefined && cached.keys === keys && nowMs - cached.atMs < ESTIMATE_AGE_MAX_MS) return cached.estimates
    const estimates = computeEstimates(runs)
    cache.set(service, { atMs: nowMs, keys, estimates })
    return estimates
  }

  /** Responses of an upstream that is slower than the others do not change what is typical. */
  const isKnownSlow = ({ service, workerId }: UpstreamRun) => (cache.get(service)?.estimates?.get(workerId)?.speed ?? 1) < 1

  /**
   * Draws whether a request may go beyond an estimate. The entries see each other's requests too late to take turns, so
   * each draws with a chance that makes one trial in an interval of all requests of the service, whose rate follows from
   * the requests in flight and the time that each takes.
   */
  const drawTrial = (run: UpstreamRun, runs: readonly UpstreamRun[]): boolean => {
    const typicalMs = typicalOf(run.service).typicalMs()
    if (typicalMs === undefined) return false
    const { usual, slow } = weighAll(evidenceOf(run).counts)
    const isHopeful = usual >= HOPEFUL_WEIGHT && usual > slow
    const running = runs.reduce((total, { workerId }) => total + runningAt(workerId), 1)
    return random.next() * (isHopeful ? HOPEFUL_TRIAL_INTERVAL_MS : TRIAL_INTERVAL_MS) * running < typicalMs
  }

  const estimatesOf = (runs: readonly UpstreamRun[]): ReadonlyMap<string, CapacityEstimate> | undefined => {
    const estimates = cachedEstimates(runs)
    if (estimates === undefined) return undefined
    return new Map(runs.map(run => [run.workerId, { ...estimates.get(run.workerId)!, isTrialDue: drawTrial(run, runs) }]))
  }

  const byService = (): UpstreamRun[][] => {
    const services = new Map<string, UpstreamRun[]>()
    for (const run of upstreams()) services.set(run.service, [...services.get(run.service) ?? [], run])
    return [...services.values()]
  }

  const all = () => byService().flatMap(runs => {
    const estimates = estimatesOf(runs)
    return estimates === undefined ? [] : runs.map(run => ({ ...run, ...estimates.get(run.workerId)! }))
  })

  const forgetEndedRuns = () => {
    const known = new Set(upstreams().map(runKeyOf))
    for (const runKey of states.keys()) if (!known.has(runKey)) states.delete(runKey)
    const services = new Set(upstreams().map(({ service }) => service))
    for (const service of typicalTimes.keys()) if (!services.has(service)) typicalTimes.delete(service)
    for (const service of cache.keys()) if (!services.has(service)) cache.delete(service)
  }

  const compareWithPrevious = (current: readonly (UpstreamRun & CapacityEstimate)[]): EstimateChange[] => {
    const next = new Map<string, EstimateChange>()
    for (const { workerId, service, slots, capacity, speed } of current) {
      const { capacity: capacityBefore, speed: speedBefore } = previous.get(workerId) ?? { capacity: slots, speed: 1 }
      next.set(workerId, { workerId, service, capacity, speed, before: { capacity: capacityBefore, speed: speedBefore } })
    }
    const slotsOf = new Map(upstreams().map(({ workerId, slots }) => [workerId, slots]))
    for (const { workerId, service, capacity, speed } of previous.values()) {
      const slots = slotsOf.get(workerId)
      if (next.has(workerId) || slots === undefined) continue
      next.set(workerId, { workerId, service, capacity: slots, speed: 1, before: { capacity, speed } })
    }
    previous = new Map([...next].filter(([workerId, { capacity, speed }]) => capacity !== slotsOf.get(workerId) || speed !== 1))
    return [...next.values()].filter(({ capacity, speed, before }) => capacity !== before.capacity || speed !== before.speed)
  }

  return {
    record: ({ run, kind, tookMs, inFlight, hasFailed }) => {
      const typical = typicalOf(run.service)
      const typicalOfKind = typicalOf(run.service, kind)
      const typicalMs = typicalOfKind.typicalMs() ?? typical.typicalMs()
      // Beyond the slots, requests wait for each other; that says nothing about the upstream.
      const queued = Math.max(1, inFlight / Math.max(1, run.slots))
      if (!hasFailed && queued === 1 && !isKnownSlow(run)) {
        typical.record(tookMs)
        typicalOfKind.record(tookMs)
      }
      if (typicalMs === undefined) return
      const timeClass = timeClassOf(tookMs / typicalMs / queued)
      if (hasFailed && timeClass <= USUAL_CLASS) return
      const state = stateOf(runKeyOf(run))
      addResponse(decayCounts(state.own, clock.nowMs()), bandOf(inFlight, run.slots), timeClass)
      const cached = cache.get(run.service)
      if (cached !== undefined) cached.atMs = -Infinity
    },
    estimatesOf,
    report: () => {
      const nowMs = clock.nowMs()
      const reported: Record<string, readonly number[]> = {}
      for (const [runKey, state] of states) {
        const own = decayCounts(state.own, nowMs)
        // Usual responses count against slow ones elsewhere, and show a recovery, so they are reported too, but only then.
        const isSuspect = isKnownSlowIn(state) || slowWeightOf(own.counts) >= SUSPECT_WEIGHT || slowWeightOf(fleetTimes().get(runKey) ?? []) >= SUSPECT_WEIGHT
        const counts = isSuspect ? toReportedCounts(own.counts) : undefined
        if (counts !== undefined) reported[runKey] = counts
      }
      return Object.keys(reported).length === 0 ? undefined : reported
    },
    tick: () => {
      forgetEndedRuns()
      return compareWithPrevious(all())
    },
    all
  }
}
