import { type Clock, createLog, describeResult, dispatch, type HandlerTable, type Incarnation, Outcome, ResultCode } from '../../core/index.js'
import { type Frame, FrameKind, parseFrame, type PeerIdentity } from '../../links/index.js'
import {
  type AgentRef, type BindReply, type BindRequest, boundFrameSchema, type CallEffect, CallEffectKind, type CallMessage,
  CallMessageKind, createKeyedCall, keyReplyFrameSchema, parseIdempotencyKey
} from '../../once/index.js'
import { AttemptResult, type ChosenAgent, HOLD_BACK_MAX_BYTES, type RequestPorts, type SubmittedRequest } from '../../requests/index.js'
import { decodeHead, encodeRequest } from '../requestCodec.js'
import type { ResponseSink } from './types.js'

const log = createLog('once')

interface LiveCall {
  submitted: SubmittedRequest
  core: ReturnType<typeof createKeyedCall>
  sink: ResponseSink
  /** Set if admission refused the call; it may then only use an existing binding of its key. */
  refusalCode: ResultCode | undefined
  agent: ChosenAgent | undefined
  /** Agent that the call was last dispatched to. */
  bound: AgentRef | undefined
  isDispatched: boolean
  /** Agent in an evacuated failure domain that was asked whether it has seen the key. */
  asked: Incarnation | undefined
  hasHead: boolean
  isCommitted: boolean
  head: ReturnType<typeof decodeHead> | undefined
  held: Uint8Array[]
  heldBytes: number
  traceparent: string | undefined
}

export interface KeyedCallsOptions {
  clock: Clock
  ports: RequestPorts
  windowMsOf: (pool: string) => number
  /** Sends a bind request to the owner of the key's shard. */
  requestBinding: (request: BindRequest, traceparent: string | undefined) => void
  sendToAgent: (address: string, frame: Frame) => void
  /** Whether this incarnation of an agent has left the fleet. */
  hasAgentLeft: (agent: AgentRef) => boolean
  /** Whether the failure domain of an agent is evacuated. */
  isEvacuated: (agent: AgentRef) => boolean
  /** Whether the request must run alone on its upstream. */
  isSuspect: (request: SubmittedRequest) => boolean
  /** Trace context of the entry's span for the request. */
  traceparentOf: (request: SubmittedRequest) => string | undefined
}

/** The at-most-once calls of one entry. */
export interface KeyedCalls {
  submit (submitted: SubmittedRequest, sink: ResponseSink): void
  cancel (requestId: string): void
  onBindReply (reply: BindReply): void
  onBound (frame: Frame): void
  onKeyReply (peer: PeerIdentity, frame: Frame): void
  onAgentLinked (peer: PeerIdentity): void
  onAgentUnlinked (peer: PeerIdentity): void
  onOwnersChanged (): void
  tick (): void
  readonly liveCount: number
}

/**
 * Creates the table of keyed calls of one entry, with one core per call.
 *
 * @example
 * const calls = createKeyedCalls({ clock, ports, windowMsOf, requestBinding, sendToAgent })
 * calls.submit(request, sink)
 */
