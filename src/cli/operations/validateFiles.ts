import { ResultCode } from '../../core/index.js'
import { readRowFiles } from '../readRowFiles.js'
import type { OperationContext, OperationResult } from './types.js'

/**
 * Checks row files without asking the log, so references to rows in other files are not checked.
 *
 * @example
 * validateFiles(context, ['rows.yaml']).code // ResultCode.Ok
 * @throws SettingsError with every fault and its place
 */
export const validateFiles = ({ print }: Pick<OperationContext, 'print'>, files: readonly string[]): OperationResult => {
  const rows = readRowFiles(files)
  print(`${rows.length} rows in ${files.length} files are valid`)
  return { code: ResultCode.Ok }
}
