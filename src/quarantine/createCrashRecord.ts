import { createHash } from 'node:crypto'
import type { Clock, TimestampMs } from '../core/index.js'

/** Hash of the content of a request; equal for all its attempts, whatever their ids. */
export type RequestFingerprint = string

/** One run of a worker process, which ends when the worker crashes or restarts. */
export interface WorkerRun {
  workerId: string
  startedAtUnixMs: number
}

/** Ids of the worker runs that crashed while a request was in flight, by the fingerprint of the request. */
export type CrashesByRequest = Record<RequestFingerprint, string[]>

/** A lost response counts as a crash if its worker is found to be down within this time. */
export const CRASH_CONFIRM_MS = 8_000
/** A request that has crashed this many worker runs without ever getting a response is blocked. */
export const CRASHES_MAX = 3
/** Time without a further crash after which a blocked request may run again. */
export const CRASH_KEEP_MS = 120_000
/** Maximum number of fingerprints kept; those with the oldest crashes are evicted. */
export const CRASH_FINGERPRINTS_MAX = 256
/** Maximum number of fingerprints in one report to the other entries, which must fit into a datagram. */
export const CRASH_REPORT_MAX = 24

const FINGERPRINT_DIGITS = 16

/**
 * Returns the fingerprint of a request: a hash of its method, path, tenant and body.
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
  /**
   * Runs whose crash the request did not cause, as it got a response afterwards. They are kept, so that
   * reports of peers do not add them again.
   */
  clearedRuns: Set<string>
  crashedAtMs: TimestampMs
}

interface LostResponse { fingerprint: RequestFingerprint, atMs: TimestampMs }

/** Records which requests crashed which worker runs, as observed by one entry and its peers. */
export interface CrashRecord {
  /** True while no crashes are recorded; fingerprints need not be computed then. */
  readonly isEmpty: boolean
  /** Records that a response was lost after its request was sent. */
  recordLost (run: WorkerRun, fingerprint: RequestFingerprint): void
  /** Records that a run ended or its worker is unreachable. Returns the fingerprints to which a crash was added. */
  recordDown (run: WorkerRun): RequestFingerprint[]
  /** Records that the request got a response, so it did not cause the earlier crashes. */
  recordResponse (fingerprint: RequestFingerprint): void
  /** Adds the crashes that a peer reported. */
  mergePeerCrashes (crashes: CrashesByRequest): void
  isBlocked (fingerprint: RequestFingerprint): boolean
  /** Returns the newest crashes, for the reports to peers. */
  newestCrashes (): CrashesByRequest
}

const runIdOf = ({ workerId, startedAtUnixMs }: WorkerRun) => `${workerId}/${startedAtUnixMs}`

/**
 * Creates the crash record of one entry. A crash also fails many requests that did not cause it; these are
 * cleared once they get a response from another run.
 *
 * @example
 * const crashes = createCrashRecord({ clock })
 * crashes.recordLost(worker, fingerprint)
 * crashes.recordDown(worker)
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
    // Reinserted, so that the map is ordered by the time of the last crash.
    histories.delete(fingerprint)
    histories.set(fingerprint, history)
    const [oldest] = histories.keys()
    if (histories.size > CRASH_FINGERPRINTS_MAX && oldest !== undefined) histories.delete(oldest)
    return true
  }

  return {
    get isEmpty () { return histories.size === 0 },
    recordLost: (run, fingerprint) => {
      expire()
      const runId = runIdOf(run)
      lostByRun.set(runId, [...lostByRun.get(runId) ?? [], { fingerprint, atMs: clock.nowMs() }])
    },
    recordDown: run => {
      expire()
      const runId = runIdOf(run)
      const lost = lostByRun.get(runId) ?? []
      lostByRun.delete(runId)
      return lost.map(({ fingerprint }) => fingerprint).filter(fingerprint => addCrash(fingerprint, runId))
    },
    recordResponse: fingerprint => {
      const history = histories.get(fingerprint)
      if (history === undefined) return
      for (const runId of history.crashedRuns) history.clearedRuns.add(runId)
      history.crashedRuns.clear()
    },
    mergePeerCrashes: crashes => {
      for (const [fingerprint, runIds] of Object.entries(crashes)) runIds.forEach(runId => addCrash(fingerprint, runId))
    },
    isBlocked: fingerprint => {
      expire()
      return (histories.get(fingerprint)?.crashedRuns.size ?? 0) >= CRASHES_MAX
    },
    newestCrashes: () => {
      expire()
      const crashed = [...histories].filter(([, { crashedRuns }]) => crashedRuns.size > 0).slice(-CRASH_REPORT_MAX)
      return Object.fromEntries(crashed.map(([fingerprint, { crashedRuns }]) => [fingerprint, [...crashedRuns]]))
    }
  }
}
