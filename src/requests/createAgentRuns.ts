import { type Clock, type Core, dispatch, type HandlerTable, ResultCode, type TimestampMs } from '../core/index.js'
import { FrameKind } from '../links/index.js'
import { AGENT_RUNS_MAX, RESUME_KEEP_MS, STARTED_KEEP_MARGIN_MS, VOID_KEEP_MS } from './constants.js'
import { createResponseBuffer, type ResponseBuffer, toChunkFrame, toEndFrame } from './createResponseBuffer.js'
import type { ResumeFrame, RunFrame } from './frames.js'
import { type AgentRunEffect, AgentRunEffectKind, type AgentRunMessage, AgentRunMessageKind } from './types.js'

interface AgentRun {
  runId: string
  requestId: string
  attempt: number
  /** Undefined while the entry's link is lost. */
  linkId: string | undefined
  buffer: ResponseBuffer
  deadlineAtMs: TimestampMs
  discardAtMs: TimestampMs | undefined
}

export interface AgentRunsOptions {
  clock: Clock
  runsMax?: number
}

export interface AgentRuns extends Core<AgentRunMessage, AgentRunEffect> {
  readonly activeCount: number
  readonly keptBytes: number
}

const deleteExpired = (untilMs: Map<string, TimestampMs>, nowMs: TimestampMs) => {
  for (const [runId, expiresMs] of untilMs) if (expiresMs <= nowMs) untilMs.delete(runId)
}

const RESPONSE_LOST_END = { code: ResultCode.AnswerLost, chunkCount: 0, hash: '' }

/** Id of the run of one attempt on the agent. */
export const toRunId = (requestId: string, attempt: number) => `${requestId}/${attempt}`

/**
 * State machine for all runs of one agent that have no idempotency key: starts them on the upstream,
 * numbers and buffers their response chunks, resumes them on a new link and refuses new runs while draining.
 *
 * @example
 * const runs = createAgentRuns({ clock })
 * runs.handle({ kind: AgentRunMessageKind.RunRequested, linkId, frame })
 */
