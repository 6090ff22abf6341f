import { ResultCode, type TimestampMs } from '../core/index.js'
import { KeyState } from './constants.js'
import type { KeptAnswer } from './keptAnswers.js'
import { type RunsEffect, RunsEffectKind } from './keyedRunsTypes.js'
import { type AgentReply, AgentReplyKind, type DispatchFrame } from './types.js'

/** An entry that waits for the answer of a run. */
interface Waiting {
  to: string
  requestId: string
  bindingOffset: number
  nextSequence: number
}

/** How a run ended. */
export interface RunEnd {
  code: ResultCode
  httpStatus: number
}

/** One run of a key in this incarnation. */
export interface KeyedRun {
  runId: string
  scopedKey: string
  keyTimeMs: TimestampMs
  shard: number
  bindingOffset: number
  fingerprint: string
  answer: KeptAnswer
  waiting: Map<string, Waiting>
  end?: RunEnd
}

const waitingId = (from: string, requestId: string) => `${from}/${requestId}`

const reply = (to: string, body: AgentReply): RunsEffect => ({ kind: RunsEffectKind.Reply, to, reply: body })

export const stateReply = (
  to: string, { requestId, bindingOffset }: { requestId: string, bindingOffset: number }, state: KeyState,
  producedCount = 0, code?: ResultCode
): RunsEffect => reply(to, { kind: AgentReplyKind.State, requestId, bindingOffset, state, producedCount, code })

export const refusal = (
  to: string, { requestId, bindingOffset }: { requestId: string, bindingOffset: number }, code: ResultCode
): RunsEffect => reply(to, { kind: AgentReplyKind.Refused, requestId, bindingOffset, code })

/** State of a run as told to an entry that asks. */
export const runState = ({ end }: KeyedRun): KeyState => end === undefined ? KeyState.Running : KeyState.Done

/** Sends the chunks a waiting entry lacks and, once the run has ended, its end. */
const advanceWaiting = ({ answer, end, waiting }: KeyedRun, id: string, latest?: Uint8Array): RunsEffect[] => {
  const entry = waiting.get(id)
  if (entry === undefined) return []
  const { to, requestId, bindingOffset } = entry
  const effects: RunsEffect[] = []
  const send = (sequence: number, bytes: Uint8Array) => {
    effects.push(reply(to, { kind: AgentReplyKind.Chunk, requestId, bindingOffset, sequence, bytes }))
    entry.nextSequence = sequence + 1
  }
  if (answer.isKept) {
    for (let i = entry.nextSequence; i < answer.chunks.length; i++) send(i, answer.chunks[i]!)
  } else if (latest !== undefined && entry.nextSequence === answer.producedCount - 1) {
    // An entry that is up to date gets the answer whole although it is not kept.
    send(entry.nextSequence, latest)
  }
  if (end === undefined) return effects
  waiting.delete(id)
  if (end.code !== ResultCode.Ok) effects.push(refusal(to, entry, end.code))
  else if (entry.nextSequence < answer.producedCount) effects.push(refusal(to, entry, ResultCode.AnswerNotKept))
  else {
    effects.push(reply(to, {
      kind: AgentReplyKind.End,
      requestId,
      bindingOffset,
      count: answer.producedCount,
      hash: answer.digest(),
      httpStatus: end.httpStatus
    }))
  }
  return effects
}

/** Attaches an entry to a run; a repeated dispatch continues at the sequence it names. */
export const attach = (
  run: KeyedRun, from: string, { requestId, bindingOffset, fromSequence }: DispatchFrame
): RunsEffect[] => {
  const id = waitingId(from, requestId)
  run.waiting.set(id, { to: from, requestId, bindingOffset, nextSequence: fromSequence })
  return [
    stateReply(from, { requestId, bindingOffset }, runState(run), run.answer.producedCount),
    ...advanceWaiting(run, id)
  ]
}

export const detach = ({ waiting }: KeyedRun, from: string, requestId: string): void => {
  waiting.delete(waitingId(from, requestId))
}

export const detachEntry = ({ waiting }: KeyedRun, from: string): void => {
  for (const [id, { to }] of waiting) if (to === from) waiting.delete(id)
}

export const addChunk = (run: KeyedRun, bytes: Uint8Array): RunsEffect[] => {
  run.answer.add(bytes)
  return [...run.waiting.keys()].flatMap(id => advanceWaiting(run, id, bytes))
}

export const endRun = (run: KeyedRun, end: RunEnd): RunsEffect[] => {
  run.end = end
  run.answer.end()
  return [...run.waiting.keys()].flatMap(id => advanceWaiting(run, id))
}

/** Tells every waiting entry that the run did not start, so that its binding is void. */
export const voidWaiting = ({ waiting }: KeyedRun, code: ResultCode): RunsEffect[] =>
  [...waiting.values()].map(entry => stateReply(entry.to, entry, KeyState.Voided, 0, code))
