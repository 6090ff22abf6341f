import type { Clock } from '../core/index.js'

export interface FleetRetryBudgetSettings {
  /** Retries allowed for each request of the service. */
  ratio: number
  windowMs: number
  /** Retries allowed to the whole fleet in a window, in addition to the ratio. */
  fleetSlack: number
}

/** Bounds the retries of one entry, so that all entries together stay below the limit of the fleet. */
export interface FleetRetryBudget {
  recordRequest (service: string): void
  /** Consumes one retry; returns false if the budget is exhausted. */
  take (service: string): boolean
}

/**
 * Parts of the fleet's slack and ratio that the entries use. The limit applies to sliding windows over the
 * whole fleet; the unused part is a margin for requests and retries that are observed late elsewhere.
 */
const SLACK_SHARE = 0.6
const RATIO_SHARE = 0.7
/** Buckets of the sliding window. */
const BUCKETS = 10

interface Window { requests: number[], retries: number[], bucketAt: number }

const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0)

/**
 * Creates the budget of one entry. It counts requests and retries of each service in a sliding window.
 *
 * @example
 * const budget = createFleetRetryBudget({ clock, settings, shareOfFleet: () => 1 / 18 })
 * budget.recordRequest('quotes')
 * budget.take('quotes')
 */
export const createFleetRetryBudget = (
  /** `shareOfFleet` is the part of the fleet's slack that this entry may use. */
  { clock, settings, shareOfFleet }: { clock: Clock, settings: () => FleetRetryBudgetSettings, shareOfFleet: () => number }
): FleetRetryBudget => {
  const windows = new Map<string, Window>()

  const currentWindow = (service: string): Window => {
    const bucketAt = Math.floor(clock.nowMs() / (settings().windowMs / BUCKETS))
    const window = windows.get(service) ?? { requests: Array(BUCKETS).fill(0), retries: Array(BUCKETS).fill(0), bucketAt }
    for (let at = window.bucketAt + 1; at <= bucketAt && at <= window.bucketAt + BUCKETS; at++) {
      window.requests[at % BUCKETS] = 0
      window.retries[at % BUCKETS] = 0
    }
    window.bucketAt = bucketAt
    windows.set(service, window)
    return window
  }

  return {
    recordRequest: service => {
      const window = currentWindow(service)
      window.requests[window.bucketAt % BUCKETS]! += 1
    },
    take: service => {
      const { ratio, fleetSlack } = settings()
      const window = currentWindow(service)
      const slack = fleetSlack * SLACK_SHARE * shareOfFleet()
      if (sum(window.retries) + 1 > sum(window.requests) * ratio * RATIO_SHARE + slack) return false
      window.retries[window.bucketAt % BUCKETS]! += 1
      return true
    }
  }
}
