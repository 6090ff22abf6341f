import type { ResultCode } from '../../core/index.js'
import type { CliSettings } from '../cliSettings.js'

/** Settings and output functions that every operation receives. */
export interface OperationContext {
  settings: CliSettings
  print: (text: string) => void
  /** Prints to stderr, for lines that scripts should not parse. */
  printDiagnostic: (text: string) => void
}

/** Result of an operation; `detail` is printed after the result code if the operation failed. */
export interface OperationResult {
  code: ResultCode
  detail?: string
}
