import {
  type Clock, type Core, describeResult, dispatch, type HandlerTable, Outcome, ResultCode, type TimestampMs
} from '../core/index.js'
import { RepeatPolicy } from '../configuration/index.js'
import { FrameKind } from '../links/index.js'
import { ATTEMPTS_MAX, HOLD_BACK_MAX_BYTES, REQUESTS_MAX } from './constants.js'
import { AssemblyKind, type Assembly, createResponseAssembler, type ResponseAssembler } from './createResponseAssembler.js'
import type { ResponseFrame, ResponseHead } from './frames.js'
import { resumeDeadlineMs } from './resumeDeadline.js'
import {
  AttemptResult, type ChosenAgent, type RequestEffect, RequestEffectKind, type RequestMessage, RequestMessageKind,
  type RequestPorts, type SubmittedRequest
} from './types.js'

interface LiveRequest {
  submitted: SubmittedRequest
  attempt: number
  agent: ChosenAgent
  excludedAgentIds: string[]
  assembler: ResponseAssembler
  hasFirstBytes: boolean
  /** Set once bytes were sent to the caller; no other attempt can replace this one after that. */
  isCommitted: boolean
  head: ResponseHead | undefined
  bufferedBody: Uint8Array[]
  bufferedBytes: number
  /** Code of the last attempt that may have run; if set, the request can no longer be reported as not run. */
  mayHaveRunCode: ResultCode | undefined
  /** While the link is lost: time at which the attempt counts as lost. */
  resumeByMs: TimestampMs | undefined
  gapSinceMs: TimestampMs | undefined
}

export interface RequestCoreOptions {
  clock: Clock
  ports: RequestPorts
  requestsMax?: number
}

export interface RequestCore extends Core<RequestMessage, RequestEffect> {
  readonly liveCount: number
  /** Frames that matched no attempt, or were duplicates. */
  readonly droppedFrameCount: number
  /** Whether the request has not ended yet. */
  isLive (requestId: string): boolean
}

/** A gap that lasts this long is treated as loss rather than reordering: the missing chunks are requested again. */
const CHUNK_GAP_TIMEOUT_MS = 500

/**
 * State machine for all requests of one entry that have no idempotency key: dispatch, retries, resumes,
 * deadlines and the single result that the caller receives.
 *
 * @example
 * const core = createRequestCore({ clock, ports })
 * core.handle({ kind: RequestMessageKind.Submitted, request })
 */
