import { createRecord } from './record.mjs'

/** Results of a script. */
export const Verdict = { Held: 0, Broken: 1, NotRun: 2 }

/** A script runs for 120 seconds at most. */
const LIMIT_MS = 115_000

/**
 * Runs a case and exits with its verdict. `play` gets `note` and `onStop`, with which it registers what has to be ended.
 *
 * @example
 * await runCase(import.meta.url, async ({ note, onStop }) => Verdict.Held)
 */
export const runCase = async (scriptUrl, play) => {
  const note = createRecord(scriptUrl)
  const stops = []
  let verdict = Verdict.NotRun
  const interrupted = new Promise((resolve, reject) => {
    setTimeout(() => reject(new Error('time limit reached')), LIMIT_MS).unref()
    for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.once(signal, () => reject(new Error(`interrupted by ${signal}`)))
    process.once('uncaughtException', reject)
  })
  try {
    verdict = await Promise.race([play({ note, onStop: stop => stops.push(stop) }), interrupted])
  } catch (error) {
    note('could not run:', error instanceof Error ? error.stack : String(error))
  }
  for (const stop of stops.reverse()) await Promise.resolve(stop()).catch(error => note('stop:', String(error)))
  note(`verdict: ${Object.keys(Verdict).find(name => Verdict[name] === verdict)}`)
  process.exit(verdict)
}
