import type { GroupShape, PlanWeights } from '../../src/expertMaps/index.js'

/** Firms whose planner weights the benches use; each writes its own into its pool rows. */
export enum Firm {
  Fellesly = 'fellesly',
  Kpakpo = 'kpakpo'
}

/**
 * Planner weights by firm: Fellesly accepts more copies for a lower skew, Kpakpo more skew for fewer copies.
 */
export const WEIGHTS: Record<Firm, PlanWeights> = {
  [Firm.Fellesly]: { skewWeight: 4, moveWeight: 1, movesAtOnceMax: 2 },
  [Firm.Kpakpo]: { skewWeight: 1, moveWeight: 4, movesAtOnceMax: 2 }
}

const EXPERT_BYTES = 44_000_000

/** Group shapes by number of ranks; the largest is the size expected in two years. */
export const SHAPES: readonly GroupShape[] = [
  { ranks: 4, experts: 16, layers: 12, expertBytes: EXPERT_BYTES },
  { ranks: 16, experts: 64, layers: 24, expertBytes: EXPERT_BYTES },
  { ranks: 64, experts: 64, layers: 60, expertBytes: EXPERT_BYTES }
]
