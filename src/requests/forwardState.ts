import { RepeatPolicy } from '../configuration/index.js'
import { ResultCode, type TimestampMs } from '../core/index.js'
import type { Worker } from '../membership/index.js'
import { createEventSplitter, type EventSplitter } from './createEventSplitter.js'
import { AnswerVerdict, type ForwardRequest, type WorkerAnswer } from './forwardTypes.js'

/** One exchange with one worker. */
export interface Attempt {
  exchangeId: number
  worker: Worker
  answer: WorkerAnswer | undefined
  splitter: EventSplitter
  held: Uint8Array[]
  lastEventAtMs: TimestampMs
  hasEvents: boolean
}

/** A request from its submission to its result. */
export interface LiveForward {
  request: ForwardRequest
  attempt: Attempt | undefined
  attemptCount: number
  triedWorkerIds: string[]
  /** Some attempt may have run: the request can no longer end as not run. */
  mayHaveRun: boolean
  isHeadSent: boolean
  lastEventId: string | undefined
  /** While it waits for a place: when it is refused, and what it lacks. */
  waitsUntilMs: TimestampMs | undefined
  waitCode: ResultCode
}

export const getDefaultAttempt = (exchangeId: number, worker: Worker, nowMs: TimestampMs): Attempt => ({
  exchangeId, worker, answer: undefined, splitter: createEventSplitter(), held: [], lastEventAtMs: nowMs, hasEvents: false
})

export const getDefaultForward = (request: ForwardRequest): LiveForward => ({
  request,
  attempt: undefined,
  attemptCount: 0,
  triedWorkerIds: [],
  mayHaveRun: false,
  isHeadSent: false,
  lastEventId: request.lastEventId,
  waitsUntilMs: undefined,
  waitCode: ResultCode.Overloaded
})

/** Whether a request may run twice: streams that resume, and plain requests that are idempotent. */
export const isRepeatable = ({ route }: ForwardRequest): boolean =>
  route.isEventStream ? route.isResumable : route.repeat === RepeatPolicy.Idempotent

export const isStream = ({ answer }: Attempt): boolean =>
  answer !== undefined && answer.isEventStream && answer.verdict === AnswerVerdict.Success

export const byUrgency = (a: LiveForward, b: LiveForward): number =>
  a.request.priority - b.request.priority || a.request.deadlineAtMs - b.request.deadlineAtMs
