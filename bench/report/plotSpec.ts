import type { TopLevelSpec } from 'vega-lite'
import { type Figure, meetsTarget } from '../harness/index.js'
import { formatNumber } from './formatNumber.js'

const PLOT_WIDTH_PX = 520
const BAND_HEIGHT_PX = 18
/** Ratio of the longest to the shortest bar above which the shortest would be invisible on a linear scale. */
const LINEAR_RATIO_MAX = 50
/** Chooses the format for each label; a single format for the axis would show 0 as 0k and 0.2 as 200m. */
const AXIS_LABEL = "format(datum.value, abs(datum.value) < 1 ? '~g' : '~s')"
const COLORS = { met: '#2a7f62', missed: '#c0392b', plain: '#3b6ea5', baseline: '#b9c0c7', target: '#1b1b1b' }

enum BarKind {
  Value = 'value',
  Baseline = 'baseline'
}

interface Bar {
  kind: BarKind
  amount: number
  label: string
  color: string
}

export const targetOf = ({ target }: Figure): number | undefined =>
  target === undefined ? undefined : 'max' in target ? target.max : target.min

export const formatTarget = ({ target }: Figure): string =>
  target === undefined ? '' : 'max' in target ? `at most ${formatNumber(target.max)}` : `at least ${formatNumber(target.min)}`

const valueColor = (figure: Figure): string => {
  if (figure.target === undefined) return COLORS.plain
  return meetsTarget(figure) ? COLORS.met : COLORS.missed
}

const barsOf = (figure: Figure): Bar[] => {
  const value = { kind: BarKind.Value, amount: figure.value, label: formatNumber(figure.value), color: valueColor(figure) }
  if (figure.baseline === null) return [value]
  return [value, { kind: BarKind.Baseline, amount: figure.baseline, label: formatNumber(figure.baseline), color: COLORS.baseline }]
}

/**
 * Returns a logarithmic scale if the amounts differ by a large ratio and all are positive, else a linear
 * scale.
 */
const scaleOf = (amounts: readonly number[]) => {
  const smallest = Math.min(...amounts)
  const largest = Math.max(...amounts)
  // The domain leaves room for the label to the right of the longest bar.
  if (smallest <= 0 || largest / smallest <= LINEAR_RATIO_MAX) {
    return { type: 'linear' as const, domain: [Math.min(0, smallest), largest > 0 ? largest * 1.15 : 1], nice: false }
  }
  return { type: 'log' as const, domain: [smallest / 10, largest * 3], nice: false }
}

/** Limits the ticks of a logarithmic scale to powers of ten, because labels between them would overlap. */
const tickValuesOf = ({ type, domain: [domainStart = 1, domainEnd = 1] }: ReturnType<typeof scaleOf>): { values?: number[] } => {
  if (type === 'linear') return {}
  const [first, last] = [Math.ceil(Math.log10(domainStart)), Math.floor(Math.log10(domainEnd))]
  return { values: Array.from({ length: last - first + 1 }, (_, i) => 10 ** (first + i)) }
}

const viewOf = (figure: Figure) => {
  const bars = barsOf(figure)
  const target = targetOf(figure)
  const scale = scaleOf([...bars.map(({ amount }) => amount), ...(target === undefined ? [] : [target])].filter(Number.isFinite))
  const x = { field: 'amount', type: 'quantitative' as const, scale, axis: { title: null, tickCount: 4, labelExpr: AXIS_LABEL, grid: true, ...tickValuesOf(scale) } }
  const y = { field: 'kind', type: 'nominal' as const, sort: null, axis: { title: null, ticks: false, domain: false } }
  const title = [figure.figure, `(${figure.unit})`, formatTarget(figure) && `target ${formatTarget(figure)}`, scale.type === 'log' && 'log scale']
  return {
    width: PLOT_WIDTH_PX,
    height: { step: BAND_HEIGHT_PX },
    title: { text: title.filter(Boolean).join('  '), anchor: 'start' as const, fontSize: 12, offset: 6 },
    data: { values: bars.filter(({ amount }) => Number.isFinite(amount)) },
    layer: [
      {
        mark: { type: 'bar' as const, height: { band: 0.75 } },
        encoding: { x: { ...x, stack: null }, x2: { datum: scale.domain[0] }, y, color: { field: 'color', type: 'nominal' as const, scale: null } }
      },
      {
        mark: { type: 'text' as const, align: 'left' as const, dx: 4, fontSize: 11 },
        encoding: { x, y, text: { field: 'label' } }
      },
      ...(target === undefined
        ? []
        : [{
            data: { values: [{}] },
            mark: { type: 'rule' as const, strokeWidth: 2, strokeDash: [4, 3], color: COLORS.target },
            encoding: { x: { datum: target, type: 'quantitative' as const, scale, axis: x.axis } }
          }])
    ]
  }
}

/**
 * Returns the plot of one suite: a row for each figure with a scale of its own, because the figures of a
 * suite have different units. A dashed line marks the target.
 *
 * @example
 * const { spec } = compile(toPlotSpec(figures))
 */
export const toPlotSpec = (figures: readonly Figure[]): TopLevelSpec => ({
  $schema: 'https://vega.github.io/schema/vega-lite/v5.json',
  background: 'white',
  padding: 8,
  spacing: 14,
  config: { font: 'sans-serif', axis: { labelFontSize: 10 }, view: { stroke: null } },
  vconcat: figures.map(viewOf)
} as TopLevelSpec)
