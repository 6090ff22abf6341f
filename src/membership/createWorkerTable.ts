import type { Clock, TimestampMs } from '../core/index.js'

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
  /** Offset of the record in the store. */
  storeOffset: number
}

export interface Worker extends WorkerRegistration {
  state: WorkerState
  missingSinceMs: TimestampMs | undefined
}

/** A worker without a registration remains usable as a last resort for this time. */
export const MISSING_WORKER_GRACE_MS = 1_200
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
  put (registration: WorkerRegistration): WorkerChange[]
  remove (workerId: string): WorkerChange[]
  /** Starts the grace period for workers whose registrations expired during the outage to register again. */
  recordStoreRecovered (): void
  /** Removes workers that have been missing for too long; expected every few hundred ms. */
  tick (): WorkerChange[]
  get (workerId: string): Worker | undefined
  /** Serving workers of a service, or its missing ones if none serves. */
  usable (service: string): Worker[]
  all (): Worker[]
}

/**
 * Creates the table.
 *
 * @example
 * const table = createWorkerTable({ clock })
 * table.put(registration)
 * table.usable('quotes')
 */
export const createWorkerTable = ({ clock }: { clock: Clock }): WorkerTable => {
  const workers = new Map<string, Worker>()
  let recoveredAtMs = -STORE_RECOVERY_GRACE_MS

  const put = (registration: WorkerRegistration): WorkerChange[] => {
    const known = workers.get(registration.workerId)
    const state = registration.isDraining ? WorkerState.Draining : WorkerState.Serving
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
    workers.set(workerId, { ...known, state: WorkerState.Missing, missingSinceMs: clock.nowMs() })
    return [{ workerId, before: known.state, after: WorkerState.Missing, startedAtUnixMs: known.startedAtUnixMs, isRunOver: true }]
  }

  const isExpired = ({ state, missingSinceMs }: Worker) => {
    const nowMs = clock.nowMs()
    return state === WorkerState.Missing && nowMs - (missingSinceMs ?? 0) > MISSING_WORKER_GRACE_MS &&
      nowMs - recoveredAtMs > STORE_RECOVERY_GRACE_MS
  }

  /** The offset of the last registration at each address. */
  const lastOffsets = (): Map<string, number> => {
    const offsets = new Map<string, number>()
    for (const { address, storeOffset } of workers.values()) offsets.set(address, Math.max(storeOffset, offsets.get(address) ?? -Infinity))
    return offsets
  }

  /**
   * A worker that registered later with the same address has replaced an earlier one, whose registration expires only
   * after some heartbeats; a request for the earlier one would be refused.
   */
  const withoutReplaced = (candidates: readonly Worker[]) => {
    const offsets = lastOffsets()
    return candidates.filter(({ address, storeOffset }) => storeOffset >= offsets.get(address)!)
  }

  const byService = (service: string, state: WorkerState) =>
    withoutReplaced([...workers.values()].filter(worker => worker.service === service && worker.state === state))

  return {
    replaceAll: registrations => {
      const listed = new Set(registrations.map(({ workerId }) => workerId))
      const unlisted = [...workers.keys()].filter(workerId => !listed.has(workerId))
      return [...registrations.flatMap(put), ...unlisted.flatMap(remove)]
    },
    put,
    remove,
    recordStoreRecovered: () => { recoveredAtMs = clock.nowMs() },
    tick: () => [...workers.values()].filter(isExpired).map(({ workerId, state, startedAtUnixMs }) => {
      workers.delete(workerId)
      return { workerId, before: state, after: undefined, startedAtUnixMs, isRunOver: true }
    }),
    get: workerId => workers.get(workerId),
    usable: service => {
      const serving = byService(service, WorkerState.Serving)
      return serving.length > 0 ? serving : byService(service, WorkerState.Missing)
    },
    all: () => [...workers.values()]
  }
}
