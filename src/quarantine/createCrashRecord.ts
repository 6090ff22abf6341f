import { createHash } from 'node:crypto'
import type { Clock, TimestampMs } from '../core/index.js'

/** Identity of what a request does: the same for all its attempts, whatever ids they bear. */
export type RequestFingerprint = string

/** A run of a worker, which ends when the worker crashes or starts again. */
export interface WorkerRun {
  workerId: string
  startedAtUnixMs: number
}

/** Runs of workers that a request has crashed, by fingerprint. */
export type CrashesByRequest = Record<RequestFingerprint, string[]>

/** A lost answer counts as a crash if its worker shows to be down within this time. */
export const CRASH_CONFIRM_MS = 8_000
/** A request that has crashed this many runs of workers, and was answered by none, is stopped. */
export const CRASHES_MAX = 3
/** A request that has not crashed a worker for this time may run again. */
export const CRASH_KEEP_MS = 120_000
/** Fingerprints that are kept; those with the oldest crashes give way. */
export const CRASH_FINGERPRINTS_MAX = 256
/** Fingerprints in one report to the other entries, which must fit into a datagram. */
export const CRASH_REPORT_MAX = 24

const FINGERPRINT_DIGITS = 16

/**
 * Hashes what makes two requests the same work.
 *
 * @example
 * fingerprintRequest({ method: 'GET', path: '/quotes/7', tenant: 'acme', body })
 */
export const fingerprintRequest = (
  { method, path, tenant, body }: { method: string, path: string, tenant: string | undefined, body: Uint8Array }
): RequestFingerprint =>
  createHash('sha1').update(JSON.stringify([method, path, tenant ?? ''])).update(body).digest('hex').slice(0, FINGERPRINT_DIGITS)

interface CrashHistory {
  crashedRuns: Set<string>
  /** Runs that crashed although the request can be answered; reports of others must not bring them back. */
  clearedRuns: Set<string>
  crashedAtMs: TimestampMs
}

interface LostResponse { fingerprint: RequestFingerprint, atMs: TimestampMs }

/** Which requests have crashed which workers, as one entry and its peers have seen it. */
export interface CrashRecord {
  /** False while nothing is known; then fingerprints need not be computed. */
  readonly isEmpty: boolean
  /** An answer was lost after its request had left. */
  noteLost (run: WorkerRun, fingerprint: RequestFingerprint): void
  /** The run is over or its worker cannot be reached. Returns the fingerprints that a crash was added to. */
  noteDown (run: WorkerRun): RequestFingerprint[]
  /** The request was answered, so it is not what crashed its workers. */
  noteAnswered (fingerprint: RequestFingerprint): void
  /** Adds what a peer has seen. */
  notePeer (crashes: CrashesByRequest): void
  isStopped (fingerprint: RequestFingerprint): boolean
  /** The newest crashes, for the reports to peers. */
  newest (): CrashesByRequest
}

const runIdOf = ({ workerId, startedAtUnixMs }: WorkerRun) => `${workerId}/${startedAtUnixMs}`

/**
 * Creates the record of one entry. Each crash takes many innocent requests with it; they are told apart
 * by being answered elsewhere.
 *
 * @example
 * const crashes = createCrashRecord({ clock })
 * crashes.noteLost(worker, fingerprint)
 * crashes.noteDown(worker)
 */
export const createCrashRecord = ({ clock }: { clock: Clock }): CrashRecord => {
  const histories = new Map<RequestFingerprint, CrashHistory>()
  const lostByRun = new Map<string, LostResponse[]>()

  const expire = () => {
    const nowMs = clock.nowMs()
    for (const [fingerprint, { crashedAtMs }] of histories) if (nowMs - crashedAtMs > CRASH_KEEP_MS) histories.delete(fingerprint)
    for (const [runId, lost] of lostByRun) {
      const recent = lost.filter(({ atMs }) => nowMs - atMs <= CRASH_CONFIRM_MS)
      if (recent.length > 0) lostByRun.set(runId, recent)
      else lostByRun.delete(runId)
    }
  }

  const addCrash = (fingerprint: RequestFingerprint, runId: string): boolean => {
    const history = histories.get(fingerprint) ?? { crashedRuns: new Set(), clearedRuns: new Set(), crashedAtMs: clock.nowMs() }
    if (history.crashedRuns.has(runId) || history.clearedRuns.has(runId)) return false
    history.crashedRuns.add(runId)
    history.crashedAtMs = clock.nowMs()
    // Insertion order is the order of the last crash.
    histories.delete(fingerprint)
    histories.set(fingerprint, history)
    const [oldest] = histories.keys()
    if (histories.size > CRASH_FINGERPRINTS_MAX && oldest !== undefined) histories.delete(oldest)
    return true
  }

  return {
    get isEmpty () { return histories.size === 0 },
    noteLost: (run, fingerprint) => {
      expire()
      const runId = runIdOf(run)
      lostByRun.set(runId, [...lostByRun.get(runId) ?? [], { fingerprint, atMs: clock.nowMs() }])
    },
    noteDown: run => {
      expire()
      const runId = runIdOf(run)
      const lost = lostByRun.get(runId) ?? []
      lostByRun.delete(runId)
      return lost.map(({ fingerprint }) => fingerprint).filter(fingerprint => addCrash(fingerprint, runId))
    },
    noteAnswered: fingerprint => {
      const history = histories.get(fingerprint)
      if (history === undefined) return
      for (const runId of history.crashedRuns) history.clearedRuns.add(runId)
      history.crashedRuns.clear()
    },
    notePeer: crashes => {
      for (const [fingerprint, runIds] of Object.entries(crashes)) runIds.forEach(runId => addCrash(fingerprint, runId))
    },
    isStopped: fingerprint => {
      expire()
      return (histories.get(fingerprint)?.crashedRuns.size ?? 0) >= CRASHES_MAX
    },
    newest: () => {
      expire()
      const crashed = [...histories].filter(([, { crashedRuns }]) => crashedRuns.size > 0).slice(-CRASH_REPORT_MAX)
      return Object.fromEntries(crashed.map(([fingerprint, { crashedRuns }]) => [fingerprint, [...crashedRuns]]))
    }
  }
}
