import { expect, it } from 'vitest'
import type { Figure } from '../harness/index.js'
import { FigureLineError, groupBySuite, parseFigures } from './readFigures.js'
import { renderPage, renderPlot } from './renderPage.js'

const figure = (change: Partial<Figure>): Figure =>
  ({ suite: 'control', figure: 'reverts', unit: 'rows', baseline: null, value: 0, seed: 1, ...change })

it('reports the source and line number of an invalid figure instead of skipping it', () => {
  const good = JSON.stringify(figure({}))
  expect(parseFigures('a.jsonl', `${good}\n\n${good}\n`)).toHaveLength(2)
  expect(() => parseFigures('a.jsonl', `${good}\nMISSED`)).toThrow(/^a\.jsonl:2: not a figure/)
  expect(() => parseFigures('a.jsonl', JSON.stringify({ ...figure({}), value: '7' }))).toThrow(FigureLineError)
})

it('shows a value that JSON cannot represent as missed', async () => {
  const [nonFinite] = parseFigures('a', JSON.stringify(figure({ value: Number.NaN, target: { max: 1 } })))
  expect(await renderPage([nonFinite!], [])).toContain('<span class="missed">missed</span>')
})

it('renders one plot for each suite with values, targets and baselines of any magnitude', async () => {
  const figures = [
    figure({ figure: 'bytes', baseline: 912_345, value: 3_120, target: { max: 6_000 } }), figure({ value: 0, baseline: 0, target: { max: 0 } }),
    figure({ suite: 'routing', value: -1 }), figure({ suite: 'routing', value: 2.4, baseline: 1, target: { min: 1.8 }, note: '<fast>' })
  ]
  const page = await renderPage(figures, ['suite maps failed'])
  expect([...groupBySuite(figures).keys()]).toEqual(['control', 'routing'])
  expect(page.match(/<svg /g)).toHaveLength(2)
  for (const text of ['suite maps failed', '&lt;fast&gt;', 'at least 1.8', '912,300']) expect(page).toContain(text)
  const plot = await renderPlot(figures.slice(0, 1))
  // On a linear scale the bar of the value would be too short to see, so the scale is logarithmic.
  expect(plot).toContain('log scale')
  expect(plot.match(/stroke-dasharray="4,3"/g)).toHaveLength(1)
})
