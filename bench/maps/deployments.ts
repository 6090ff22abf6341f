import type { GroupShape, PlanWeights } from '../../src/expertMaps/index.js'

/** Firms whose pool rows the benches use. */
export enum Firm {
  Fellesly = 'fellesly',
  Kpakpo = 'kpakpo'
}

/** Rows as the operators would write them: Fellesly pays for even steps, Kpakpo for quiet hosts. */
export const WEIGHTS: Record<Firm, PlanWeights> = {
  [Firm.Fellesly]: { skewWeight: 4, moveWeight: 1, movesAtOnceMax: 2 },
  [Firm.Kpakpo]: { skewWeight: 1, moveWeight: 4, movesAtOnceMax: 2 }
}

const EXPERT_BYTES = 44_000_000

/** Groups by number of ranks; the largest is the size expected in two years. */
export const SHAPES: readonly GroupShape[] = [
  { ranks: 4, experts: 16, layers: 12, expertBytes: EXPERT_BYTES },
  { ranks: 16, experts: 64, layers: 24, expertBytes: EXPERT_BYTES },
  { ranks: 64, experts: 64, layers: 60, expertBytes: EXPERT_BYTES }
]
