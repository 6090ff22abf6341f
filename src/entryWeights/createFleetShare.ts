import type { Clock, TimestampMs } from '../core/index.js'
import { FLEET_ENTRIES_MIN, FLEET_HOLD_BUCKETS, FLEET_HOLD_MS, SHARE_SETTLE_FACTOR, SHARE_SETTLE_MS } from './constants.js'

export interface FleetShareOptions {
  clock: Clock
  /** Capacity of this entry. */
  ownCapacity: () => number
  /** Capacities of all other live entries that are known. */
  otherCapacities: () => readonly number[]
  /** Whether the settings name other entries, so that one that knows none yet is not alone. */
  expectsOthers: boolean
}

/** The share of one entry in budgets of the whole fleet. */
export interface FleetShare {
  /** Records the entries that are known now; called often, so that no large view is missed. */
  observe (): void
  /** Between 0 and 1. The shares of entries that have all known the whole fleet add up to at most 1. */
  current (): number
}

const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0)

/**
 * Creates the share of one entry: its capacity over the largest capacity of the fleet that it has known for some time. An entry
 * that loses sight of others keeps its share, because they may be cut off from it and use theirs.
 *
 * @example
 * const share = createFleetShare({ clock, ownCapacity: () => 0.46, otherCapacities: () => [1.35, 0.9], expectsOthers: true })
 * share.current()
 */
export const createFleetShare = ({ clock, ownCapacity, otherCapacities, expectsOthers }: FleetShareOptions): FleetShare => {
  const startedMs = clock.nowMs()
  const bucketMs = FLEET_HOLD_MS / FLEET_HOLD_BUCKETS
  /** The largest capacity known in each of the last intervals. */
  let totals: { startMs: TimestampMs, total: number }[] = []

  const observe = () => {
    const capacities = [ownCapacity(), ...otherCapacities()]
    const known = sum(capacities)
    // A part of the fleet must not use the whole budget before it knows the rest.
    const total = Math.max(known, known / capacities.length * FLEET_ENTRIES_MIN)
    const nowMs = clock.nowMs()
    totals = totals.filter(({ startMs }) => nowMs - startMs < FLEET_HOLD_MS)
    const last = totals.at(-1)
    if (last !== undefined && nowMs - last.startMs < bucketMs) last.total = Math.max(last.total, total)
    else totals.push({ startMs: nowMs, total })
  }

  return {
    observe,
    current: () => {
      observe()
      const share = ownCapacity() / Math.max(...totals.map(({ total }) => total))
      return expectsOthers && clock.nowMs() - startedMs < SHARE_SETTLE_MS ? share * SHARE_SETTLE_FACTOR : share
    }
  }
}
