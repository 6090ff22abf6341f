import { readFileSync } from 'node:fs'
import { parseRows, type Row, rowKeyOf } from '../configuration/index.js'
import { SettingsError, type SettingsFault } from '../core/index.js'

const withFile = (file: string, faults: readonly SettingsFault[]): SettingsFault[] =>
  faults.map(({ path, text }) => ({ path: path === '' ? file : `${file}: ${path}`, text }))

const readOne = (file: string): { rows: Row[], faults: SettingsFault[] } => {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (error) {
    return { rows: [], faults: [{ path: file, text: `cannot be read: ${(error as NodeJS.ErrnoException).code}` }] }
  }
  try {
    return { rows: parseRows(text), faults: [] }
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error
    return { rows: [], faults: withFile(file, error.faults) }
  }
}

/**
 * Reads rows from YAML files. A row may stand in one file only.
 *
 * @example
 * const rows = readRowFiles(['examples/kpakpo/rows.yaml'])
 * @throws SettingsError with every fault of every file
 */
export const readRowFiles = (files: readonly string[]): Row[] => {
  const fileByKey = new Map<string, string>()
  const rows: Row[] = []
  const faults: SettingsFault[] = []
  for (const file of files) {
    const read = readOne(file)
    faults.push(...read.faults)
    for (const row of read.rows) {
      const key = rowKeyOf(row)
      const earlier = fileByKey.get(key)
      if (earlier !== undefined) faults.push({ path: file, text: `${key} is defined twice, first in ${earlier}` })
      fileByKey.set(key, file)
      rows.push(row)
    }
  }
  if (faults.length > 0) throw new SettingsError(faults)
  return rows
}
