import { parseArgs } from 'node:util'
import { meetsTarget, type Figure, type Suite } from './harness/index.js'

const DEFAULT_SEED = 1

/** Suites are loaded on demand, so that one suite does not pay for the others. */
const SUITES: Record<string, () => Promise<{ run: Suite }>> = {
  once: () => import('./once/schedules.js')
}

const usage = `usage: npm run bench -- SUITE [--seed N] [--json]\nsuites: ${Object.keys(SUITES).join(', ')}`

const formatTarget = (figure: Figure) => {
  if (figure.target === undefined) return ''
  const bound = 'max' in figure.target ? `at most ${figure.target.max}` : `at least ${figure.target.min}`
  return `target ${bound}: ${meetsTarget(figure) ? 'met' : 'MISSED'}`
}

const formatFigure = (figure: Figure) => [
  figure.figure.padEnd(48),
  String(Number(figure.value.toPrecision(5))).padStart(12),
  figure.unit.padEnd(14),
  `baseline ${figure.baseline === null ? '-' : Number(figure.baseline.toPrecision(5))}`.padEnd(22),
  formatTarget(figure),
  figure.note ?? ''
].join(' ').trimEnd()

const main = async () => {
  const { positionals, values } = parseArgs({
    allowPositionals: true,
    options: { seed: { type: 'string' }, json: { type: 'boolean' }, help: { type: 'boolean' } }
  })
  const load = SUITES[positionals[0] ?? '']
  if (values.help || load === undefined) {
    console.log(usage)
    process.exitCode = values.help ? 0 : 2
    return
  }
  const seed = values.seed === undefined ? DEFAULT_SEED : Number(values.seed)
  const { run } = await load()
  const figures = await run({ seed })
  for (const figure of figures) console.log(values.json ? JSON.stringify(figure) : formatFigure(figure))
}

await main()
