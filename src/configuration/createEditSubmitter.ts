import { type Clock, type Core, dispatch, type HandlerTable, ResultCode, type TimestampMs } from '../core/index.js'
import { APPEND_RETRY_DELAY_MS, APPEND_TIMEOUT_MS, EDIT_VERDICT_TIMEOUT_MS, SubmitPhase } from './constants.js'
import type { Edit, EditVerdict } from './types.js'

export enum SubmitMessageKind {
  AppendReplied = 'append-replied',
  AppendFailed = 'append-failed',
  VerdictReached = 'verdict-reached',
  /** The reader reported EndReached: it has applied every record that existed at the time of the request. */
  LogReadToEnd = 'log-read-to-end',
  LogReadFailed = 'log-read-failed',
  Tick = 'tick'
}

export type SubmitMessage =
  | { kind: SubmitMessageKind.AppendReplied, offset: number }
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
  /** `verdict` is absent if the code is EditPending: the edit may still take effect. */
  | { kind: SubmitEffectKind.Settled, code: ResultCode, verdict?: EditVerdict }

/**
 * Appends one edit from the command line to the log and waits for its verdict. If the reply to the
 * append is lost, the submitter reads the log to find out whether the edit was written. If it was
 * not, it appends the edit again under the same id, so that a duplicate is ignored. The first tick
 * sends the first append.
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

  const onAppendUnconfirmed = (): SubmitEffect[] => {
    if (phase !== SubmitPhase.Appending || appendSentMs === undefined) return []
    phase = SubmitPhase.ReadingAfterLostReply
    appendSentMs = undefined
    nextAppendMs = clock.nowMs() + APPEND_RETRY_DELAY_MS
    return readToEnd()
  }

  const tickHandlers: Record<SubmitPhase, () => SubmitEffect[]> = {
    [SubmitPhase.Appending]: () => {
      if (appendSentMs === undefined) return clock.nowMs() >= nextAppendMs ? append() : []
      return clock.nowMs() - appendSentMs > APPEND_TIMEOUT_MS ? onAppendUnconfirmed() : []
    },
    [SubmitPhase.ReadingAfterLostReply]: readToEnd,
    [SubmitPhase.WaitingForVerdict]: readToEnd,
    [SubmitPhase.Settled]: () => []
  }

  const onReadToEnd = (): SubmitEffect[] => {
    isReading = false
    // The read began after the reply was lost and produced no verdict, so the append has not taken effect.
    if (phase === SubmitPhase.ReadingAfterLostReply) phase = SubmitPhase.Appending
    return []
  }

  const handlers: HandlerTable<SubmitMessage, SubmitEffect[]> = {
    [SubmitMessageKind.AppendReplied]: () => {
      phase = SubmitPhase.WaitingForVerdict
      return readToEnd()
    },
    [SubmitMessageKind.AppendFailed]: onAppendUnconfirmed,
    [SubmitMessageKind.VerdictReached]: ({ verdict }) =>
      verdict.editId === edit.editId ? settle(verdict.code, verdict) : [],
    [SubmitMessageKind.LogReadToEnd]: onReadToEnd,
    [SubmitMessageKind.LogReadFailed]: () => {
      isReading = false
      return []
    },
    [SubmitMessageKind.Tick]: () =>
      clock.nowMs() >= deadlineMs ? settle(ResultCode.EditPending) : tickHandlers[phase]()
  }

  return { handle: message => phase === SubmitPhase.Settled ? [] : dispatch(handlers, message) }
}
