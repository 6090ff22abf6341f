import { describe, expect, it } from 'vitest'
import { samplePool } from '../../bench/control/sampleRows.js'
import { createManualClock, ResultCode } from '../core/index.js'
import { APPEND_RETRY_DELAY_MS, APPEND_TIMEOUT_MS, EDIT_VERDICT_TIMEOUT_MS, RowKind } from './constants.js'
import { createEditSubmitter, type SubmitEffect, SubmitEffectKind, type SubmitMessage, SubmitMessageKind } from './createEditSubmitter.js'
import type { Edit, EditVerdict } from './types.js'

const edit: Edit = { editId: 'mine', kind: RowKind.Pool, name: 'yard', baseOffset: 0, row: samplePool('yard') }
const accepted: EditVerdict = { editId: 'mine', offset: 4, code: ResultCode.EditAccepted }
const lost: EditVerdict = { editId: 'mine', offset: 4, code: ResultCode.EditConflict, winner: { editId: 'x', offset: 3 } }

const tick: SubmitMessage = { kind: SubmitMessageKind.Tick }
const answered: SubmitMessage = { kind: SubmitMessageKind.AppendAnswered, offset: 4 }
const failed: SubmitMessage = { kind: SubmitMessageKind.AppendFailed }
const readToEnd: SubmitMessage = { kind: SubmitMessageKind.LogReadToEnd }
const readFailed: SubmitMessage = { kind: SubmitMessageKind.LogReadFailed }
const verdict = (value: EditVerdict): SubmitMessage => ({ kind: SubmitMessageKind.VerdictReached, verdict: value })

const { AppendEdit, ReadLogToEnd, Settled } = SubmitEffectKind

/** A number advances the clock. */
const run = (steps: Array<SubmitMessage | number>): SubmitEffect[] => {
  const clock = createManualClock()
  const submitter = createEditSubmitter({ edit, clock })
  return steps.flatMap(step => {
    if (typeof step !== 'number') return submitter.handle(step)
    clock.advance(step)
    return []
  })
}

describe('edit submitter', () => {
  it.each<[string, Array<SubmitMessage | number>, SubmitEffectKind[], ResultCode | undefined]>([
    ['settles an accepted edit', [tick, answered, verdict(accepted)], [AppendEdit, ReadLogToEnd, Settled], ResultCode.EditAccepted],
    ['settles a lost race', [tick, answered, verdict(lost)], [AppendEdit, ReadLogToEnd, Settled], ResultCode.EditConflict],
    ['ignores verdicts on other edits', [tick, verdict({ ...accepted, editId: 'x' })], [AppendEdit], undefined],
    ['settles a lost answer by reading', [tick, failed, verdict(accepted), readToEnd], [AppendEdit, ReadLogToEnd, Settled], ResultCode.EditAccepted],
    ['settles an answer that never comes by reading', [tick, APPEND_TIMEOUT_MS + 1, tick, verdict(accepted)],
      [AppendEdit, ReadLogToEnd, Settled], ResultCode.EditAccepted],
    ['appends again under the same id if the log shows no record', [tick, failed, readToEnd, tick, APPEND_RETRY_DELAY_MS, tick],
      [AppendEdit, ReadLogToEnd, AppendEdit], undefined],
    ['does not append again before the log was read', [tick, failed, APPEND_RETRY_DELAY_MS, tick, readFailed, tick],
      [AppendEdit, ReadLogToEnd, ReadLogToEnd], undefined],
    ['reports a pending edit, not a failed one, while the log stays out', [tick, failed, EDIT_VERDICT_TIMEOUT_MS, tick],
      [AppendEdit, ReadLogToEnd, Settled], ResultCode.EditPending],
    ['settles once', [tick, verdict(accepted), verdict(accepted), failed, tick], [AppendEdit, Settled], ResultCode.EditAccepted],
    ['takes the verdict on the first of two appends', [tick, failed, readToEnd, APPEND_RETRY_DELAY_MS, tick, answered, verdict(accepted)],
      [AppendEdit, ReadLogToEnd, AppendEdit, ReadLogToEnd, Settled], ResultCode.EditAccepted]
  ])('%s', (_case, steps, kinds, code) => {
    const effects = run(steps)
    expect(effects.map(({ kind }) => kind)).toEqual(kinds)
    const last = effects.at(-1)
    expect(last?.kind === Settled ? last.code : undefined).toBe(code)
  })
})
