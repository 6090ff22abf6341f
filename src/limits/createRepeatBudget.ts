import type { Clock } from '../core/index.js'

export interface RepeatBudgetSettings {
  /** Repeats allowed for each request of the service. */
  ratio: number
  windowMs: number
  /** Repeats allowed to the whole fleet in a window, beside the ratio. */
  fleetSlack: number
}

/** Repeats that one entry may send; all entries together stay below the limit of the fleet. */
export interface RepeatBudget {
  noteRequest (service: string): void
  /** Takes one repeat; false if the budget is used up. */
  take (service: string): boolean
}

/** The limit counts sliding windows over the whole fleet, and a part of it stays unused for what others see late. */
const SLACK_SHARE = 0.6
const RATIO_SHARE = 0.7
/** Fleet size that an entry assumes while it knows fewer peers; a part of the fleet must not take it all. */
const FLEET_ENTRIES_MIN = 12
const BUCKETS = 10

interface Window { requests: number[], retries: number[], bucketAt: number }

const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0)

/**
 * Creates the budget of one entry.
 *
 * @example
 * const budget = createRepeatBudget({ clock, settings, countEntries: () => 18 })
 * budget.noteRequest('quotes')
 * budget.take('quotes')
 */
export const createRepeatBudget = (
  { clock, settings, countEntries }: { clock: Clock, settings: () => RepeatBudgetSettings, countEntries: () => number }
): RepeatBudget => {
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
    noteRequest: service => {
      const window = currentWindow(service)
      window.requests[window.bucketAt % BUCKETS]! += 1
    },
    take: service => {
      const { ratio, fleetSlack } = settings()
      const window = currentWindow(service)
      const slack = fleetSlack * SLACK_SHARE / Math.max(FLEET_ENTRIES_MIN, countEntries())
      if (sum(window.retries) + 1 > sum(window.requests) * ratio * RATIO_SHARE + slack) return false
      window.retries[window.bucketAt % BUCKETS]! += 1
      return true
    }
  }
}
