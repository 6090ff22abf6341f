import { createManualClock, dispatch, type HandlerTable, type Random } from '../core/index.js'
import { createWorkerTable, type Worker, type WorkerRegistration } from '../membership/index.js'
import { createWorkerPlacement, type WorkerPlacement } from '../routing/index.js'
import { WorkerLimitsEffectKind, WorkerLimitsMessageKind, WorkerPermission } from './constants.js'
import { createWorkerLimits, type WorkerLimits } from './createWorkerLimits.js'
import type { PermitIssuerEntry, WorkerLimitsEffect, WorkerLimitsMessage } from './types.js'
import { coldPermitsPerS, type WarmUpBounds } from './warmUp.js'

const STEP_MS = 10
const TICK_MS = 50
const DELAY_MS = { min: 1, max: 30 }
/** Time from an entry to the worker; the difference is what the issuing rate allows for. */
const ARRIVAL_MS = { min: 1, max: 100 }
/** Interval in which entries of other zones learn the load of this one. */
const ZONE_LOAD_MS = 400
const SILENCE_MS = 2_200
const REPORT_MS = 500
const QUEUE_WAIT_MS = 60
const HEARTBEAT_MS = 1_200
const RESTART_MS = 500
const SERVICE = 's'
const ZONES = ['a', 'b', 'c']

/** A fleet whose workers become cold, and what disturbs it. Times are counted from the start of the schedule. */
export interface ColdSchedule {
  durationMs: number
  entries: number
  workers: number
  /** Workers that become cold, the first ones of the table; the zones of the workers go in turn or in blocks. */
  coldWorkers: number
  isZoneInBlocks?: boolean
  /** First moment at which they become cold, the interval until the next one, and for how long. */
  coldFromMs: number
  coldEveryMs: number
  coldMs: number
  slots: number
  serviceMs: number
  /** Requests per second of all entries together. */
  demandPerS: number
  /** Time from a record of a worker to an entry, at most. */
  recordDelayMaxMs: number
  lossShare: number
  restartsPerS: number
  pausesPerS: number
  /** Whether only the entries that issue for the first cold worker, those of its zone, restart and pause. */
  disturbsIssuers?: boolean
  /** Time in which no message passes between the zones, or only to and from some entries of the first cold worker's zone. */
  partitionMs?: { from: number, to: number }
  /** Whether the zones stay together in the partition. */
  isWithinZone?: boolean
  /** Entries of that zone that reach no other entry. */
  isolatedEntries?: number
}

/** What the cold workers take, and the bounds of the deployment. */
export interface ColdBounds extends WarmUpBounds { requestsPerS: number, durationMs: number }

interface Entry {
  info: PermitIssuerEntry
  limits: WorkerLimits
  placement: WorkerPlacement
  weight: number
  /** Since when the others know this entry, and this one knows the others. */
  knownFromMs: number
  knowsFromMs: number
  goneSinceMs: number | undefined
  pausedUntilMs: number
  pausedSinceMs: number
  waitingUntilMs: number[]
  queued: (() => void)[]
  /** Requests in flight by worker at the other entries, as last reported. */
  loads: Map<Entry, Record<string, number>>
}

/** Arrival times at each cold worker while it was cold. */
export type ColdArrivals = Map<string, number[]>

/**
 * Plays a schedule under a virtual clock with the real limits and placement of each entry, and a network of messages.
 *
 * @example
 * playColdFleet(schedule, { requestsPerS: 26, durationMs: 3_000, excess: 1.5, slack: 5 }, createRandom(1)).get('w0')
 */
