import { type Clock, comparePositions, laterPosition, type LogPosition, type TimestampMs } from '../core/index.js'

export enum WorkerState {
  Serving = 'serving',
  /** The worker has announced that it is stopping; it gets no new requests. */
  Draining = 'draining',
  /**
   * Its registration is no longer in the store; it may register again if the store was unavailable
   * meanwhile. Used only if no other worker serves.
   */
  Missing = 'missing'
}

/** One run of a worker process, which ends when the worker crashes or restarts. */
export interface WorkerRun {
  workerId: string
  /** Start of this run, in Unix ms; a worker may restart with the same id. */
  startedAtUnixMs: number
}

/** Registration of a worker in the store, written by the worker. */
export interface WorkerRegistration extends WorkerRun {
  service: string
  /** `ip:port` */
  address: string
  zone: string
  slots: number
  isDraining: boolean
  /** How much longer the worker stays cold as of this record, in ms; undefined or 0 if it is warm. */
  coldLeftMs?: number
  /** Counts the heartbeats of the run; the record of the highest one is the newest. */
  heartbeat: number
  /** Position of the record in the store. */
  storePosition: LogPosition
}

export interface Worker extends WorkerRegistration {
  state: WorkerState
  missingSinceMs: TimestampMs | undefined
  /** Set if the store has lost the registration with an older copy: the worker counts as gone if it is not back by then. */
  awaitedUntilMs?: TimestampMs
}

/** A worker without a registration remains usable as a last resort for this time. */
export const MISSING_WORKER_GRACE_MS = 1_200
/** A run that has said it is leaving is remembered for this time; it ends long before. */
const LEAVING_KEEP_MS = 600_000
/** After an outage of the store, live workers register again within this time. */
export const STORE_RECOVERY_GRACE_MS = 2_200

/** Change of one worker, for the pools and the event log. */
export interface WorkerChange {
  workerId: string
  before: WorkerState | undefined
  after: WorkerState | undefined
  /** Start of the run that was known before the change. */
  startedAtUnixMs: number
  /** Whether that run has ended or is no longer registered. */
  isRunOver: boolean
}

/** The workers that this process has read from the store. */
export interface WorkerTable {
  /** Replaces all registrations; a worker that is not listed becomes missing. */
  replaceAll (registrations: readonly WorkerRegistration[]): WorkerChange[]
  /** Replaces all registrations by those of an older copy; a worker that is not listed has some time to register again. */
  restore (registrations: readonly WorkerRegistration[]): WorkerChange[]
  put (registration: WorkerRegistration): WorkerChange[]
  remove (workerId: string): WorkerChange[]
  /** Records that a worker has said in a response that it is leaving; it counts as draining, whatever the store says. */
  recordLeaving (run: WorkerRun): WorkerChange[]
  /** Starts the grace period for workers whose registrations expired during the outage to register again. */
  recordStoreRecovered (): void
  /** Removes workers that have been missing for too long; expected every few hundred ms. */
  tick (): WorkerChange[]
  get (workerId: string): Worker | undefined
  /** Serving workers of a service outside evacuated failure domains, or its missing ones if none serves there. */
  usable (service: string): Worker[]
  /** Whether no worker of a service is usable, and some would be if their failure domains were not evacuated. */
  isAllEvacuated (service: string): boolean
  all (): Worker[]
}

export interface WorkerTableOptions {
  clock: Clock
  /** Whether the workers of a failure domain get no further requests. */
  isEvacuated?: (zone: string) => boolean
}

/**
 * Creates the table.
 *
 * @example
 * const table = createWorkerTable({ clock, isEvacuated })
 * table.put(registration)
 * table.usable('quotes')
 */
