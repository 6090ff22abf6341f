import { type Clock, type Core, dispatch, type HandlerTable, ResultCode, type TimestampMs } from '../core/index.js'
import { APPEND_RETRY_DELAY_MS, APPEND_TIMEOUT_MS, EDIT_VERDICT_TIMEOUT_MS, SubmitPhase } from './constants.js'
import type { Edit, EditVerdict } from './types.js'

export enum SubmitMessageKind {
  AppendAnswered = 'append-answered',
  AppendFailed = 'append-failed',
  VerdictReached = 'verdict-reached',
  /** Passes on EndReached of the reader: it has applied every record that existed when it was asked. */
  LogReadToEnd = 'log-read-to-end',
  LogReadFailed = 'log-read-failed',
  Tick = 'tick'
}

export type SubmitMessage =
  | { kind: SubmitMessageKind.AppendAnswered, offset: number }
  | { kind: SubmitMessageKind.AppendFailed }
  | { kind: SubmitMessageKind.VerdictReached, verdict: EditVerdict }
  | { kind: SubmitMessageKind.LogReadToEnd }
  | { kind: SubmitMessageKind.LogReadFailed }
  | { kind: SubmitMessageKind.Tick }

export enum SubmitEffectKind {
  AppendEdit = 'append-edit',
  ReadLogToEnd = 'read-log-to-end',
  Settled = 'settled'
}

export type SubmitEffect =
  | { kind: SubmitEffectKind.AppendEdit, edit: Edit }
  | { kind: SubmitEffectKind.ReadLogToEnd }
  /** `verdict` is absent while the code is EditPending: the edit may still take effect. */
  | { kind: SubmitEffectKind.Settled, code: ResultCode, verdict?: EditVerdict }

/**
 * Brings one edit from the command line to its verdict. A lost answer is settled by reading the
 * log; an edit that is not there is appended again under the same id, so it can't count twice.
 * The first tick appends.
 *
 * @example
 * const submitter = createEditSubmitter({ edit, clock })
 * submitter.handle({ kind: SubmitMessageKind.Tick }) // [{ kind: SubmitEffectKind.AppendEdit, edit }]
 */
export const createEditSubmitter = (
  { edit, clock, timeoutMs = EDIT_VERDICT_TIMEOUT_MS }: { edit: Edit, clock: Clock, timeoutMs?: number }
): Core<SubmitMessage, SubmitEffect> => {
  const deadlineMs = clock.nowMs() + timeoutMs
  let phase = SubmitPhase.Appending
  let appendSentMs: TimestampMs | undefined
  let isReading = false
  let nextAppendMs = clock.nowMs()

  const settle = (code: ResultCode, verdict?: EditVerdict): SubmitEffect[] => {
    phase = SubmitPhase.Settled
    return [{ kind: SubmitEffectKind.Settled, code, ...(verdict && { verdict }) }]
  }

  const append = (): SubmitEffect[] => {
    appendSentMs = clock.nowMs()
    return [{ kind: SubmitEffectKind.AppendEdit, edit }]
  }

  const readToEnd = (): SubmitEffect[] => {
    if (isReading) return []
    isReading = true
    return [{ kind: SubmitEffectKind.ReadLogToEnd }]
  }

  const onAppendLost = (): SubmitEffect[] => {
    if (phase !== SubmitPhase.Appending || appendSentMs === undefined) return []
    phase = SubmitPhase.ReadingAfterLoss
    appendSentMs = undefined
    nextAppendMs = clock.nowMs() + APPEND_RETRY_DELAY_MS
    return readToEnd()
  }

  const onTickWhile: Record<SubmitPhase, () => SubmitEffect[]> = {
    [SubmitPhase.Appending]: () => {
      if (appendSentMs === undefined) return clock.nowMs() >= nextAppendMs ? append() : []
      return clock.nowMs() - appendSentMs > APPEND_TIMEOUT_MS ? onAppendLost() : []
    },
    [SubmitPhase.ReadingAfterLoss]: readToEnd,
    [SubmitPhase.WaitingForVerdict]: readToEnd,
    [SubmitPhase.Settled]: () => []
  }

  const onReadToEnd = (): SubmitEffect[] => {
    isReading = false
    // The read began after the answer was lost and shows no verdict: the append has not taken effect.
    if (phase === SubmitPhase.ReadingAfterLoss) phase = SubmitPhase.Appending
    return []
  }

  const handlers: HandlerTable<SubmitMessage, SubmitEffect[]> = {
    [SubmitMessageKind.AppendAnswered]: () => {
      phase = SubmitPhase.WaitingForVerdict
      return readToEnd()
    },
    [SubmitMessageKind.AppendFailed]: onAppendLost,
    [SubmitMessageKind.VerdictReached]: ({ verdict }) =>
      verdict.editId === edit.editId ? settle(verdict.code, verdict) : [],
    [SubmitMessageKind.LogReadToEnd]: onReadToEnd,
    [SubmitMessageKind.LogReadFailed]: () => {
      isReading = false
      return []
    },
    [SubmitMessageKind.Tick]: () =>
      clock.nowMs() >= deadlineMs ? settle(ResultCode.EditPending) : onTickWhile[phase]()
  }

  return { handle: message => phase === SubmitPhase.Settled ? [] : dispatch(handlers, message) }
}