export const createKeyedCalls = ({ clock, ports, windowMsOf, requestBinding, sendToAgent, hasAgentLeft, isEvacuated, isSuspect, traceparentOf }: KeyedCallsOptions): KeyedCalls => {
  const callsByRequestId = new Map<string, LiveCall>()
  const incarnationByAddress = new Map<string, Incarnation>()

  const flush = (call: LiveCall) => {
    if (!call.isCommitted && call.head !== undefined) call.sink.onHead(call.head)
    call.isCommitted = true
    call.held.splice(0).forEach(bytes => call.sink.onBody(bytes))
    call.heldBytes = 0
  }

  const forward = (call: LiveCall, bytes: Uint8Array) => {
    if (!call.hasHead) {
      call.hasHead = true
      call.head = decodeHead(bytes)
      return
    }
    call.held.push(bytes)
    call.heldBytes += bytes.length
    if (call.isCommitted || call.heldBytes > HOLD_BACK_MAX_BYTES) flush(call)
  }

  const finish = (call: LiveCall, code: ResultCode) => {
    const { submitted, sink, refusalCode, agent } = call
    // NoUpstream is only returned after the bound agent has voided the key, which proves that the call did not
    // run. That also holds for the more specific code of the refusal.
    const refinedCode = refusalCode !== undefined && code === ResultCode.NoUpstream ? refusalCode : code
    const finalCode = refinedCode === ResultCode.Ok && !call.hasHead ? ResultCode.AnswerLost : refinedCode
    callsByRequestId.delete(submitted.requestId)
    if (agent !== undefined && call.isDispatched) {
      ports.onAttemptEnded(submitted, agent, 0, finalCode === ResultCode.Ok ? AttemptResult.Finished : attemptResultOf(finalCode))
    }
    ports.onRequestEnded(submitted, finalCode)
    if (finalCode !== ResultCode.Ok) {
      sink.onFail(finalCode)
      return
    }
    flush(call)
    sink.onComplete()
  }

  const choose = (call: LiveCall, excluded: readonly AgentRef[]): AgentRef | undefined => {
    if (call.refusalCode !== undefined) return undefined
    const excludedIncarnations = new Set(excluded.map(({ incarnation }) => incarnation))
    const excludedIds: string[] = []
    for (let attempt = 0; attempt <= excluded.length; attempt++) {
      const agent = ports.choose(call.submitted, excludedIds)
      if (typeof agent === 'number') return undefined
      if (!excludedIncarnations.has(agent.incarnation)) {
        call.agent = agent
        return { incarnation: agent.incarnation, address: agent.address }
      }
      excludedIds.push(agent.agentId)
    }
    return undefined
  }

  /** Whether another incarnation is linked at the agent's address. */
  const isReplaced = ({ address, incarnation }: AgentRef): boolean => {
    const known = incarnationByAddress.get(address)
    return known !== undefined && known !== incarnation
  }

  const recordDispatch = (call: LiveCall, { incarnation }: AgentRef) => {
    if (call.isDispatched || call.agent?.incarnation !== incarnation) return
    call.isDispatched = true
    ports.onDispatched(call.submitted, call.agent, 0)
  }

  const performersOf = (call: LiveCall): HandlerTable<CallEffect, void> => ({
    [CallEffectKind.ChooseAgent]: ({ excluded }) => {
      const agent = choose(call, excluded)
      post(call, { kind: CallMessageKind.AgentChosen, ...(agent === undefined ? {} : { agent }) })
    },
    [CallEffectKind.AskOwner]: ({ request }) => requestBinding(request, call.traceparent),
    [CallEffectKind.Dispatch]: ({ agent, frame }) => {
      call.bound = agent
      if (isReplaced(agent) || hasAgentLeft(agent)) {
        post(call, { kind: CallMessageKind.AgentGone, incarnation: agent.incarnation })
        return
      }
      // An evacuated agent gets only calls that it has seen already; any other is voided there and bound elsewhere.
      if (call.asked !== agent.incarnation && isEvacuated(agent)) {
        call.asked = agent.incarnation
        post(call, { kind: CallMessageKind.LinkLost, incarnation: agent.incarnation })
        return
      }
      recordDispatch(call, agent)
      sendToAgent(agent.address, { kind: FrameKind.Dispatch, dispatch: frame })
    },
    [CallEffectKind.SendVoid]: ({ agent, frame }) => sendToAgent(agent.address, { kind: FrameKind.VoidIfUnseen, void: frame }),
    [CallEffectKind.Detach]: ({ agent, scopedKey, requestId }) =>
      sendToAgent(agent.address, { kind: FrameKind.Detach, scopedKey, requestId }),
    [CallEffectKind.Forward]: ({ bytes }) => forward(call, bytes),
    [CallEffectKind.Finish]: ({ code }) => finish(call, code)
  })

  /** Ends a call after an exception: its outcome is unknown, as it may have been dispatched. */
  const failCall = ({ submitted: { requestId }, sink }: LiveCall, error: unknown) => {
    log('call %s failed: %s', requestId, error instanceof Error ? error.stack : error)
    callsByRequestId.delete(requestId)
    try {
      sink.onFail(ResultCode.AnswerLost)
    } catch (failure) {
      log('result of call %s cannot be delivered: %s', requestId, failure instanceof Error ? failure.message : failure)
    }
  }

  const post = (call: LiveCall, message: CallMessage) => {
    const performers = performersOf(call)
    try {
      for (const effect of call.core.handle(message)) dispatch(performers, effect)
    } catch (error) {
      failCall(call, error)
    }
  }

  const postAll = (message: CallMessage) => {
    for (const call of [...callsByRequestId.values()]) post(call, message)
  }

  const submit = (submitted: SubmittedRequest, sink: ResponseSink) => {
    const { requestId, customer, request, fingerprint, deadlineAtMs } = submitted
    const parsed = parseIdempotencyKey({
      header: request.idempotencyKey, customer, windowMs: windowMsOf(submitted.pool), nowMs: clock.nowMs()
    })
    if (parsed.code !== ResultCode.Ok) {
      sink.onFail(parsed.code)
      return
    }
    const refusalCode = ports.admit(submitted)
    const traceparent = traceparentOf(submitted)
    const call: LiveCall = {
      submitted,
      sink,
      refusalCode,
      agent: undefined,
      bound: undefined,
      isDispatched: false,
      asked: undefined,
      hasHead: false,
      isCommitted: false,
      head: undefined,
      held: [],
      heldBytes: 0,
      traceparent,
      core: createKeyedCall({
        requestId, key: parsed.key, fingerprint, deadlineMs: deadlineAtMs, clock, body: encodeRequest({ request, fingerprint, isSuspect: isSuspect(submitted), traceparent })
      })
    }
    callsByRequestId.set(requestId, call)
    post(call, { kind: CallMessageKind.Started })
  }

  const withCall = (requestId: string, action: (call: LiveCall) => void) => {
    const call = callsByRequestId.get(requestId)
    if (call !== undefined) action(call)
  }

  return {
    submit,
    cancel: requestId => withCall(requestId, call => post(call, { kind: CallMessageKind.CallerGone })),
    onBindReply: reply => withCall(reply.requestId, call => post(call, { kind: CallMessageKind.BindReplied, reply })),
    onBound: frame => {
      const { reply } = parseFrame(boundFrameSchema, frame)
      withCall(reply.requestId, call => post(call, { kind: CallMessageKind.BindReplied, reply: reply as BindReply }))
    },
    onKeyReply: ({ incarnation }, frame) => {
      const { reply } = parseFrame(keyReplyFrameSchema, frame)
      withCall(reply.requestId, call =>
        post(call, { kind: CallMessageKind.AgentReplied, incarnation, reply }))
    },
    onAgentLinked: ({ address, incarnation }) => {
      const previous = incarnationByAddress.get(address)
      incarnationByAddress.set(address, incarnation)
      if (previous !== undefined && previous !== incarnation) postAll({ kind: CallMessageKind.AgentGone, incarnation: previous })
    },
    onAgentUnlinked: ({ incarnation }) => postAll({ kind: CallMessageKind.LinkLost, incarnation }),
    onOwnersChanged: () => postAll({ kind: CallMessageKind.OwnerChanged }),
    tick: () => {
      for (const call of [...callsByRequestId.values()]) {
        const isLost = call.bound !== undefined && hasAgentLeft(call.bound)
        post(call, isLost ? { kind: CallMessageKind.AgentGone, incarnation: call.bound!.incarnation } : { kind: CallMessageKind.Tick })
      }
    },
    get liveCount () { return callsByRequestId.size }
  }
}

const attemptResultOf = (code: ResultCode): AttemptResult =>
  describeResult(code).outcome === Outcome.NotRun ? AttemptResult.Refused : AttemptResult.Lost
