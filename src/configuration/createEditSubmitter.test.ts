import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { createFakeLog } from '../../bench/control/fakeLog.js'
import { replayNaively } from '../../bench/control/naiveReplay.js'
import { samplePool } from '../../bench/control/sampleRows.js'
import { createManualClock, createRandom, ResultCode } from '../core/index.js'
import { APPEND_RETRY_DELAY_MS, APPEND_TIMEOUT_MS, ConfigurationRecordKind, EDIT_VERDICT_TIMEOUT_MS, RowKind } from './constants.js'
import { createEditSubmitter, type SubmitEffect, SubmitEffectKind, type SubmitMessage, SubmitMessageKind } from './createEditSubmitter.js'
import { createConfigurationReader } from './createConfigurationReader.js'
import { FollowerEffectKind, FollowerMessageKind } from './followerTypes.js'
import { type ConfigurationBody, type ConfigurationMessage, ConfigurationEffectKind, type Edit, type EditVerdict } from './types.js'

const edit: Edit = { editId: 'mine', kind: RowKind.Pool, name: 'yard', baseOffset: 0, row: samplePool('yard') }
const accepted: EditVerdict = { editId: 'mine', offset: 4, code: ResultCode.EditAccepted }
const lost: EditVerdict = { editId: 'mine', offset: 4, code: ResultCode.EditConflict, winner: { editId: 'x', offset: 3 } }

const tick: SubmitMessage = { kind: SubmitMessageKind.Tick }
const replied: SubmitMessage = { kind: SubmitMessageKind.AppendReplied, offset: 4 }
const failed: SubmitMessage = { kind: SubmitMessageKind.AppendFailed }
const readToEnd: SubmitMessage = { kind: SubmitMessageKind.LogReadToEnd }
const readFailed: SubmitMessage = { kind: SubmitMessageKind.LogReadFailed }
const verdict = (value: EditVerdict): SubmitMessage => ({ kind: SubmitMessageKind.VerdictReached, verdict: value })

const { AppendEdit, ReadLogToEnd, Settled } = SubmitEffectKind

/** Runs the steps and returns all effects; a number advances the clock. */
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
    ['settles an accepted edit', [tick, replied, verdict(accepted)], [AppendEdit, ReadLogToEnd, Settled], ResultCode.EditAccepted],
    ['settles an edit that lost to a concurrent one', [tick, replied, verdict(lost)], [AppendEdit, ReadLogToEnd, Settled], ResultCode.EditConflict],
    ['ignores verdicts on other edits', [tick, verdict({ ...accepted, editId: 'x' })], [AppendEdit], undefined],
    ['settles an append with a lost reply by reading the log', [tick, failed, verdict(accepted), readToEnd], [AppendEdit, ReadLogToEnd, Settled], ResultCode.EditAccepted],
    ['settles an append without a reply by reading the log', [tick, APPEND_TIMEOUT_MS + 1, tick, verdict(accepted)],
      [AppendEdit, ReadLogToEnd, Settled], ResultCode.EditAccepted],
    ['appends again under the same id if the log shows no record', [tick, failed, readToEnd, tick, APPEND_RETRY_DELAY_MS, tick],
      [AppendEdit, ReadLogToEnd, AppendEdit], undefined],
    ['does not append again before the log has been read', [tick, failed, APPEND_RETRY_DELAY_MS, tick, readFailed, tick],
      [AppendEdit, ReadLogToEnd, ReadLogToEnd], undefined],
    ['reports a pending edit, not a failed one, while the log is unavailable', [tick, failed, EDIT_VERDICT_TIMEOUT_MS, tick],
      [AppendEdit, ReadLogToEnd, Settled], ResultCode.EditPending],
    ['settles once', [tick, verdict(accepted), verdict(accepted), failed, tick], [AppendEdit, Settled], ResultCode.EditAccepted],
    ['uses the verdict on the first of two appends', [tick, failed, readToEnd, APPEND_RETRY_DELAY_MS, tick, replied, verdict(accepted)],
      [AppendEdit, ReadLogToEnd, AppendEdit, ReadLogToEnd, Settled], ResultCode.EditAccepted]
  ])('%s', (_case, steps, kinds, code) => {
    const effects = run(steps)
    expect(effects.map(({ kind }) => kind)).toEqual(kinds)
    const last = effects.at(-1)
    expect(last?.kind === Settled ? last.code : undefined).toBe(code)
  })
})

