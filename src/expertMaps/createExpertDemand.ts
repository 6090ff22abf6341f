import type { Clock, TimestampMs } from '../core/index.js'

/** Recent demand by set and expert. */
export interface ExpertDemand {
  /** Adds choices by set and expert. */
  record (choices: readonly (readonly number[])[]): void
  /** Choices by set and expert; older ones count less. */
  loads (): number[][]
  total (): number
}

/** Demand loses half of its weight in this time; it moves within seconds. */
export const DEMAND_HALF_LIFE_MS = 500

/**
 * Creates the account of one group.
 *
 * @example
 * const demand = createExpertDemand({ clock })
 * demand.note([[512, 8]])
 */
export const createExpertDemand = ({ clock }: { clock: Clock }): ExpertDemand => {
  let loads: number[][] = []
  let decayedAtMs: TimestampMs = clock.nowMs()

  const decay = () => {
    const nowMs = clock.nowMs()
    const factor = 0.5 ** ((nowMs - decayedAtMs) / DEMAND_HALF_LIFE_MS)
    decayedAtMs = nowMs
    loads = loads.map(set => set.map(load => load * factor))
  }

  return {
    record: choices => {
      decay()
      choices.forEach((set, setIndex) => {
        const sums = loads[setIndex] ??= set.map(() => 0)
        set.forEach((count, expert) => { sums[expert]! += count })
      })
    },
    loads: () => {
      decay()
      return loads
    },
    total: () => {
      decay()
      return loads.reduce((sum, set) => sum + set.reduce((setSum, load) => setSum + load, 0), 0)
    }
  }
}
