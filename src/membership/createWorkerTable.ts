import type { Clock, TimestampMs } from '../core/index.js'

export enum WorkerState {
  Serving = 'serving',
  /** It has announced its end: no new requests. */
  Draining = 'draining',
  /** Its entry is gone; it may be back if the store was out meanwhile. Used only if nothing else serves. */
  Missing = 'missing'
}

/** One worker as it describes itself in the store. */
export interface WorkerEntry {
  workerId: string
  /** Start of this run, in Unix ms; a worker may start again under its id. */
  startedAtUnixMs: number
  service: string
  /** `ip:port` */
  address: string
  zone: string
  slots: number
  isDraining: boolean
}

export interface Worker extends WorkerEntry {
  state: WorkerState
  missingSinceMs: TimestampMs | undefined
}

/** A worker whose entry is gone serves as the last resort for this time. */
export const MISSING_USE_MS = 1_200
/** After an outage of the store entries of live workers come back within this time. */
export const REGAINED_GRACE_MS = 2_200

/** What changed by a message; the pools and the log follow it. */
export interface WorkerChange {
  workerId: string
  before: WorkerState | undefined
  after: WorkerState | undefined
  /** The run that was known before. */
  startedAtUnixMs: number
  /** That run has ended, or is no longer registered. */
  isRunOver: boolean
}

/** The workers that this process knows. */
export interface WorkerTable {
  /** Takes a full list: a worker that is not in it is missing. */
  replaceAll (entries: readonly WorkerEntry[]): WorkerChange[]
  put (entry: WorkerEntry): WorkerChange[]
  remove (workerId: string): WorkerChange[]
  /** Entries that lapsed during the outage may come back for a while from now on. */
  noteStoreRegained (): void
  /** Drops workers that have been missing for too long; expected every few hundred ms. */
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
 * table.put(entry)
 * table.usable('quotes')
 */
export const createWorkerTable = ({ clock }: { clock: Clock }): WorkerTable => {
  const workers = new Map<string, Worker>()
  let regainedAtMs = -REGAINED_GRACE_MS

  const put = (entry: WorkerEntry): WorkerChange[] => {
    const known = workers.get(entry.workerId)
    const state = entry.isDraining ? WorkerState.Draining : WorkerState.Serving
    workers.set(entry.workerId, { ...entry, state, missingSinceMs: undefined })
    const isRestart = known !== undefined && known.startedAtUnixMs !== entry.startedAtUnixMs
    const startedAtUnixMs = known?.startedAtUnixMs ?? entry.startedAtUnixMs
    return known?.state === state && !isRestart
      ? []
      : [{ workerId: entry.workerId, before: known?.state, after: state, startedAtUnixMs, isRunOver: isRestart }]
  }

  const remove = (workerId: string): WorkerChange[] => {
    const known = workers.get(workerId)
    if (known === undefined || known.state === WorkerState.Missing) return []
    // A draining worker that is gone has left as announced.
    if (known.state === WorkerState.Draining) {
      workers.delete(workerId)
      return [{ workerId, before: known.state, after: undefined, startedAtUnixMs: known.startedAtUnixMs, isRunOver: true }]
    }
    workers.set(workerId, { ...known, state: WorkerState.Missing, missingSinceMs: clock.nowMs() })
    return [{ workerId, before: known.state, after: WorkerState.Missing, startedAtUnixMs: known.startedAtUnixMs, isRunOver: true }]
  }

  const isOverdue = ({ state, missingSinceMs }: Worker) => {
    const nowMs = clock.nowMs()
    return state === WorkerState.Missing && nowMs - (missingSinceMs ?? 0) > MISSING_USE_MS &&
      nowMs - regainedAtMs > REGAINED_GRACE_MS
  }

  const byService = (service: string, state: WorkerState) =>
    [...workers.values()].filter(worker => worker.service === service && worker.state === state)

  return {
    replaceAll: entries => {
      const listed = new Set(entries.map(({ workerId }) => workerId))
      const gone = [...workers.keys()].filter(workerId => !listed.has(workerId))
      return [...entries.flatMap(put), ...gone.flatMap(remove)]
    },
    put,
    remove,
    noteStoreRegained: () => { regainedAtMs = clock.nowMs() },
    tick: () => [...workers.values()].filter(isOverdue).map(({ workerId, state, startedAtUnixMs }) => {
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
