import type { Clock, TimestampMs } from '../core/index.js'

/** Recent demand by set and expert, from counts that only grow. */
export interface ExpertDemand {
  note (rank: number, epoch: number, counts: readonly (readonly number[])[]): void
  /** Choices by set and expert; older ones count less. */
  loads (): number[][]
  total (): number
}

/** Demand loses half of its weight in this time; it moves within seconds. */
export const DEMAND_HALF_LIFE_MS = 900

/**
 * Creates the account of one group.
 *
 * @example
 * const demand = createExpertDemand({ clock })
 * demand.note(0, 1, [[5120, 88]])
 */
export const createExpertDemand = ({ clock }: { clock: Clock }): ExpertDemand => {
  const lastCounts = new Map<number, { epoch: number, counts: readonly (readonly number[])[] }>()
  let loads: number[][] = []
  let fadedAtMs: TimestampMs = clock.nowMs()

  const fade = () => {
    const nowMs = clock.nowMs()
    const factor = 0.5 ** ((nowMs - fadedAtMs) / DEMAND_HALF_LIFE_MS)
    fadedAtMs = nowMs
    loads = loads.map(set => set.map(load => load * factor))
  }

  return {
    note: (rank, epoch, counts) => {
      const last = lastCounts.get(rank)
      lastCounts.set(rank, { epoch, counts })
      if (last === undefined) return
      fade()
      counts.forEach((set, setAt) => {
        loads[setAt] ??= set.map(() => 0)
        set.forEach((count, expert) => {
          const before = last.counts[setAt]?.[expert] ?? 0
          // Counts start anew with a new run of the rank.
          loads[setAt]![expert]! += count >= before ? count - before : count
        })
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
