import { parse, View } from 'vega'
import { compile } from 'vega-lite'
import { type Figure, meetsTarget } from '../harness/index.js'
import { formatNumber } from './formatNumber.js'
import { formatTarget, toPlotSpec } from './plotSpec.js'
import { groupBySuite } from './readFigures.js'

const STYLE = `body { font: 14px sans-serif; max-width: 1000px; margin: 2em auto; padding: 0 1em; color: #1b1b1b }
table { border-collapse: collapse; margin: 1em 0 } td, th { padding: .25em .7em; border-bottom: 1px solid #ddd; text-align: left }
td.number { text-align: right; font-variant-numeric: tabular-nums } .missed { color: #c0392b; font-weight: bold } svg { max-width: 100%; height: auto }`

const LEGEND = 'Green: the value meets its target. Red: it misses it. Blue: no target is stated. Grey: baseline, the naive version of the same run. Dashed line: target.'

const escapeHtml = (text: string): string =>
  text.replace(/[&<>"]/g, character => ({ '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;' })[character]!)

/** Renders the plot of one suite as SVG text. */
export const renderPlot = async (figures: readonly Figure[]): Promise<string> => {
  const view = new View(parse(compile(toPlotSpec(figures)).spec), { renderer: 'none' })
  try {
    return await view.toSVG()
  } finally {
    view.finalize()
  }
}

const verdictOf = (figure: Figure): string => {
  if (figure.target === undefined) return ''
  return meetsTarget(figure) ? 'met' : '<span class="missed">missed</span>'
}

const rowOf = (figure: Figure): string => {
  const texts = [figure.figure, figure.unit]
  const numbers = [formatNumber(figure.value), formatTarget(figure), figure.baseline === null ? '-' : formatNumber(figure.baseline)]
  const cells = [
    ...texts.map(text => `<td>${escapeHtml(text)}</td>`),
    ...numbers.map(text => `<td class="number">${escapeHtml(text)}</td>`),
    `<td>${verdictOf(figure)}</td><td class="number">${figure.seed}</td><td>${escapeHtml(figure.note ?? '')}</td>`
  ]
  return `<tr>${cells.join('')}</tr>`
}

const HEADER = ['figure', 'unit', 'value', 'target', 'baseline', 'verdict', 'seed', 'note'].map(text => `<th>${text}</th>`).join('')

const sectionOf = async (suite: string, figures: readonly Figure[]): Promise<string> =>
  `<h2 id="${escapeHtml(suite)}">${escapeHtml(suite)}</h2>\n${await renderPlot(figures)}\n` +
  `<table><thead><tr>${HEADER}</tr></thead><tbody>\n${figures.map(rowOf).join('\n')}\n</tbody></table>`

/**
 * Renders the HTML page with plots and tables of all suites.
 *
 * @example
 * writeFileSync('bench-report/index.html', await renderPage(figures, []))
 */
export const renderPage = async (figures: readonly Figure[], failures: readonly string[]): Promise<string> => {
  const sections: string[] = []
  for (const [suite, suiteFigures] of groupBySuite(figures)) sections.push(await sectionOf(suite, suiteFigures))
  const failed = failures.map(text => `<p class="missed">${escapeHtml(text)}</p>`)
  return `<!doctype html>\n<html lang="en"><head><meta charset="utf-8"><title>baobabdrift bench report</title><style>${STYLE}</style></head>
<body><h1>baobabdrift bench report</h1>\n<p>${LEGEND}</p>\n${[...failed, ...sections].join('\n')}\n</body></html>\n`
}
