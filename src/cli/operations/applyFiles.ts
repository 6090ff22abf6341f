import { ResultCode } from '../../core/index.js'
import { rowKeyOf } from '../../configuration/index.js'
import { describeVerdict } from '../describeVerdict.js'
import { formatChange } from '../formatRows.js'
import { readRowFiles } from '../readRowFiles.js'
import { withSession } from '../withSession.js'
import type { OperationContext, OperationResult } from './types.js'

export interface ApplyOptions {
  files: readonly string[]
  isPruning: boolean
  /** Asks the operator for confirmation; resolves with true at once for `--yes`. */
  confirm: (question: string) => Promise<boolean>
}

/**
 * Prints the diff, appends the edits one after another and waits for the verdict on each. Stops at
 * the first edit that is not accepted; earlier edits stay in effect.
 *
 * @example
 * await applyFiles(context, { files: ['rows.yaml'], isPruning: false, confirm: async () => true })
 * @throws SettingsError, LogUnavailableError
 */
export const applyFiles = async (
  { settings, print }: OperationContext,
  { files, isPruning, confirm }: ApplyOptions
): Promise<OperationResult> => {
  const wanted = readRowFiles(files)
  return withSession(settings, async session => {
    const changes = session.diff(wanted, isPruning)
    if (changes.length === 0) {
      print('no changes')
      return { code: ResultCode.Ok }
    }
    for (const change of changes) print(formatChange(change))
    // Ends with an error, so that a script without --yes does not mistake an unanswered prompt for success.
    if (!await confirm(`append ${changes.length} edits?`)) {
      return { code: ResultCode.BadRequest, detail: 'not confirmed, nothing was appended; --yes skips the confirmation' }
    }
    const applied = await session.apply(changes, result => {
      for (const line of describeVerdict(result, session)) print(line)
    })
    const last = applied.at(-1)
    if (last === undefined || last.code === ResultCode.EditAccepted) return { code: ResultCode.Ok }
    const remainingCount = changes.length - applied.length
    if (remainingCount > 0) print(`${remainingCount} edits after it were not appended`)
    return { code: last.code, detail: rowKeyOf(last.change) }
  })
}
