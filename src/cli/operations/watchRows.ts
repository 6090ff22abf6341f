import { ResultCode } from '../../core/index.js'
import { formatVersion, toJsonVersion } from '../formatRows.js'
import { withSession } from '../withSession.js'
import type { OperationContext, OperationResult } from './types.js'

export interface WatchOptions {
  isJson: boolean
  /** Called once the rows in effect have been read; watching ends when it resolves. */
  waitForStop: () => Promise<void>
}

/** Prints accepted rows as they take effect, until stopped. An outage of the log only delays them. */
export const watchRows = async ({ settings, print, printDiagnostic }: OperationContext, { isJson, waitForStop }: WatchOptions): Promise<OperationResult> =>
  withSession(settings, async session => {
    session.onVersions(versions => {
      for (const version of versions) print(isJson ? JSON.stringify(toJsonVersion(version)) : `---\n${formatVersion(version)}`)
    })
    printDiagnostic(`watching ${session.rows().length} rows from offset ${Math.max(0, ...session.versions().map(({ offset }) => offset))}`)
    await waitForStop()
    return { code: ResultCode.Ok }
  })