export const createAgentRuns = ({ clock, runsMax = AGENT_RUNS_MAX }: AgentRunsOptions): AgentRuns => {
  const runs = new Map<string, AgentRun>()
  /** Attempts that were reported as not run, by run id; a delayed Run frame must not start one of them. */
  const voidedUntilMs = new Map<string, TimestampMs>()
  /**
   * Attempts that were started, by run id, kept until the entry's deadline has passed. Without them, a
   * resume of a run whose response was already discarded would wrongly be reported as not run.
   */
  const startedUntilMs = new Map<string, TimestampMs>()
  let isDraining = false
  let activeCount = 0

  const sendTo = (linkId: string | undefined, frame: Extract<AgentRunEffect, { kind: AgentRunEffectKind.SendFrame }>['frame']): AgentRunEffect[] =>
    linkId === undefined ? [] : [{ kind: AgentRunEffectKind.SendFrame, linkId, frame }]

  const refuse = (linkId: string, { requestId, attempt }: { requestId: string, attempt: number }, code: ResultCode) =>
    sendTo(linkId, { kind: FrameKind.Refused, requestId, attempt, code })

  const replay = (run: AgentRun, nextSequence: number): AgentRunEffect[] => {
    const { requestId, attempt, linkId, buffer } = run
    const chunks = buffer.readFrom(nextSequence)
    if (chunks === undefined) {
      return sendTo(linkId, toEndFrame(requestId, attempt, RESPONSE_LOST_END))
    }
    const effects = chunks.flatMap(chunk => sendTo(linkId, toChunkFrame(requestId, attempt, chunk)))
    if (buffer.ended !== undefined) effects.push(...sendTo(linkId, toEndFrame(requestId, attempt, buffer.ended)))
    return effects
  }

  const onRun = (linkId: string, frame: RunFrame): AgentRunEffect[] => {
    const runId = toRunId(frame.requestId, frame.attempt)
    // A duplicate Run frame never starts a second run.
    if (startedUntilMs.has(runId)) return []
    if (voidedUntilMs.has(runId)) return refuse(linkId, frame, ResultCode.NoUpstream)
    if (isDraining) return refuse(linkId, frame, ResultCode.Draining)
    if (activeCount >= runsMax) return refuse(linkId, frame, ResultCode.Overloaded)
    activeCount += 1
    startedUntilMs.set(runId, clock.nowMs() + frame.remainingMs + STARTED_KEEP_MARGIN_MS)
    runs.set(runId, {
      runId,
      requestId: frame.requestId,
      attempt: frame.attempt,
      linkId,
      buffer: createResponseBuffer(frame.requestId),
      deadlineAtMs: clock.nowMs() + frame.remainingMs,
      discardAtMs: undefined
    })
    return [{ kind: AgentRunEffectKind.StartUpstream, runId, linkId, frame }]
  }

  const onResume = (linkId: string, frame: ResumeFrame): AgentRunEffect[] => {
    const runId = toRunId(frame.requestId, frame.attempt)
    const run = runs.get(runId)
    if (run === undefined && startedUntilMs.has(runId)) {
      return sendTo(linkId, toEndFrame(frame.requestId, frame.attempt, RESPONSE_LOST_END))
    }
    if (run === undefined) {
      voidedUntilMs.set(runId, clock.nowMs() + VOID_KEEP_MS)
      return refuse(linkId, frame, ResultCode.NoUpstream)
    }
    run.linkId = linkId
    return replay(run, frame.nextSequence)
  }

  const endRun = (run: AgentRun, code: ResultCode): AgentRunEffect[] => {
    if (run.buffer.ended !== undefined) return []
    run.discardAtMs = clock.nowMs() + RESUME_KEEP_MS
    activeCount -= 1
    return sendTo(run.linkId, toEndFrame(run.requestId, run.attempt, run.buffer.end(code)))
  }

  /** Refuses a run that the upstream never received; a delayed duplicate of its Run frame must not start it. */
  const refuseRun = (run: AgentRun, code: ResultCode): AgentRunEffect[] => {
    activeCount -= 1
    runs.delete(run.runId)
    startedUntilMs.delete(run.runId)
    voidedUntilMs.set(run.runId, clock.nowMs() + VOID_KEEP_MS)
    return run.linkId === undefined ? [] : refuse(run.linkId, run, code)
  }

  const cancel = (run: AgentRun, code: ResultCode): AgentRunEffect[] => {
    if (run.buffer.ended !== undefined) return []
    return [{ kind: AgentRunEffectKind.CancelUpstream, runId: run.runId }, ...endRun(run, code)]
  }

  const withActiveRun = (runId: string, update: (run: AgentRun) => AgentRunEffect[]): AgentRunEffect[] => {
    const run = runs.get(runId)
    return run === undefined || run.buffer.ended !== undefined ? [] : update(run)
  }

  const onTick = (): AgentRunEffect[] => {
    const nowMs = clock.nowMs()
    const effects: AgentRunEffect[] = []
    for (const run of runs.values()) {
      if (run.deadlineAtMs <= nowMs) effects.push(...cancel(run, ResultCode.DeadlineExceeded))
      if (run.discardAtMs !== undefined && run.discardAtMs <= nowMs) runs.delete(run.runId)
    }
    deleteExpired(voidedUntilMs, nowMs)
    deleteExpired(startedUntilMs, nowMs)
    return effects
  }

  const onLinkLost = (linkId: string): AgentRunEffect[] => {
    for (const run of runs.values()) if (run.linkId === linkId) run.linkId = undefined
    return []
  }

  const handlers: HandlerTable<AgentRunMessage, AgentRunEffect[]> = {
    [AgentRunMessageKind.RunRequested]: ({ linkId, frame }) => onRun(linkId, frame),
    [AgentRunMessageKind.ResumeRequested]: ({ linkId, frame }) => onResume(linkId, frame),
    [AgentRunMessageKind.CancelRequested]: ({ frame }) =>
      withActiveRun(toRunId(frame.requestId, frame.attempt), run => cancel(run, ResultCode.CallerGone)),
    [AgentRunMessageKind.UpstreamHead]: ({ runId, head }) => withActiveRun(runId, run =>
      sendTo(run.linkId, toChunkFrame(run.requestId, run.attempt, run.buffer.addHead(head)))),
    [AgentRunMessageKind.UpstreamBytes]: ({ runId, bytes }) => withActiveRun(runId, run =>
      sendTo(run.linkId, toChunkFrame(run.requestId, run.attempt, run.buffer.addBytes(bytes)))),
    [AgentRunMessageKind.UpstreamEnded]: ({ runId, code }) => withActiveRun(runId, run => endRun(run, code)),
    [AgentRunMessageKind.UpstreamRefused]: ({ runId, code }) => withActiveRun(runId, run => refuseRun(run, code)),
    [AgentRunMessageKind.LinkLost]: ({ linkId }) => onLinkLost(linkId),
    [AgentRunMessageKind.DrainStarted]: () => {
      isDraining = true
      return []
    },
    [AgentRunMessageKind.Tick]: onTick
  }

  return {
    handle: message => dispatch(handlers, message),
    get activeCount () { return activeCount },
    get keptBytes () {
      let bytes = 0
      for (const run of runs.values()) bytes += run.buffer.keptBytes
      return bytes
    }
  }
}
