import { appendFileSync, writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'

/**
 * Creates the record of one run: lines with the time since its start, written to `record.txt` beside the script.
 *
 * @example
 * const note = createRecord(import.meta.url)
 * note('sent', 'attempt a1')
 */
export const createRecord = scriptUrl => {
  const path = fileURLToPath(new URL('record.txt', scriptUrl))
  const startedMs = performance.now()
  writeFileSync(path, '')
  return (...words) => {
    const line = `${((performance.now() - startedMs) / 1_000).toFixed(3).padStart(8)} s  ${words.join(' ')}\n`
    appendFileSync(path, line)
    process.stdout.write(line)
  }
}
