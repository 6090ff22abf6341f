import type { Clock, TimestampMs } from '../../core/index.js'

/** How long requests have taken lately, by route. */
export interface RouteDurations {
  record (route: string, tookMs: number): void
  /** The longest of the last minutes; undefined if no request of the route has been served in that time. */
  longestMs (route: string): number | undefined
  /** When a request that starts now has most likely ended; its deadline if its route is not known. */
  expectedEndAtMs (route: string, deadlineAtMs: TimestampMs): TimestampMs
}

/** The longest requests of the current period and of the one before it count. */
export const DURATION_PERIOD_MS = 60_000
/** A request may take this much longer than the longest ones of its route lately. */
const DURATION_MARGIN = 1.5

interface Longest {
  periodStartMs: TimestampMs
  currentMs: number | undefined
  previousMs: number | undefined
}

/**
 * Creates the record of one entry.
 *
 * @example
 * const durations = createRouteDurations({ clock })
 * durations.record('quotes', 1_400)
 * durations.longestMs('quotes') // 1_400
 */
export const createRouteDurations = ({ clock }: { clock: Clock }): RouteDurations => {
  const byRoute = new Map<string, Longest>()

  /** Moves on to the current period. */
  const refresh = (longest: Longest) => {
    const elapsedMs = clock.nowMs() - longest.periodStartMs
    if (elapsedMs < DURATION_PERIOD_MS) return
    longest.previousMs = elapsedMs < 2 * DURATION_PERIOD_MS ? longest.currentMs : undefined
    longest.currentMs = undefined
    longest.periodStartMs = clock.nowMs()
  }

  const longestMs = (route: string): number | undefined => {
    const longest = byRoute.get(route)
    if (longest === undefined) return undefined
    refresh(longest)
    const knownMs = [longest.currentMs, longest.previousMs].filter(ms => ms !== undefined)
    return knownMs.length === 0 ? undefined : Math.max(...knownMs)
  }

  return {
    record: (route, tookMs) => {
      const longest = byRoute.get(route) ?? { periodStartMs: clock.nowMs(), currentMs: undefined, previousMs: undefined }
      byRoute.set(route, longest)
      refresh(longest)
      longest.currentMs = Math.max(longest.currentMs ?? 0, tookMs)
    },
    longestMs,
    expectedEndAtMs: (route, deadlineAtMs) => {
      const knownMs = longestMs(route)
      return knownMs === undefined ? deadlineAtMs : clock.nowMs() + knownMs * DURATION_MARGIN
    }
  }
}
