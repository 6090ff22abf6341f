import { type Clock, createTask, dispatch, type HandlerTable, Lane, ResultCode, type Task } from '../../core/index.js'
import { type Frame, FrameKind, parseFrame } from '../../links/index.js'
import { SpanName, type Tracing } from '../../observe/index.js'
import { type AgentRunEffect, AgentRunEffectKind, type AgentRunMessage, AgentRunMessageKind, cancelFrameSchema, createAgentRuns, REQUEST_TICK_MS, resumeFrameSchema, type RunFrame, runFrameSchema } from '../../requests/index.js'
import type { GuardTask } from './guardTask.js'
import { toUpstreamCall, type UpstreamTask } from './upstreamTask.js'

const TASK_CAPACITY = 65_536

export interface RunsTaskOptions {
  clock: Clock
  agentId: string
  upstream: UpstreamTask
  guard: GuardTask
  tracing: Tracing
  sendTo: (linkId: string, frame: Frame) => void
  /** Resolves when a link can take more; undefined if that is now, or the link is lost. */
  whenWritable: (linkId: string) => Promise<void> | undefined
}

/** The runs of one agent whose requests have no idempotency key. */
export interface RunsTask {
  onRun (linkId: string, frame: Frame): void
  onResume (linkId: string, frame: Frame): void
  onCancel (linkId: string, frame: Frame): void
  onLinkLost (linkId: string): void
  startDrain (): void
  readonly activeCount: number
  stop (): void
}

/** Parts of responses, and the ends that follow them, leave room for the other messages; a failure needs no part before it. */
const laneOf = (message: AgentRunMessage): Lane => {
  const isPart = message.kind === AgentRunMessageKind.UpstreamHead || message.kind === AgentRunMessageKind.UpstreamBytes
  const isWholeEnd = message.kind === AgentRunMessageKind.UpstreamEnded && message.code === ResultCode.Ok
  return isPart || isWholeEnd ? Lane.Bulk : Lane.Control
}

/**
 * Creates the task that runs unkeyed requests on the agent's upstream.
 *
 * @example
 * const runs = createRunsTask({ clock, agentId, upstream, guard, tracing, sendTo, whenWritable })
 */
export const createRunsTask = ({ clock, agentId, upstream, guard, tracing, sendTo, whenWritable }: RunsTaskOptions): RunsTask => {
  const core = createAgentRuns({ clock })

  /** Without one of its parts a response would have a gap, so that the run ends. */
  const postPart = (runId: string, message: AgentRunMessage) => {
    if (task.post(message)) return
    upstream.cancel(runId)
    task.post({ kind: AgentRunMessageKind.UpstreamEnded, runId, code: ResultCode.AnswerLost })
  }

  const startUpstream = (runId: string, frame: RunFrame, linkId: string, isAlone: boolean) => {
    const { request, requestId, remainingMs, estimatedTokens } = frame
    if (isAlone) sendTo(linkId, { kind: FrameKind.StartedAlone, requestId })
    const agentSpan = tracing.startSpan(SpanName.Agent, frame.traceparent, { requestId, agentId })
    const engineSpan = tracing.startSpan(SpanName.Engine, agentSpan.traceparent, { path: request.path })
    const call = toUpstreamCall(request, { requestId, timeoutMs: remainingMs, traceparent: engineSpan.traceparent })
    upstream.start(runId, call, estimatedTokens, {
      onHead: (status, contentType) =>
        postPart(runId, { kind: AgentRunMessageKind.UpstreamHead, runId, head: { status, contentType } }),
      onBytes: bytes => postPart(runId, { kind: AgentRunMessageKind.UpstreamBytes, runId, bytes }),
      whenReady: () => whenWritable(linkId),
      onEnd: (code, hasStarted) => {
        engineSpan.end(code)
        agentSpan.end(code)
        guard.recordEnd(runId, code === ResultCode.Ok)
        postPart(runId, hasStarted
          ? { kind: AgentRunMessageKind.UpstreamEnded, runId, code }
          : { kind: AgentRunMessageKind.UpstreamRefused, runId, code: code === ResultCode.Overloaded ? code : ResultCode.NoUpstream })
      }
    })
  }

  const requestStart = (runId: string, linkId: string, frame: RunFrame) => {
    guard.request({
      runId,
      fingerprint: frame.fingerprint,
      isSuspect: frame.isSuspect,
      isRepeatable: frame.isRepeatable,
      start: isAlone => startUpstream(runId, frame, linkId, isAlone),
      refuse: code => task.post({ kind: AgentRunMessageKind.UpstreamRefused, runId, code }),
      cancel: () => {
        upstream.cancel(runId)
        task.post({ kind: AgentRunMessageKind.UpstreamEnded, runId, code: ResultCode.UpstreamRefused })
      }
    })
  }

  const performers: HandlerTable<AgentRunEffect, void> = {
    [AgentRunEffectKind.StartUpstream]: ({ runId, linkId, frame }) => requestStart(runId, linkId, frame),
    [AgentRunEffectKind.CancelUpstream]: ({ runId }) => {
      upstream.cancel(runId)
      guard.recordEnd(runId, false)
    },
    [AgentRunEffectKind.SendFrame]: ({ linkId, frame }) => sendTo(linkId, frame)
  }

  const task: Task<AgentRunMessage> = createTask({
    name: 'agent',
    core,
    perform: effect => dispatch(performers, effect),
    // A run that could not be started ends, so that its entry does not wait for the deadline.
    onFailure: ({ effect }) => {
      if (effect?.kind === AgentRunEffectKind.StartUpstream) task.post({ kind: AgentRunMessageKind.UpstreamEnded, runId: effect.runId, code: ResultCode.UpstreamDied })
    },
    capacity: TASK_CAPACITY,
    laneOf
  })
  task.tickEvery(REQUEST_TICK_MS, () => ({ kind: AgentRunMessageKind.Tick }))

  return {
    onRun: (linkId, frame) => {
      task.post({ kind: AgentRunMessageKind.RunRequested, linkId, frame: parseFrame(runFrameSchema, frame) })
    },
    onResume: (linkId, frame) => {
      task.post({ kind: AgentRunMessageKind.ResumeRequested, linkId, frame: parseFrame(resumeFrameSchema, frame) })
    },
    onCancel: (linkId, frame) => {
      task.post({ kind: AgentRunMessageKind.CancelRequested, linkId, frame: parseFrame(cancelFrameSchema, frame) })
    },
    onLinkLost: linkId => { task.post({ kind: AgentRunMessageKind.LinkLost, linkId }) },
    startDrain: () => { task.post({ kind: AgentRunMessageKind.DrainStarted }) },
    get activeCount () { return core.activeCount },
    stop: () => task.stop()
  }
}