export const playColdFleet = (schedule: ColdSchedule, bounds: ColdBounds, random: Random, usesPermits = true): ColdArrivals => {
  const clock = createManualClock(0)
  const now = () => clock.nowMs()
  const workers = createWorkerTable({ clock })
  const arrivalsMs: ColdArrivals = new Map()
  const warmUp = { durationMs: bounds.durationMs, permitsPerS: coldPermitsPerS(bounds.requestsPerS, bounds) }
  const timers = new Map<number, (() => void)[]>()
  const after = (delayMs: number, action: () => void) => {
    const atMs = now() + Math.max(STEP_MS, Math.ceil(delayMs / STEP_MS) * STEP_MS)
    timers.set(atMs, [...(timers.get(atMs) ?? []), action])
  }

  /** The entries that reach each other in the partition. */
  const partOf = (entry: Entry) => {
    const at = fleet.indexOf(entry)
    const isIsolated = at % ZONES.length === 0 && at / ZONES.length < (schedule.isolatedEntries ?? 0)
    return isIsolated ? entry.info.nodeId : schedule.isWithinZone === true ? 'rest' : entry.info.zone
  }
  const isCut = () => schedule.partitionMs !== undefined && now() >= schedule.partitionMs.from && now() < schedule.partitionMs.to
  /** Whether an entry has noticed the partition; each one does in its own time. */
  const hasNoticedCut = (entry: Entry) => {
    if (schedule.partitionMs === undefined) return false
    const noticeMs = 7 * fleet.indexOf(entry) % ZONE_LOAD_MS
    return now() >= schedule.partitionMs.from + SILENCE_MS + noticeMs && now() < schedule.partitionMs.to + noticeMs
  }
  const knows = (entry: Entry, other: Entry) => {
    if (entry === other) return true
    if (entry.knowsFromMs > now() || other.knownFromMs > now()) return false
    if (hasNoticedCut(entry) && partOf(other) !== partOf(entry)) return false
    const silentSinceMs = other.goneSinceMs ?? (other.pausedUntilMs > now() ? other.pausedSinceMs : undefined)
    return silentSinceMs === undefined || now() - silentSinceMs < SILENCE_MS
  }
  const isLive = ({ goneSinceMs, pausedUntilMs }: Entry) => goneSinceMs === undefined && pausedUntilMs <= now()

  const peersRunningAt = (entry: Entry, workerId: string) => {
    let sum = 0
    for (const [other, running] of entry.loads) if (knows(entry, other)) sum += running[workerId] ?? 0
    return sum
  }
  const startCores = (entry: Entry) => {
    entry.limits = createWorkerLimits({
      clock, random, ownNodeId: entry.info.nodeId, entries: () => fleet.filter(other => knows(entry, other)).map(({ info }) => info), isWorkerKnown: () => true, warmUpOf: () => warmUp
    })
    entry.placement = createWorkerPlacement({
      clock,
      random,
      ownZone: entry.info.zone,
      workers,
      peersRunningAt: workerId => peersRunningAt(entry, workerId),
      slowdownOf: () => 1,
      permissionOf: worker => usesPermits ? entry.limits.permissionOf(worker) : WorkerPermission.Unlimited,
      isCold: worker => usesPermits && entry.limits.coldLeftMs(worker) > 0
    })
    entry.waitingUntilMs = []
    entry.queued = []
    entry.loads = new Map()
  }
  const fleet: Entry[] = Array.from({ length: schedule.entries }, (_, at) => ({
    info: { nodeId: `e${at}`, zone: ZONES[at % ZONES.length]!, address: `e${at}` }, weight: 0.2 + random.next() ** 2, knownFromMs: 0, knowsFromMs: 0, goneSinceMs: undefined, pausedUntilMs: 0, pausedSinceMs: 0
  }) as unknown as Entry)
  fleet.forEach(startCores)
  const weightSum = fleet.reduce((sum, { weight }) => sum + weight, 0)

  const deliver = (entry: Entry, action: () => void) => {
    if (entry.goneSinceMs !== undefined) return
    if (isLive(entry)) action()
    else entry.queued.push(action)
  }
  const post = (from: Entry, to: Entry, action: () => void) => {
    const isLost = random.next() < schedule.lossShare || (isCut() && partOf(from) !== partOf(to))
    if (!isLost) after(random.int(DELAY_MS.min, DELAY_MS.max), () => deliver(to, action))
  }
  const handle = (entry: Entry, message: WorkerLimitsMessage) => {
    const postTo = (address: string, sent: WorkerLimitsMessage) => {
      const to = fleet.find(({ info }) => info.address === address)!
      post(entry, to, () => handle(to, sent))
    }
    const performers: HandlerTable<WorkerLimitsEffect, void> = {
      [WorkerLimitsEffectKind.SendRequest]: ({ address, request }) =>
        postTo(address, { kind: WorkerLimitsMessageKind.PermitsRequested, request, fromAddress: entry.info.address }),
      [WorkerLimitsEffectKind.SendAnswer]: ({ address, answer }) => postTo(address, { kind: WorkerLimitsMessageKind.PermitsAnswered, answer }),
      [WorkerLimitsEffectKind.LimitChanged]: () => {},
      [WorkerLimitsEffectKind.ColdChanged]: () => {},
      [WorkerLimitsEffectKind.PermitsChanged]: () => {}
    }
    for (const effect of entry.limits.handle(message)) dispatch(performers, effect)
  }

  const reportLoad = (entry: Entry, isToOtherZones: boolean) => {
    const running = entry.placement.ownRunning()
    for (const other of fleet) {
      const isOtherZone = other.info.zone !== entry.info.zone
      if (other !== entry && isOtherZone === isToOtherZones) post(entry, other, () => { other.loads.set(entry, running) })
    }
  }
  const coldSinceMs = new Map<string, number>()
  const isCold = (workerId: string) => now() - (coldSinceMs.get(workerId) ?? -Infinity) < schedule.coldMs
  const send = (entry: Entry, worker: Worker) => {
    const { workerId } = worker
    const { placement } = entry
    entry.limits.usePermit(worker)
    placement.recordSent(workerId)
    reportLoad(entry, false)
    after(random.int(ARRIVAL_MS.min, ARRIVAL_MS.max), () => {
      if (isCold(workerId)) arrivalsMs.set(workerId, [...(arrivalsMs.get(workerId) ?? []), now()])
    })
    after(schedule.serviceMs, () => placement.recordEnded(workerId))
  }
  const placeWaiting = (entry: Entry) => {
    entry.waitingUntilMs = entry.waitingUntilMs.filter(untilMs => {
      const { worker, wanted } = entry.placement.place({ service: SERVICE, triedWorkerIds: [], serviceLimit: undefined, slotsFactor: 1 })
      if (wanted !== undefined) handle(entry, { kind: WorkerLimitsMessageKind.PermitWanted, worker: wanted })
      if (worker !== undefined) send(entry, worker)
      return worker === undefined && untilMs > now()
    })
  }

  const registrations: WorkerRegistration[] = Array.from({ length: schedule.workers }, (_, at) => ({
    workerId: `w${at}`, startedAtUnixMs: 1, service: SERVICE, address: `10.0.0.1:${at + 1}`, zone: ZONES[schedule.isZoneInBlocks === true ? Math.floor(at * ZONES.length / schedule.workers) : at % ZONES.length]!, slots: schedule.slots, isDraining: false, heartbeat: 1, storePosition: { era: 1, offset: 1 }
  }))
  workers.replaceAll(registrations)
  let nextOffset = 2
  const records = new Map<string, WorkerRegistration>()
  const readRecord = (entry: Entry, registration: WorkerRegistration) => handle(entry, { kind: WorkerLimitsMessageKind.WorkerRead, registration })
  /** Writes the record of a worker, which each entry reads in its own time. */
  const writeRecord = (registration: WorkerRegistration, leftMs: number) => {
    const record = { ...registration, storePosition: { era: 1, offset: nextOffset++ }, coldLeftMs: leftMs }
    records.set(record.workerId, record)
    for (const entry of fleet) after(random.int(0, schedule.recordDelayMaxMs), () => deliver(entry, () => readRecord(entry, record)))
  }
  const updateWorkers = () => {
    const sinceMs = now() - schedule.coldFromMs
    if (sinceMs < 0) return
    const inCycleMs = sinceMs % schedule.coldEveryMs
    for (const registration of registrations.slice(0, schedule.coldWorkers)) {
      if (inCycleMs === 0) coldSinceMs.set(registration.workerId, now())
      if (inCycleMs < schedule.coldMs && inCycleMs % HEARTBEAT_MS === 0) writeRecord(registration, schedule.coldMs - inCycleMs)
    }
  }

  const restart = (entry: Entry) => {
    entry.goneSinceMs = undefined
    entry.knowsFromMs = now() + random.int(50, REPORT_MS)
    entry.knownFromMs = now() + random.int(50, REPORT_MS)
    startCores(entry)
    // An entry has listed the workers before it is ready.
    records.forEach(record => readRecord(entry, record))
  }
  const resume = (entry: Entry) => {
    if (entry.pausedUntilMs - entry.pausedSinceMs > SILENCE_MS) entry.knowsFromMs = now() + random.int(50, REPORT_MS)
    entry.knownFromMs = entry.knowsFromMs
    entry.pausedUntilMs = 0
    // What has waited in the sockets of the process comes before its timers.
    entry.queued.splice(0).forEach(action => action())
    placeWaiting(entry)
  }
  const pickDisturbed = () => {
    const issuerZone = registrations[0]!.zone
    return random.pick(schedule.disturbsIssuers === true ? fleet.filter(({ info }) => info.zone === issuerZone) : fleet)
  }
  const disturb = () => {
    for (const entry of fleet) {
      if (entry.goneSinceMs !== undefined && now() - entry.goneSinceMs >= RESTART_MS) restart(entry)
      if (entry.pausedUntilMs > 0 && isLive(entry)) resume(entry)
    }
    if (random.next() < schedule.restartsPerS * STEP_MS / 1_000) pickDisturbed().goneSinceMs ??= now()
    if (random.next() < schedule.pausesPerS * STEP_MS / 1_000) {
      const entry = pickDisturbed()
      if (!isLive(entry)) return
      entry.pausedSinceMs = now()
      entry.pausedUntilMs = now() + random.int(300, 4_000)
    }
  }

  while (now() < schedule.durationMs) {
    clock.advance(STEP_MS)
    disturb()
    updateWorkers()
    for (const action of timers.get(now()) ?? []) action()
    timers.delete(now())
    fleet.forEach((entry, at) => {
      const arrivesNow = random.next() < schedule.demandPerS * entry.weight / weightSum * STEP_MS / 1_000
      if (arrivesNow && entry.goneSinceMs === undefined) entry.waitingUntilMs.push(now() + QUEUE_WAIT_MS)
      if (!isLive(entry)) return
      if ((now() + at * STEP_MS) % TICK_MS === 0) handle(entry, { kind: WorkerLimitsMessageKind.Tick })
      placeWaiting(entry)
      if ((now() + at * STEP_MS) % (ZONE_LOAD_MS / 2) === 0) reportLoad(entry, false)
      if ((now() + at * STEP_MS) % ZONE_LOAD_MS === 0) reportLoad(entry, true)
    })
  }
  return arrivalsMs
}

/** The most arrivals in any second that begins with one. */
export const mostInSecond = (arrivalsMs: readonly number[]): number => {
  const sorted = [...arrivalsMs].sort((a, b) => a - b)
  let end = 0
  return Math.max(0, ...sorted.map((startMs, at) => {
    while (end < sorted.length && sorted[end]! < startMs + 1_000) end += 1
    return end - at
  }))
}
