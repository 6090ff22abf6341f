import { ResultCode, type TimestampMs } from '../core/index.js'
import { KeyState } from './constants.js'
import type { StoredResponse } from './createResponseStore.js'
import { type RunsEffect, RunsEffectKind } from './keyedRunsTypes.js'
import { type AgentReply, AgentReplyKind, type DispatchFrame } from './types.js'

/** An entry that waits for the response of a run. */
interface WaitingEntry {
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

/** Run of one key in this incarnation of the agent. */
export interface KeyedRun {
  runId: string
  scopedKey: string
  keyTimeMs: TimestampMs
  shard: number
  bindingOffset: number
  fingerprint: string
  answer: StoredResponse
  waiting: Map<string, WaitingEntry>
  end?: RunEnd
}

const waitingEntryId = (from: string, requestId: string) => `${from}/${requestId}`

const reply = (to: string, body: AgentReply): RunsEffect => ({ kind: RunsEffectKind.Reply, to, reply: body })

export const stateReply = (
  to: string, { requestId, bindingOffset }: { requestId: string, bindingOffset: number }, state: KeyState,
  producedCount = 0, code?: ResultCode
): RunsEffect => reply(to, { kind: AgentReplyKind.State, requestId, bindingOffset, state, producedCount, code })

export const refusalReply = (
  to: string, { requestId, bindingOffset }: { requestId: string, bindingOffset: number }, code: ResultCode
): RunsEffect => reply(to, { kind: AgentReplyKind.Refused, requestId, bindingOffset, code })

/** State of a run as reported to entries. */
export const stateOfRun = ({ end }: KeyedRun): KeyState => end === undefined ? KeyState.Running : KeyState.Done

/** Sends a waiting entry the chunks that it lacks and, once the run has ended, the end frame. */
const sendPending = ({ answer, end, waiting }: KeyedRun, id: string, latestChunk?: Uint8Array): RunsEffect[] => {
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
  } else if (latestChunk !== undefined && entry.nextSequence === answer.producedCount - 1) {
    // An entry that has all earlier chunks still receives the complete response, although it is not kept.
    send(entry.nextSequence, latestChunk)
  }
  if (end === undefined) return effects
  waiting.delete(id)
  if (end.code !== ResultCode.Ok) effects.push(refusalReply(to, entry, end.code))
  else if (entry.nextSequence < answer.producedCount) effects.push(refusalReply(to, entry, ResultCode.AnswerNotKept))
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

/** Attaches an entry to a run; a retried dispatch continues at the sequence number that it names. */
export const attach = (
  run: KeyedRun, from: string, { requestId, bindingOffset, fromSequence }: DispatchFrame
): RunsEffect[] => {
  const id = waitingEntryId(from, requestId)
  run.waiting.set(id, { to: from, requestId, bindingOffset, nextSequence: fromSequence })
  return [
    stateReply(from, { requestId, bindingOffset }, stateOfRun(run), run.answer.producedCount),
    ...sendPending(run, id)
  ]
}

export const detach = ({ waiting }: KeyedRun, from: string, requestId: string): void => {
  waiting.delete(waitingEntryId(from, requestId))
}

export const detachEntry = ({ waiting }: KeyedRun, from: string): void => {
  for (const [id, { to }] of waiting) if (to === from) waiting.delete(id)
}

export const addChunk = (run: KeyedRun, bytes: Uint8Array): RunsEffect[] => {
  run.answer.add(bytes)
  return [...run.waiting.keys()].flatMap(id => sendPending(run, id, bytes))
}

export const endRun = (run: KeyedRun, end: RunEnd): RunsEffect[] => {
  run.end = end
  run.answer.end()
  return [...run.waiting.keys()].flatMap(id => sendPending(run, id))
}

/** Replies to every waiting entry that the run did not start and that its binding is void. */
export const replyVoided = ({ waiting }: KeyedRun, code: ResultCode): RunsEffect[] =>
  [...waiting.values()].map(entry => stateReply(entry.to, entry, KeyState.Voided, 0, code))
