import { ResultCode } from '../core/index.js'
import { RowKind, rowKeyOf } from '../configuration/index.js'
import type { AppliedChange, ConfigurationSession } from './configurationSession.js'
import { formatVersion } from './formatRows.js'

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
  `when the log is available again, "${change.kind === RowKind.Evacuation ? 'status' : `get ${change.kind} ${change.name}`}" shows whether it did`
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
 * Describes how a change ended, in one or more lines.
 *
 * @example
 * describeVerdict(applied, session) // ['accepted pool/quotes at offset 7']
 */
export const describeVerdict = (applied: AppliedChange, session: ConfigurationSession): string[] =>
  (VERDICT_DESCRIPTIONS[applied.code] ?? describeOtherCode)(applied, session)
