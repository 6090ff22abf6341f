import { execFile } from 'node:child_process'
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { promisify } from 'node:util'
import type { Figure } from './harness/index.js'
import { parseFigures } from './report/readFigures.js'
import { renderPage } from './report/renderPage.js'

const REPORT_FOLDER = 'bench-report'
const OUTPUT_BYTES_MAX = 16 * 1024 * 1024

export interface ReportOptions {
  /** Files with figures as JSON lines; if empty, the suites run instead. */
  files: readonly string[]
  suites: readonly string[]
  seed: number
}

interface Collected {
  figures: Figure[]
  /** Error messages of the suites that failed. */
  failures: string[]
}

const runSuite = async (suite: string, seed: number): Promise<Collected> => {
  console.log(`running suite ${suite}`)
  try {
    const args = [...process.execArgv, process.argv[1]!, suite, '--seed', String(seed), '--json']
    const { stdout } = await promisify(execFile)(process.execPath, args, { maxBuffer: OUTPUT_BYTES_MAX })
    return { figures: parseFigures(suite, stdout), failures: [] }
  } catch (error) {
    return { figures: [], failures: [`suite ${suite} failed: ${(error as Error).message.split('\n')[0]}`] }
  }
}

/** Runs the suites one after another, so that none takes CPU time from another. */
const runSuites = async (suites: readonly string[], seed: number): Promise<Collected> => {
  const collected: Collected = { figures: [], failures: [] }
  for (const suite of suites) {
    const { figures, failures } = await runSuite(suite, seed)
    collected.figures.push(...figures)
    collected.failures.push(...failures)
  }
  return collected
}

const readFiles = (files: readonly string[]): Collected =>
  ({ figures: files.flatMap(file => parseFigures(file, readFileSync(file, 'utf8'))), failures: [] })

/**
 * Writes bench-report/index.html from files or from new runs of the suites. Returns whether every suite
 * succeeded.
 *
 * @example
 * await writeReport({ files: ['once.jsonl'], suites: [], seed: 1 })
 */
export const writeReport = async ({ files, suites, seed }: ReportOptions): Promise<boolean> => {
  const { figures, failures } = files.length > 0 ? readFiles(files) : await runSuites(suites, seed)
  mkdirSync(REPORT_FOLDER, { recursive: true })
  const path = `${REPORT_FOLDER}/index.html`
  writeFileSync(path, await renderPage(figures, failures))
  for (const failure of failures) console.error(failure)
  console.log(`${path}: ${figures.length} figures`)
  return failures.length === 0
}
