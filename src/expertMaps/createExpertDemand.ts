import type { Clock, TimestampMs } from '../core/index.js'

/** Recent demand for experts, by expert set and expert, as an exponentially decayed count. */
export interface ExpertDemand {
  /** Adds counts of choices by set and expert. */
  record (choices: readonly (readonly number[])[]): void
  /** Decayed counts of choices by set and expert. */
  loads (): number[][]
  total (): number
}

/** Half-life of the recorded demand, which shifts within seconds. */
export const DEMAND_HALF_LIFE_MS = 500

/**
 * Creates the demand record of one group.
 *
 * @example
 * const demand = createExpertDemand({ clock })
 * demand.record([[512, 8]])
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
      if (choices.length === 0) return
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
