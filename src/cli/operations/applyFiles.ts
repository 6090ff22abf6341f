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
  /** Asks the operator; resolves at once with true for `--yes`. */
  confirm: (question: string) => Promise<boolean>
}

type Describe = (applied: AppliedChange, session: ConfigurationSession) => string[]

const describeOther: Describe = ({ change, code }) => [`${rowKeyOf(change)} got code ${code}`]

const describeConflict: Describe = ({ change, verdict }, session) => {
  const winner = session.versions().find(version => rowKeyOf(version) === rowKeyOf(change))
  return [
    `conflict on ${rowKeyOf(change)}: the edit is based on offset ${change.baseOffset}, ` +
      `edit ${verdict?.winner?.editId ?? 'unknown'} at offset ${verdict?.winner?.offset ?? 'unknown'} was accepted first`,
    ...(winner === undefined ? [] : ['the row in effect is:', formatVersion(winner)]),
    'run the command again to see the changes against this row'
  ]
}

const describePending: Describe = ({ change, editId }) => [
  `pending: the verdict on edit ${editId} of ${rowKeyOf(change)} is not known, the edit may still take effect`,
  `when the log answers again, "get ${change.kind} ${change.name}" shows whether it did`
]

/** What the operator sees of each verdict. */
const DESCRIPTIONS: Partial<Record<ResultCode, Describe>> = {
  [ResultCode.EditAccepted]: ({ change, verdict }) => [`accepted ${rowKeyOf(change)} at offset ${verdict?.offset}`],
  [ResultCode.EditConflict]: describeConflict,
  [ResultCode.EditInvalid]: ({ change, verdict }) => [
    `refused ${rowKeyOf(change)}:`,
    ...(verdict?.faults ?? []).map(({ path, text }) => `    ${path}: ${text}`)
  ],
  [ResultCode.EditPending]: describePending
}

/**
 * Shows the diff, appends the edits one after the other and waits for the verdict of each. It stops
 * at the first edit that is not accepted; the edits before it stay in effect.
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
    // Not a success: a script without --yes must not take an unanswered question for an applied change.
    if (!await confirm(`append ${changes.length} edits?`)) {
      return { code: ResultCode.BadRequest, detail: 'not confirmed, nothing was appended; --yes skips the question' }
    }
    const applied = await session.apply(changes, result => {
      for (const line of (DESCRIPTIONS[result.code] ?? describeOther)(result, session)) print(line)
    })
    const last = applied.at(-1)
    if (last === undefined || last.code === ResultCode.EditAccepted) return { code: ResultCode.Ok }
    const left = changes.length - applied.length
    if (left > 0) print(`${left} edits after it were not appended`)
    return { code: last.code, detail: rowKeyOf(last.change) }
  })
}
