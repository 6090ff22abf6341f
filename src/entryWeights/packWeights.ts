import { CAPACITY_DEFAULT, LoadStep } from './constants.js'
import type { EntryWeight } from './types.js'
import { toWeight } from './weightOf.js'

/** Weights of the entries of a list, in its order. A list with one value holds it for all; without a list, the default holds. */
export interface PackedWeights {
  capacities?: readonly number[]
  loadSteps?: readonly number[]
}

/** Summaries of zones with equal entries must not grow with their number. */
const pack = (values: readonly number[], fallback: number): readonly number[] | undefined => {
  const [first = fallback] = values
  if (values.some(value => value !== first)) return values
  return first === fallback ? undefined : [first]
}

/**
 * Packs the weights of a list of entries.
 *
 * @example
 * packWeights([{ capacity: 1, loadStep: LoadStep.Calm }, { capacity: 1, loadStep: LoadStep.Calm }]) // {}
 */
export const packWeights = (weights: readonly EntryWeight[]): PackedWeights => {
  const capacities = pack(weights.map(({ capacity }) => capacity), CAPACITY_DEFAULT)
  const loadSteps = pack(weights.map(({ loadStep }) => loadStep), LoadStep.Calm)
  return { ...(capacities === undefined ? {} : { capacities }), ...(loadSteps === undefined ? {} : { loadSteps }) }
}

const valueAt = (values: readonly number[] | undefined, at: number) => values?.length === 1 ? values[0] : values?.[at]

/** Returns the weight of the entry at a position of the list. */
export const unpackWeight = ({ capacities, loadSteps }: PackedWeights, at: number): EntryWeight =>
  toWeight({ capacity: valueAt(capacities, at), loadStep: valueAt(loadSteps, at) })
