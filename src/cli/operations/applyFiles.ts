import { ResultCode } from '../../core/index.js'
import { rowKeyOf } from '../../configuration/index.js'
import type { AppliedChange, ConfigurationSession } from '../configurationSession.js'
import { formatChange, formatVersion } from '../formatRows.js'
import { readRowFiles } from '../readRowFiles.js'
import { withSession } from '../withSession.js'
import type { OperationContext, OperationResult } from './types.js'

export interface ApplyOptions {
  files: readonly string[]
  isPruning: boolean
  /** Asks the operator for confirmation; resolves with true at once for `--yes`. */
  confirm: (question: string) => Promise<boolean>
}

type DescribeVerdict = (applied: AppliedChange, session: ConfigurationSession) => string[]

const describeOtherCode: DescribeVerdict = ({ change, code }) => [`${rowKeyOf(change)} ended with code ${code}`]

const describeConflict: DescribeVerdict = ({ change, verdict }, session) => {
  const winner = session.versions().find(version => rowKeyOf(version) === rowKeyOf(change))
  return [
    `conflict on ${rowKeyOf(change)}: the edit is based on offset ${change.baseOffset}, ` +
      `edit ${verdict?.winner?.editId ?? 'unknown'} at offset ${verdict?.winner?.offset ?? 'unknown'} was accepted first`,
    ...(winner === undefined ? [] : ['the row in effect is:', formatVersion(winner)]),
    'run the command again to see the changes relative to this row'
  ]
}

const describePending: DescribeVerdict = ({ change, editId }) => [
  `pending: the verdict on edit ${editId} of ${rowKeyOf(change)} is not known, the edit may still take effect`,
  `when the log is available again, "get ${change.kind} ${change.name}" shows whether it did`
]

/** Lines printed for each verdict. */
const VERDICT_DESCRIPTIONS: Partial<Record<ResultCode, DescribeVerdict>> = {
  [ResultCode.EditAccepted]: ({ change, verdict }) => [`accepted ${rowKeyOf(change)} at offset ${verdict?.offset}`],
  [ResultCode.EditConflict]: describeConflict,
  [ResultCode.EditInvalid]: ({ change, verdict }) => [
    `refused ${rowKeyOf(change)}:`,
    ...(verdict?.faults ?? []).map(({ path, text }) => `    ${path}: ${text}`)
  ],
  [ResultCode.EditPending]: describePending
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
      for (const line of (VERDICT_DESCRIPTIONS[result.code] ?? describeOtherCode)(result, session)) print(line)
    })
    const last = applied.at(-1)
    if (last === undefined || last.code === ResultCode.EditAccepted) return { code: ResultCode.Ok }
    const remainingCount = changes.length - applied.length
    if (remainingCount > 0) print(`${remainingCount} edits after it were not appended`)
    return { code: last.code, detail: rowKeyOf(last.change) }
  })
}
