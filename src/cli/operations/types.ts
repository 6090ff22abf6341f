import type { ResultCode } from '../../core/index.js'
import type { CliSettings } from '../cliSettings.js'

/** What every operation of the command line gets. */
export interface OperationContext {
  settings: CliSettings
  print: (text: string) => void
  /** Lines for people that scripts should not parse. */
  note: (text: string) => void
}

/** How an operation ended; `detail` is shown after the code if the operation failed. */
export interface OperationResult {
  code: ResultCode
  detail?: string
}
