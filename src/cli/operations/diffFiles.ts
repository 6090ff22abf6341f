import { ResultCode } from '../../core/index.js'
import { formatChange } from '../formatRows.js'
import { readRowFiles } from '../readRowFiles.js'
import { withSession } from '../withSession.js'
import type { OperationContext, OperationResult } from './types.js'

export interface DiffOptions {
  files: readonly string[]
  /** Whether rows that are in none of the files count as removed. */
  isPruning: boolean
}

/** Prints the changes that `apply` would make. */
export const diffFiles = async ({ settings, print }: OperationContext, { files, isPruning }: DiffOptions): Promise<OperationResult> => {
  const wanted = readRowFiles(files)
  const changes = await withSession(settings, async session => session.diff(wanted, isPruning))
  for (const change of changes) print(formatChange(change))
  if (changes.length === 0) print('no changes')
  return { code: ResultCode.Ok }
}
