import { readFileSync } from 'node:fs'
import { parseRows, type Row, rowKeyOf } from '../configuration/index.js'
import { SettingsError, type SettingsFault } from '../core/index.js'

const addFileToPaths = (file: string, faults: readonly SettingsFault[]): SettingsFault[] =>
  faults.map(({ path, text }) => ({ path: path === '' ? file : `${file}: ${path}`, text }))

const readRowFile = (file: string): { rows: Row[], faults: SettingsFault[] } => {
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
    return { rows: [], faults: addFileToPaths(file, error.faults) }
  }
}

/**
 * Reads rows from YAML files. Each row may be defined in one file only.
 *
 * @example
 * const rows = readRowFiles(['examples/kpakpo/rows.yaml'])
 * @throws SettingsError with the validation errors of all files
 */
export const readRowFiles = (files: readonly string[]): Row[] => {
  const fileByKey = new Map<string, string>()
  const rows: Row[] = []
  const faults: SettingsFault[] = []
  for (const file of files) {
    const parsed = readRowFile(file)
    faults.push(...parsed.faults)
    for (const row of parsed.rows) {
      const key = rowKeyOf(row)
      const firstFile = fileByKey.get(key)
      if (firstFile !== undefined) faults.push({ path: file, text: `${key} is defined twice, first in ${firstFile}` })
      fileByKey.set(key, file)
      rows.push(row)
    }
  }
  if (faults.length > 0) throw new SettingsError(faults)
  return rows
}