export const createRequestCore = ({ clock, ports, requestsMax = REQUESTS_MAX }: RequestCoreOptions): RequestCore => {
  const live = new Map<string, LiveRequest>()
  let droppedFrameCount = 0

  const failRequest = (requestId: string, code: ResultCode): RequestEffect[] => [{ kind: RequestEffectKind.Fail, requestId, code }]

  const endRequest = (request: LiveRequest, code: ResultCode): RequestEffect[] => {
    const { submitted, mayHaveRunCode } = request
    const claimsNotRun = describeResult(code).outcome === Outcome.NotRun
    const finalCode = claimsNotRun && mayHaveRunCode !== undefined ? mayHaveRunCode : code
    live.delete(submitted.requestId)
    droppedFrameCount += request.assembler.droppedCount
    ports.onRequestEnded(submitted, finalCode)
    return finalCode === ResultCode.Ok
      ? [{ kind: RequestEffectKind.Complete, requestId: submitted.requestId }]
      : failRequest(submitted.requestId, finalCode)
  }

  const sendRun = (request: LiveRequest): RequestEffect => {
    const { submitted, agent, attempt } = request
    const traceparent = ports.onDispatched(submitted, agent, attempt) ?? submitted.traceparent
    return {
      kind: RequestEffectKind.SendToAgent,
      agent,
      frame: {
        kind: FrameKind.Run,
        requestId: submitted.requestId,
        attempt,
        remainingMs: Math.max(0, submitted.deadlineAtMs - clock.nowMs()),
        fingerprint: submitted.fingerprint,
        isSuspect: ports.isSuspect(submitted),
        isRepeatable: submitted.repeat === RepeatPolicy.Idempotent,
        estimatedTokens: submitted.estimatedTokens,
        request: submitted.request,
        ...(traceparent === undefined ? {} : { traceparent })
      }
    }
  }

  const onSubmitted = (submitted: SubmittedRequest): RequestEffect[] => {
    if (live.size >= requestsMax) return failRequest(submitted.requestId, ResultCode.Overloaded)
    const refusal = ports.admit(submitted)
    if (refusal !== undefined) return failRequest(submitted.requestId, refusal)
    const agent = ports.choose(submitted, [])
    if (typeof agent === 'number') {
      ports.onRequestEnded(submitted, agent)
      return failRequest(submitted.requestId, agent)
    }
    const request: LiveRequest = {
      submitted,
      attempt: 0,
      agent,
      excludedAgentIds: [],
      assembler: createResponseAssembler(submitted.requestId),
      hasFirstBytes: false,
      isCommitted: false,
      head: undefined,
      bufferedBody: [],
      bufferedBytes: 0,
      mayHaveRunCode: undefined,
      resumeByMs: undefined,
      gapSinceMs: undefined
    }
    live.set(submitted.requestId, request)
    return [sendRun(request)]
  }

  const canRetry = (request: LiveRequest, isProvenNotRun: boolean): boolean => {
    if (request.isCommitted || request.attempt + 1 >= ATTEMPTS_MAX) return false
    if (clock.nowMs() >= request.submitted.deadlineAtMs) return false
    const isRepeatable = request.submitted.repeat === RepeatPolicy.Idempotent
    return (isProvenNotRun || isRepeatable) && ports.takeRetry(request.submitted)
  }

  const retryOrEnd = (request: LiveRequest, code: ResultCode, isProvenNotRun: boolean): RequestEffect[] => {
    request.excludedAgentIds.push(request.agent.agentId)
    if (!canRetry(request, isProvenNotRun)) return endRequest(request, code)
    const agent = ports.choose(request.submitted, request.excludedAgentIds)
    if (typeof agent === 'number') return endRequest(request, agent)
    request.attempt += 1
    request.agent = agent
    request.assembler = createResponseAssembler(request.submitted.requestId)
    request.hasFirstBytes = false
    request.head = undefined
    request.bufferedBody = []
    request.bufferedBytes = 0
    request.resumeByMs = undefined
    request.gapSinceMs = undefined
    return [sendRun(request)]
  }

  const failAttempt = (request: LiveRequest, code: ResultCode, result: AttemptResult): RequestEffect[] => {
    const isProvenNotRun = result === AttemptResult.Refused
    if (!isProvenNotRun) request.mayHaveRunCode = code
    ports.onAttemptEnded(request.submitted, request.agent, request.attempt, result)
    return retryOrEnd(request, code, isProvenNotRun)
  }

  const flushToCaller = (request: LiveRequest): RequestEffect[] => {
    const { submitted: { requestId }, head, bufferedBody } = request
    const effects: RequestEffect[] = []
    if (!request.isCommitted && head !== undefined) effects.push({ kind: RequestEffectKind.SendHead, requestId, head })
    request.isCommitted = true
    for (const bytes of bufferedBody) effects.push({ kind: RequestEffectKind.SendBody, requestId, bytes })
    request.bufferedBody = []
    request.bufferedBytes = 0
    return effects
  }

  const bufferBytes = (request: LiveRequest, assembly: Assembly): RequestEffect[] => {
    request.head ??= assembly.head
    request.bufferedBody.push(...assembly.bytes)
    for (const bytes of assembly.bytes) request.bufferedBytes += bytes.length
    if (assembly.bytes.length === 0) return []
    if (!request.hasFirstBytes) {
      request.hasFirstBytes = true
      ports.onFirstBytes(request.submitted, request.agent, request.attempt)
    } else if (request.submitted.request.isEventStream) ports.onStreamBytes(request.submitted, request.agent)
    const mustFlush = request.submitted.request.isEventStream || request.bufferedBytes > HOLD_BACK_MAX_BYTES
    return mustFlush || request.isCommitted ? flushToCaller(request) : []
  }

  const assemblyHandlers: Record<AssemblyKind, (request: LiveRequest, assembly: Assembly) => RequestEffect[]> = {
    [AssemblyKind.Waiting]: () => [],
    [AssemblyKind.Delivered]: bufferBytes,
    [AssemblyKind.Complete]: (request, assembly) => {
      const effects = [...bufferBytes(request, assembly), ...flushToCaller(request)]
      ports.onAttemptEnded(request.submitted, request.agent, request.attempt, AttemptResult.Finished)
      return [...effects, ...endRequest(request, ResultCode.Ok)]
    },
    [AssemblyKind.Failed]: (request, { code }) =>
      failAttempt(request, code, code === ResultCode.UpstreamDied ? AttemptResult.UpstreamDied : AttemptResult.Lost),
    [AssemblyKind.Corrupt]: (request, { code }) => failAttempt(request, code, AttemptResult.Lost)
  }

  const trackGap = (request: LiveRequest) => {
    request.gapSinceMs = request.assembler.hasGap ? request.gapSinceMs ?? clock.nowMs() : undefined
  }

  const frameHandlers: HandlerTable<ResponseFrame, (request: LiveRequest) => RequestEffect[]> = {
    [FrameKind.Chunk]: frame => request => {
      const assembly = request.assembler.acceptChunk(frame)
      return assemblyHandlers[assembly.kind](request, assembly)
    },
    [FrameKind.End]: frame => request => {
      const assembly = request.assembler.acceptEnd(frame)
      return assemblyHandlers[assembly.kind](request, assembly)
    },
    [FrameKind.Refused]: ({ code }) => request => {
      // The agent remembers started attempts only until the deadline; a refusal after it proves nothing.
      const isProof = clock.nowMs() < request.submitted.deadlineAtMs
      return isProof ? failAttempt(request, code, AttemptResult.Refused) : cancelRequest(request, ResultCode.DeadlineExceeded)
    }
  }

  const onFrame = (agentId: string, frame: ResponseFrame): RequestEffect[] => {
    const request = live.get(frame.requestId)
    if (request === undefined || request.attempt !== frame.attempt || request.agent.agentId !== agentId) {
      droppedFrameCount += 1
      return []
    }
    const effects = dispatch(frameHandlers, frame)(request)
    trackGap(request)
    return effects
  }

  const resume = (request: LiveRequest): RequestEffect => {
    request.resumeByMs = undefined
    request.gapSinceMs = undefined
    ports.onResumed(request.submitted, request.agent, request.attempt)
    return {
      kind: RequestEffectKind.SendToAgent,
      agent: request.agent,
      frame: {
        kind: FrameKind.Resume,
        requestId: request.submitted.requestId,
        attempt: request.attempt,
        nextSequence: request.assembler.nextSequence
      }
    }
  }

  const cancelFrame = ({ submitted, attempt, agent }: LiveRequest): RequestEffect => ({
    kind: RequestEffectKind.SendToAgent,
    agent,
    frame: { kind: FrameKind.Cancel, requestId: submitted.requestId, attempt }
  })

  const cancelRequest = (request: LiveRequest, code: ResultCode): RequestEffect[] => {
    request.mayHaveRunCode = code
    ports.onAttemptEnded(request.submitted, request.agent, request.attempt, AttemptResult.Cancelled)
    return [cancelFrame(request), ...endRequest(request, code)]
  }

  const onAgentLinked = (agentId: string, incarnation: string): RequestEffect[] =>
    [...live.values()]
      .filter(({ agent, resumeByMs }) => agent.agentId === agentId && resumeByMs !== undefined)
      .flatMap(request => request.agent.incarnation === incarnation
        ? [resume(request)]
        : failAttempt(request, ResultCode.UpstreamDied, AttemptResult.Lost))

  const onAgentUnlinked = (agentId: string): RequestEffect[] => {
    for (const request of live.values()) {
      if (request.agent.agentId === agentId) request.resumeByMs ??= resumeDeadlineMs(request.submitted, request.isCommitted, clock.nowMs())
    }
    return []
  }

  const onTick = (): RequestEffect[] => {
    const nowMs = clock.nowMs()
    const effects: RequestEffect[] = []
    for (const request of [...live.values()]) {
      const { submitted, resumeByMs, gapSinceMs } = request
      if (submitted.deadlineAtMs <= nowMs) effects.push(...cancelRequest(request, ResultCode.DeadlineExceeded))
      else if (resumeByMs !== undefined && resumeByMs <= nowMs) {
        effects.push(...failAttempt(request, ResultCode.AnswerLost, AttemptResult.Lost))
      } else if (gapSinceMs !== undefined && gapSinceMs + CHUNK_GAP_TIMEOUT_MS <= nowMs) effects.push(resume(request))
    }
    return effects
  }

  const onCallerGone = (requestId: string): RequestEffect[] => {
    const request = live.get(requestId)
    return request === undefined ? [] : cancelRequest(request, ResultCode.CallerGone)
  }

  const handlers: HandlerTable<RequestMessage, RequestEffect[]> = {
    [RequestMessageKind.Submitted]: ({ request }) => onSubmitted(request),
    [RequestMessageKind.FrameReceived]: ({ agentId, frame }) => onFrame(agentId, frame),
    [RequestMessageKind.AgentLinked]: ({ agentId, incarnation }) => onAgentLinked(agentId, incarnation),
    [RequestMessageKind.AgentUnlinked]: ({ agentId }) => onAgentUnlinked(agentId),
    [RequestMessageKind.CallerGone]: ({ requestId }) => onCallerGone(requestId),
    [RequestMessageKind.Tick]: onTick
  }

  return {
    handle: message => dispatch(handlers, message),
    get liveCount () { return live.size },
    get droppedFrameCount () { return droppedFrameCount },
    isLive: requestId => live.has(requestId)
  }
}