export const createWorkerTable = ({ clock, isEvacuated = () => false }: WorkerTableOptions): WorkerTable => {
  const workers = new Map<string, Worker>()
  let recoveredAtMs = -STORE_RECOVERY_GRACE_MS

  const leavingRuns = new Map<string, { startedAtUnixMs: number, saidAtMs: TimestampMs }>()

  const isLeaving = ({ workerId, startedAtUnixMs }: WorkerRun) => leavingRuns.get(workerId)?.startedAtUnixMs === startedAtUnixMs

  const forgetLeaving = () => {
    for (const [workerId, { saidAtMs }] of leavingRuns) if (clock.nowMs() - saidAtMs > LEAVING_KEEP_MS) leavingRuns.delete(workerId)
  }

  const put = (registration: WorkerRegistration): WorkerChange[] => {
    const known = workers.get(registration.workerId)
    const state = registration.isDraining || isLeaving(registration) ? WorkerState.Draining : WorkerState.Serving
    workers.set(registration.workerId, { ...registration, state, missingSinceMs: undefined })
    const isRestart = known !== undefined && known.startedAtUnixMs !== registration.startedAtUnixMs
    const startedAtUnixMs = known?.startedAtUnixMs ?? registration.startedAtUnixMs
    return known?.state === state && !isRestart
      ? []
      : [{ workerId: registration.workerId, before: known?.state, after: state, startedAtUnixMs, isRunOver: isRestart }]
  }

  const remove = (workerId: string): WorkerChange[] => {
    const known = workers.get(workerId)
    if (known === undefined || known.state === WorkerState.Missing) return []
    // A draining worker that is no longer registered has stopped as announced.
    if (known.state === WorkerState.Draining) {
      workers.delete(workerId)
      return [{ workerId, before: known.state, after: undefined, startedAtUnixMs: known.startedAtUnixMs, isRunOver: true }]
    }
    workers.set(workerId, { ...known, state: WorkerState.Missing, missingSinceMs: clock.nowMs(), awaitedUntilMs: undefined })
    return [{ workerId, before: known.state, after: WorkerState.Missing, startedAtUnixMs: known.startedAtUnixMs, isRunOver: true }]
  }

  const isExpired = ({ state, missingSinceMs }: Worker) => {
    const nowMs = clock.nowMs()
    return state === WorkerState.Missing && nowMs - (missingSinceMs ?? 0) > MISSING_WORKER_GRACE_MS &&
      nowMs - recoveredAtMs > STORE_RECOVERY_GRACE_MS
  }

  /** The position of the last registration at each address. */
  const lastPositions = (): Map<string, LogPosition> => {
    const positions = new Map<string, LogPosition>()
    for (const { address, storePosition } of workers.values()) positions.set(address, laterPosition(positions.get(address), storePosition))
    return positions
  }

  /**
   * A worker that registered later with the same address has replaced an earlier one, whose registration expires only
   * after some heartbeats; a request for the earlier one would be refused.
   */
  const withoutReplaced = (candidates: readonly Worker[]) => {
    const positions = lastPositions()
    return candidates.filter(({ address, storePosition }) => comparePositions(storePosition, positions.get(address)!) >= 0)
  }

  const byService = (service: string, state: WorkerState) =>
    withoutReplaced([...workers.values()].filter(worker => worker.service === service && worker.state === state))

  const isOutside = ({ zone }: Worker) => !isEvacuated(zone)

  const usable = (service: string): Worker[] => {
    const serving = byService(service, WorkerState.Serving).filter(isOutside)
    return serving.length > 0 ? serving : byService(service, WorkerState.Missing).filter(isOutside)
  }

  const isKnown = (service: string) => byService(service, WorkerState.Serving).length > 0 || byService(service, WorkerState.Missing).length > 0

  const unlistedIn = (registrations: readonly WorkerRegistration[]): string[] => {
    const listed = new Set(registrations.map(({ workerId }) => workerId))
    return [...workers.keys()].filter(workerId => !listed.has(workerId))
  }

  const awaitRegistration = (workerId: string) => {
    const worker = workers.get(workerId)!
    if (worker.state !== WorkerState.Missing) worker.awaitedUntilMs = clock.nowMs() + STORE_RECOVERY_GRACE_MS
  }

  const removeAwaited = (): WorkerChange[] => [...workers.values()]
    .filter(({ awaitedUntilMs }) => awaitedUntilMs !== undefined && awaitedUntilMs <= clock.nowMs())
    .flatMap(({ workerId }) => remove(workerId))

  const removeNow = ({ workerId, state, startedAtUnixMs }: Worker): WorkerChange[] => {
    workers.delete(workerId)
    return [{ workerId, before: state, after: undefined, startedAtUnixMs, isRunOver: true }]
  }

  const removeExpired = (): WorkerChange[] => [...workers.values()].filter(isExpired).flatMap(removeNow)

  return {
    replaceAll: registrations => {
      const unlisted = unlistedIn(registrations)
      return [...registrations.flatMap(put), ...unlisted.flatMap(remove)]
    },
    restore: registrations => {
      unlistedIn(registrations).forEach(awaitRegistration)
      return registrations.flatMap(put)
    },
    put,
    remove,
    recordLeaving: run => {
      forgetLeaving()
      leavingRuns.set(run.workerId, { startedAtUnixMs: run.startedAtUnixMs, saidAtMs: clock.nowMs() })
      const known = workers.get(run.workerId)
      if (known === undefined || !isLeaving(known)) return []
      // A registration that has been removed meanwhile must not make the worker a last resort.
      return known.state === WorkerState.Missing ? removeNow(known) : put(known)
    },
    recordStoreRecovered: () => { recoveredAtMs = clock.nowMs() },
    tick: () => [...removeAwaited(), ...removeExpired()],
    get: workerId => workers.get(workerId),
    usable,
    isAllEvacuated: service => usable(service).length === 0 && isKnown(service),
    all: () => [...workers.values()]
  }
}
