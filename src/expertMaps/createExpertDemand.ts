import type { Clock, TimestampMs } from '../core/index.js'

/** Recent demand by set and expert. */
export interface ExpertDemand {
  /** Adds choices by set and expert. */
  note (choices: readonly (readonly number[])[]): void
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
  let fadedAtMs: TimestampMs = clock.nowMs()

  const fade = () => {
    const nowMs = clock.nowMs()
    const factor = 0.5 ** ((nowMs - fadedAtMs) / DEMAND_HALF_LIFE_MS)
    fadedAtMs = nowMs
    loads = loads.map(set => set.map(load => load * factor))
  }

  return {
    note: choices => {
      fade()
      choices.forEach((set, setAt) => {
        const sums = loads[setAt] ??= set.map(() => 0)
        set.forEach((count, expert) => { sums[expert]! += count })
      })
    },
    loads: () => {
      fade()
      return loads
    },
    total: () => {
      fade()
      return loads.reduce((sum, set) => sum + set.reduce((setSum, load) => setSum + load, 0), 0)
    }
  }
}
