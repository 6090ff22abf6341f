/** One measured figure; `baseline` is the value of the naive version in the same run, or null without one. */
export interface Figure {
  suite: string
  figure: string
  unit: string
  baseline: number | null
  value: number
  seed: number
  /** Bound that the value must not exceed (`max`) or fall below (`min`). */
  target?: { max: number } | { min: number }
  note?: string
}

/** A suite measures its figures for one seed. */
export type Suite = (options: { seed: number }) => Promise<Figure[]>

/**
 * Returns the percentile of the samples for a share between 0 and 1, by the nearest-rank method.
 *
 * @example
 * percentile([1, 2, 3, 4], 0.5) // 2
 */
export const percentile = (samples: readonly number[], share: number): number => {
  if (samples.length === 0) return Number.NaN
  const sorted = [...samples].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.max(0, Math.ceil(share * sorted.length) - 1))]!
}

/** Returns the arithmetic mean, or NaN without samples. */
export const mean = (samples: readonly number[]): number =>
  samples.reduce((sum, sample) => sum + sample, 0) / samples.length

/** Whether a figure meets its target; true without a target. */
export const meetsTarget = ({ target, value }: Figure): boolean => {
  if (target === undefined) return true
  return 'max' in target ? value <= target.max : value >= target.min
}

/**
 * Fits a least-squares line through points, to extrapolate values to sizes that are too large to run.
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
