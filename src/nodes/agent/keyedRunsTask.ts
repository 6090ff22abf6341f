import { type Clock, createTask, dispatch, type HandlerTable, type Incarnation, Lane, ResultCode, type Task } from '../../core/index.js'
import { type Frame, FrameKind, parseFrame } from '../../links/index.js'
import { type HopSpan, SpanName, type Tracing } from '../../observe/index.js'
import {
  createKeyedRuns, detachFrameSchema, dispatchFrameSchema, type RunsEffect, RunsEffectKind, type RunsMessage,
  RunsMessageKind, voidFrameSchema
} from '../../once/index.js'
import { REQUEST_TICK_MS } from '../../requests/index.js'
import { decodeRequest, encodeHead, type KeyedRequest } from '../requestCodec.js'
import type { GuardTask } from './guardTask.js'
import { toUpstreamCall, type UpstreamTask } from './upstreamTask.js'

/** Callers cannot cancel a keyed run, so its upstream call has a timeout of its own. */
const KEYED_RUN_TIMEOUT_MS = 600_000
/** Long window that keeps every key until the pool's row arrives. */
const WINDOW_UNKNOWN_MS = 86_400_000
const TASK_CAPACITY = 65_536

export interface KeyedRunsTaskOptions {
  clock: Clock
  incarnation: Incarnation
  upstream: UpstreamTask
  guard: GuardTask
  tracing: Tracing
  sendTo: (linkId: string, frame: Frame) => void
}

/** Runs keyed calls on the agent's upstream. */
export interface KeyedRunsTask {
  onDispatch (linkId: string, frame: Frame): void
  onVoidIfUnseen (linkId: string, frame: Frame): void
  onDetach (linkId: string, frame: Frame): void
  onLinkLost (linkId: string): void
  setWindow (windowMs: number): void
  startDrain (): void
  readonly activeCount: number
  stop (): void
}

/**
 * Creates the task that runs the keyed calls of one agent.
 *
 * @example
 * const keyedRuns = createKeyedRunsTask({ clock, incarnation, upstream, guard, tracing, sendTo })
 */
export const createKeyedRunsTask = (
  { clock, incarnation, upstream, guard, tracing, sendTo }: KeyedRunsTaskOptions
): KeyedRunsTask => {
  const activeRunIds = new Set<string>()

  const requestStart = (runId: string, body: Uint8Array) => {
    const keyed = decodeRequest(body)
    activeRunIds.add(runId)
    guard.request({
      runId,
      fingerprint: keyed.fingerprint,
      isSuspect: keyed.isSuspect,
      isRepeatable: false,
      start: () => startRun(runId, keyed),
      refuse: code => {
        activeRunIds.delete(runId)
        task.post({ kind: RunsMessageKind.UpstreamFailed, runId, code, hasStarted: false })
      },
      // The guard only cancels runs that are safe to retry, which a keyed run is not.
      cancel: () => {}
    })
  }

  /** Without one of its parts a response would have a gap, so that the run ends. */
  const postPart = (runId: string, message: RunsMessage) => {
    if (task.post(message)) return
    upstream.cancel(runId)
    task.post({ kind: RunsMessageKind.UpstreamFailed, runId, code: ResultCode.AnswerLost, hasStarted: true })
  }

  const startRun = (runId: string, { request, traceparent }: KeyedRequest) => {
    const agentSpan = tracing.startSpan(SpanName.Agent, traceparent, { runId })
    const engineSpan = tracing.startSpan(SpanName.Engine, agentSpan.traceparent, { path: request.path })
    const call = toUpstreamCall(request, { requestId: runId, timeoutMs: KEYED_RUN_TIMEOUT_MS, traceparent: engineSpan.traceparent })
    let httpStatus = 0
    upstream.start(runId, call, 0, {
      onHead: (status, contentType) => {
        httpStatus = status
        postPart(runId, { kind: RunsMessageKind.UpstreamChunk, runId, bytes: encodeHead({ status, contentType }) })
      },
      onBytes: bytes => postPart(runId, { kind: RunsMessageKind.UpstreamChunk, runId, bytes }),
      onEnd: (code, hasStarted) => {
        activeRunIds.delete(runId)
        guard.recordEnd(runId, code === ResultCode.Ok)
        endSpans([engineSpan, agentSpan], code)
        postPart(runId, code === ResultCode.Ok
          ? { kind: RunsMessageKind.UpstreamEnded, runId, httpStatus }
          : { kind: RunsMessageKind.UpstreamFailed, runId, code, hasStarted })
      }
    })
  }

  const performers: HandlerTable<RunsEffect, void> = {
    [RunsEffectKind.StartRun]: ({ runId, body }) => requestStart(runId, body),
    [RunsEffectKind.Reply]: ({ to, reply }) => sendTo(to, { kind: FrameKind.KeyReply, reply })
  }

  const task: Task<RunsMessage> = createTask({
    name: 'once',
    core: createKeyedRuns({ clock, incarnation, windowMs: WINDOW_UNKNOWN_MS }),
    perform: effect => dispatch(performers, effect),
    // A run that could not be started ends, so that its entry does not wait for the deadline.
    onFailure: ({ effect }) => {
      if (effect?.kind === RunsEffectKind.StartRun) task.post({ kind: RunsMessageKind.UpstreamFailed, runId: effect.runId, code: ResultCode.UpstreamDied, hasStarted: true })
    },
    capacity: TASK_CAPACITY,
    laneOf: ({ kind }) => kind === RunsMessageKind.UpstreamChunk || kind === RunsMessageKind.UpstreamEnded ? Lane.Bulk : Lane.Control
  })
  task.tickEvery(REQUEST_TICK_MS, () => ({ kind: RunsMessageKind.Tick }))

  return {
    onDispatch: (linkId, frame) => {
      const { dispatch: keyed } = parseFrame(dispatchFrameSchema, frame)
      // Validates the body here, so that a decoding error cannot occur after the key is bound.
      decodeRequest(keyed.body)
      task.post({ kind: RunsMessageKind.Dispatched, from: linkId, frame: keyed })
    },
    onVoidIfUnseen: (linkId, frame) => {
      task.post({ kind: RunsMessageKind.VoidRequested, from: linkId, frame: parseFrame(voidFrameSchema, frame).void })
    },
    onDetach: (linkId, frame) => {
      const { scopedKey, requestId } = parseFrame(detachFrameSchema, frame)
      task.post({ kind: RunsMessageKind.Detached, from: linkId, scopedKey, requestId })
    },
    onLinkLost: linkId => { task.post({ kind: RunsMessageKind.EntryLost, from: linkId }) },
    setWindow: windowMs => { task.post({ kind: RunsMessageKind.WindowChanged, windowMs }) },
    startDrain: () => { task.post({ kind: RunsMessageKind.DrainStarted }) },
    get activeCount () { return activeRunIds.size },
    stop: () => task.stop()
  }
}

const endSpans = (spans: HopSpan[], code: ResultCode) => spans.forEach(span => span.end(code))
