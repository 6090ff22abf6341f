/** One measured figure; `baseline` is the naive version measured in the same run. */
export interface Figure {
  suite: string
  figure: string
  unit: string
  baseline: number | null
  value: number
  seed: number
  /** Stated target, with the direction in which the value must lie. */
  target?: { max: number } | { min: number }
  note?: string
}

/** A suite measures its figures for one seed. */
export type Suite = (options: { seed: number }) => Promise<Figure[]>

/**
 * Returns the value below which the given share of samples lies (nearest rank).
 *
 * @example
 * percentile([1, 2, 3, 4], 0.5) // 2
 */
export const percentile = (samples: readonly number[], share: number): number => {
  if (samples.length === 0) return Number.NaN
  const sorted = [...samples].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.max(0, Math.ceil(share * sorted.length) - 1))]!
}

/** Arithmetic mean; NaN without samples. */
export const mean = (samples: readonly number[]): number =>
  samples.reduce((sum, sample) => sum + sample, 0) / samples.length

/** Whether a figure lies on the right side of its target; true without a target. */
export const meetsTarget = ({ target, value }: Figure): boolean => {
  if (target === undefined) return true
  return 'max' in target ? value <= target.max : value >= target.min
}

/**
 * Least-squares line through points, for values worked out at a size that can't be run here.
 *
 * @example
 * const { at } = fitLine([[18, 900], [36, 960], [72, 1080]])
 * at(340)
 */
export const fitLine = (points: ReadonlyArray<readonly [number, number]>) => {
  const meanX = mean(points.map(([x]) => x))
  const meanY = mean(points.map(([, y]) => y))
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0)
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
  const slope = variance === 0 ? 0 : covariance / variance
  const intercept = meanY - slope * meanX
  return { slope, intercept, at: (x: number) => intercept + slope * x }
}