/** Fault of one step, which affects an append or a read of the log. */
enum StepFault { None = 'none', ReplyLost = 'answer-lost', AppendLost = 'append-lost', AppendLate = 'append-late', ReadFails = 'read-fails' }

/** Runs a submitter with a real reader against a faulty log, while a competing edit of the same row is appended. */
const submitWithFaults = (faults: StepFault[], rivalStep: number) => {
  const clock = createManualClock(1_000_000)
  const log = createFakeLog<ConfigurationBody>()
  const reader = createConfigurationReader({ clock, random: createRandom(1), retentionMs: 1_000_000 })
  const submitter = createEditSubmitter({ edit, clock })
  const delayedAppends: ConfigurationBody[] = []
  const settled: ResultCode[] = []
  let fault = StepFault.None
  const bodyOf = (value: Edit): ConfigurationBody => ({ kind: ConfigurationRecordKind.Edit, edit: value, faults: [] })

  const append = (): SubmitMessage => {
    const isWritten = fault === StepFault.None || fault === StepFault.ReplyLost
    if (isWritten) log.append(bodyOf(edit), clock.nowMs())
    if (fault === StepFault.AppendLate) delayedAppends.push(bodyOf(edit))
    return fault === StepFault.None ? { kind: SubmitMessageKind.AppendReplied, offset: log.nextOffset - 1 } : failed
  }
  const sendToReader = (message: ConfigurationMessage): void => {
    for (const effect of reader.handle(message)) {
      if (effect.kind === FollowerEffectKind.ReadLog) {
        sendToReader(fault === StepFault.ReadFails
          ? { kind: FollowerMessageKind.LogFailed }
          : { kind: FollowerMessageKind.LogPageRead, readId: effect.readId, ...log.read(effect.fromOffset) })
      }
      if (effect.kind === ConfigurationEffectKind.VerdictReached) sendToSubmitter(verdict(effect.verdict))
      if (effect.kind === FollowerEffectKind.EndReached) sendToSubmitter(readToEnd)
      if (effect.kind === FollowerEffectKind.EndFailed) sendToSubmitter(readFailed)
    }
  }
  const sendToSubmitter = (message: SubmitMessage): void => {
    for (const effect of submitter.handle(message)) {
      if (effect.kind === AppendEdit) sendToSubmitter(append())
      if (effect.kind === ReadLogToEnd) sendToReader({ kind: FollowerMessageKind.EndRequested, requestId: 'mine' })
      if (effect.kind === Settled) settled.push(effect.code)
    }
  }
  for (const [step, next] of [...faults, ...Array<StepFault>(30).fill(StepFault.None)].entries()) {
    fault = next
    if (step === rivalStep) log.append(bodyOf({ ...edit, editId: 'rival' }), clock.nowMs())
    clock.advance(700)
    sendToSubmitter(tick)
    sendToReader({ kind: FollowerMessageKind.Tick })
    const body = step % 3 === 2 ? delayedAppends.pop() : undefined
    if (body !== undefined) log.append(body, clock.nowMs())
  }
  return { settled, naive: replayNaively(log.history).codeByEditId.get(edit.editId) }
}

it('settles on the verdict of a reader that keeps every record, whichever replies to appends are lost', () => {
  const faults = fc.array(fc.constantFrom(...Object.values(StepFault)), { maxLength: 12 })
  fc.assert(fc.property(faults, fc.integer({ min: 0, max: 20 }), (steps, rivalStep) => {
    const { settled, naive } = submitWithFaults(steps, rivalStep)
    expect(settled).toEqual([naive])
  }), { seed: 6, numRuns: 500 })
})
