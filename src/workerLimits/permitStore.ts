import type { Clock, TimestampMs } from '../core/index.js'
import type { WorkerRun } from '../membership/index.js'

/** The permits that an entry holds; each is for one request to one run of a worker. */
export interface PermitStore {
  add (run: WorkerRun, count: number, expiresAtMs: TimestampMs): void
  has (run: WorkerRun): boolean
  /** Uses one permit, if there is any. */
  use (run: WorkerRun): void
  expire (): void
}

interface HeldPermits {
  startedAtUnixMs: number
  /** Expiry of each permit, the earliest first. */
  expiresMs: TimestampMs[]
}

/**
 * Creates the permits of one entry.
 *
 * @example
 * const permits = createPermitStore({ clock })
 * permits.add(worker, 1, clock.nowMs() + 1_000)
 * permits.use(worker)
 */
export const createPermitStore = ({ clock }: { clock: Clock }): PermitStore => {
  const held = new Map<string, HeldPermits>()

  const validOf = ({ workerId, startedAtUnixMs }: WorkerRun): TimestampMs[] => {
    const known = held.get(workerId)
    if (known?.startedAtUnixMs !== startedAtUnixMs) return []
    known.expiresMs = known.expiresMs.filter(atMs => atMs > clock.nowMs())
    return known.expiresMs
  }

  return {
    add: (run, count, expiresAtMs) => {
      const expiresMs = [...validOf(run), ...Array<TimestampMs>(count).fill(expiresAtMs)].sort((a, b) => a - b)
      held.set(run.workerId, { startedAtUnixMs: run.startedAtUnixMs, expiresMs })
    },
    has: run => validOf(run).length > 0,
    use: run => { validOf(run).shift() },
    expire: () => {
      for (const [workerId, { startedAtUnixMs }] of held) if (validOf({ workerId, startedAtUnixMs }).length === 0) held.delete(workerId)
    }
  }
}
