import { ResultCode } from '../../core/index.js'
import { readRowFiles } from '../readRowFiles.js'
import type { OperationContext, OperationResult } from './types.js'

/**
 * Validates row files without access to the log, so references between rows are not checked.
 *
 * @example
 * validateFiles(context, ['rows.yaml']).code // ResultCode.Ok
 * @throws SettingsError with every error and its location
 */
export const validateFiles = ({ print }: Pick<OperationContext, 'print'>, files: readonly string[]): OperationResult => {
  const rows = readRowFiles(files)
  print(`${rows.length} rows in ${files.length} files are valid`)
  return { code: ResultCode.Ok }
}
